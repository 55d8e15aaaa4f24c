#include "meshfleet/fleet.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iterator>
#include <map>
#include <string>
#include <thread>
#include <vector>

#include "support/child_process.h"
#include "support/http_caller.h"

namespace damaskthread::meshfleet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Bounds that the service guarantees to its users.
constexpr seconds kMaxPropagationTime{2};
constexpr seconds kDrainBound{2};
constexpr seconds kRecoveryBound{15};
// The bounds hold again this long after a fault of the store.
constexpr seconds kStoreRecoveryTime{3};
// Window of the repeat budget, the default of the settings.
constexpr seconds kRepeatWindow{10};
constexpr seconds kTestTimeout{10};

constexpr const char* kHost = "lookup.example";

std::string read_file(const std::filesystem::path& path) {
  std::ifstream file(path);
  return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

// Sends the last byte of a request at the given time, and no byte much later than the one before.
// @return What arrives until the connection ends.
std::string upload_slowly(std::uint16_t port, const std::string& head, const std::string& body, Clock::time_point end) {
  boost::asio::io_context io;
  boost::asio::ip::tcp::socket socket(io);
  boost::system::error_code error;
  socket.connect({boost::asio::ip::make_address("127.0.0.1"), port}, error);
  boost::asio::write(socket, boost::asio::buffer(head), error);
  for (std::size_t i = 0; i < body.size(); ++i) {
    std::this_thread::sleep_until(end - seconds(1) * (body.size() - 1 - i));
    boost::asio::write(socket, boost::asio::buffer(&body[i], 1), error);
  }
  std::string received;
  boost::asio::read(socket, boost::asio::dynamic_buffer(received), error);
  return received;
}

// A separate fleet for each test, with requests sent one at a time.
struct ProcessFleetFixture {
  explicit ProcessFleetFixture(std::vector<ServiceSpec> services, const std::string& name,
                               const FleetLimits& limits = {})
      : fleet(std::move(services), support::program_path("meshfleet-logs/" + name), limits) {
    REQUIRE(fleet.start());
    for (const auto& vm : fleet.vms()) REQUIRE(served_within(kTestTimeout, *vm, vm->service + ".example"));
  }

  support::HttpAnswer send_request(const Vm& vm, const std::string& host, const std::string& path) {
    support::HttpCaller caller("127.0.0.1", vm.ports.caller_port);
    return caller.call(request(host, path));
  }

  support::HttpCall request(const std::string& host, const std::string& path) {
    support::HttpCall call;
    call.method = "POST";
    call.target = path;
    last_attempt = "a" + std::to_string(++attempts);
    call.headers = {{"Host", host}, {"X-Attempt-Id", last_attempt}, {"X-Deadline-Ms", "2500"}};
    call.timeout = milliseconds(2700);
    return call;
  }

  bool served_within(std::chrono::milliseconds time, const Vm& vm, const std::string& host) {
    return within(time, [&] { return send_request(vm, host, "/x").status == 200; });
  }

  static bool within(std::chrono::milliseconds time, const std::function<bool()>& condition) {
    const auto end = Clock::now() + time;
    while (!condition()) {
      if (Clock::now() > end) return false;
      std::this_thread::sleep_for(milliseconds(20));
    }
    return true;
  }

  // Announces the departure of a server and waits for the acknowledgement.
  void leave(Vm& vm) {
    fleet.on_loop([&] { vm.server->leave(); });
    REQUIRE(within(kTestTimeout, [&] {
      bool acknowledged = false;
      fleet.on_loop([&] { acknowledged = vm.server->leave_acknowledged(); });
      return acknowledged;
    }));
  }

  // Ends a server that has announced its departure and starts it again under the same id.
  void start_again(Vm& vm) {
    fleet.on_loop([&] {
      vm.server->crash();
      vm.server->start_under_same_id();
    });
  }

  // Sends requests until well after the drain bound and checks that the leaving server gets none.
  void check_drained(const Vm& leaving, const Vm& other) {
    const auto end = Clock::now() + kDrainBound + seconds(3);
    int served = 0;
    while (Clock::now() < end) {
      if (send_request(other, kHost, "/x").status == 200) ++served;
      (void)send_request(leaving, kHost, "/x");
    }
    CHECK(served > 10);
    CHECK(violations().empty());
  }

  // Sends a heartbeat of a server that has just started and returns the status of the answer.
  static int send_heartbeat(const Vm& vm, const std::string& id, const std::string& service, const std::string& address,
                            const std::string& state) {
    const auto wall = std::chrono::system_clock::now().time_since_epoch();
    const auto started = std::chrono::duration_cast<milliseconds>(wall).count();
    return send_heartbeat(vm, id, service, address, state, 1, R"("born":)" + std::to_string(started) + ",");
  }

  // `started` is the field of the start time, which may be missing.
  static int send_heartbeat(const Vm& vm, const std::string& id, const std::string& service, const std::string& address,
                            const std::string& state, int sequence, const std::string& started) {
    support::HttpCall call;
    call.method = "POST";
    call.target = "/rpc?call=instances.heartbeat&of=" + id;
    call.body = R"({"address":")" + address + R"(",)" + started + R"("info":{"service":")" + service +
                R"(","version":"v1","zone":"z","capacity":20},"status":{"state":")" + state + R"(","sequence":)" +
                std::to_string(sequence) + R"(,"cold_left":"0ms"}})";
    support::HttpCaller caller("127.0.0.1", vm.ports.control_port);
    return caller.call(call).status;
  }

  // Publishes a configuration and checks that every daemon has it in force within the bound.
  void check_in_force_everywhere() {
    fleet.publish();
    const auto end = Clock::now() + kMaxPropagationTime;
    for (const auto& vm : fleet.vms()) {
      const auto remaining = std::chrono::ceil<milliseconds>(end - Clock::now());
      CHECK_MESSAGE(served_within(remaining, *vm, fleet.newest_host(vm->service)), vm->name);
    }
  }

  void restart_crashed_servers() {
    fleet.on_loop([&] {
      for (const auto& vm : fleet.vms()) {
        if (!vm->server->running()) vm->server->start();
      }
    });
  }

  // Server crashes caused by poison requests.
  int poison_crashes() {
    int count = 0;
    fleet.on_loop([&] { count = fleet.execution_log().poison_crashes; });
    return count;
  }

  int store_calls() {
    int count = 0;
    fleet.on_loop([&] { count = fleet.store().calls(); });
    return count;
  }

  std::vector<std::string> violations() {
    std::vector<std::string> found;
    fleet.on_loop([&] { found = fleet.execution_log().violations; });
    return found;
  }

  Fleet fleet;
  int attempts = 0;
  std::string last_attempt;
};

}  // namespace

TEST_CASE("a leaving server gets no requests after its daemon was killed and restarted") {
  ProcessFleetFixture fixture({{"lookup", true, 2, ""}}, "drain");
  Vm& leaving = fixture.fleet.vm("lookup-0");
  const Vm& other = fixture.fleet.vm("lookup-1");
  fixture.leave(leaving);
  Fleet::kill_daemon(leaving);
  fixture.fleet.start_daemon(leaving);
  fixture.check_drained(leaving, other);
}

// The daemons' own memory of a departure must end with the incarnation that announced it: a server keeps its id when it
// starts again, and its daemon may be restarted at any time after that.
TEST_CASE("servers that left and started again under their ids are used after all daemons were killed") {
  ProcessFleetFixture fixture({{"lookup", true, 2, ""}}, "same-id");
  for (const auto& vm : fixture.fleet.vms()) {
    fixture.leave(*vm);
    fixture.start_again(*vm);
    REQUIRE(fixture.served_within(kTestTimeout, *vm, kHost));
  }
  for (const auto& vm : fixture.fleet.vms()) Fleet::kill_daemon(*vm);
  for (const auto& vm : fixture.fleet.vms()) fixture.fleet.start_daemon(*vm);
  for (const auto& vm : fixture.fleet.vms()) {
    REQUIRE(support::wait_for_port(vm->ports.caller_port));
    CHECK(fixture.served_within(kRecoveryBound, *vm, kHost));
  }
}

TEST_CASE("a second leave of a server under the same id holds after its daemon was killed and restarted") {
  ProcessFleetFixture fixture({{"lookup", true, 2, ""}}, "same-id-drain");
  Vm& leaving = fixture.fleet.vm("lookup-0");
  Vm& other = fixture.fleet.vm("lookup-1");
  fixture.leave(leaving);
  fixture.start_again(leaving);
  REQUIRE(fixture.served_within(kTestTimeout, leaving, kHost));
  fixture.leave(leaving);
  Fleet::kill_daemon(leaving);
  fixture.fleet.start_daemon(leaving);
  fixture.check_drained(leaving, other);
}

TEST_CASE("the newest configuration is in force after all daemons were killed and restarted") {
  ProcessFleetFixture fixture({{"lookup", true, 3, ""}}, "kill-all");
  fixture.fleet.publish();
  for (const auto& vm : fixture.fleet.vms()) Fleet::kill_daemon(*vm);
  for (const auto& vm : fixture.fleet.vms()) fixture.fleet.start_daemon(*vm);
  for (const auto& vm : fixture.fleet.vms()) {
    REQUIRE(support::wait_for_port(vm->ports.caller_port));
    // Without a configuration the answer is 503, never 404.
    CHECK(fixture.within(kTestTimeout, [&] {
      const int status = fixture.send_request(*vm, fixture.fleet.newest_host("lookup"), "/x").status;
      CHECK(status != 404);
      return status == 200;
    }));
  }
}

TEST_CASE("a configuration change is in force within the bound although the store dropped its history") {
  ProcessFleetFixture fixture({{"lookup", true, 2, ""}}, "compact");
  for (int round = 0; round < 3; ++round) {
    fixture.fleet.on_loop([&] { fixture.fleet.store().forget_history(); });
    fixture.check_in_force_everywhere();
  }
}

TEST_CASE("a daemon that cannot reach the store gets a configuration change from other daemons") {
  ProcessFleetFixture fixture({{"lookup", true, 6, ""}}, "store-cut");
  Vm& cut = fixture.fleet.vm("lookup-5");
  fixture.fleet.on_loop([&] { cut.store_proxy->set_mode(Proxy::Mode::kSilent); });
  fixture.check_in_force_everywhere();
}

TEST_CASE("a configuration change is in force within the bound after the store was silent") {
  ProcessFleetFixture fixture({{"lookup", true, 6, ""}}, "store-silent");
  fixture.fleet.on_loop([&] { fixture.fleet.store().set_fault(Store::Fault::kSilent); });
  std::this_thread::sleep_for(seconds(8));
  fixture.fleet.on_loop([&] { fixture.fleet.store().set_fault(Store::Fault::kNone); });
  std::this_thread::sleep_for(kStoreRecoveryTime);
  fixture.check_in_force_everywhere();
}

// The entries that daemons wrote since the backup were gone for good, and with them the departures of their servers.
TEST_CASE("daemons write their entries again after the store was restored from a backup") {
  ProcessFleetFixture fixture({{"lookup", true, 3, "", false}}, "store-restored");
  Vm& leaving = fixture.fleet.vm("lookup-2");
  const std::string key = "127.0.0.1:" + std::to_string(leaving.peer_proxy_port);
  const auto entry = [&] {
    std::string value;
    fixture.fleet.on_loop([&] { value = fixture.fleet.store().member(key); });
    return value;
  };
  REQUIRE(fixture.within(kTestTimeout, [&] { return !entry().empty(); }));
  fixture.fleet.on_loop([&] { fixture.fleet.store().back_up(); });
  const std::string before = entry();
  fixture.leave(leaving);
  REQUIRE(fixture.within(kTestTimeout, [&] { return entry() != before; }));
  const std::string after = entry();
  fixture.fleet.on_loop([&] { fixture.fleet.store().restore(); });
  CHECK(fixture.within(kTestTimeout, [&] { return entry() == after; }));
}

// The records from the former offset on lack what was written below it after the restore.
TEST_CASE("a configuration written after a restore of the store is in force although its offset was assigned before") {
  ProcessFleetFixture fixture({{"lookup", true, 3, "", false}}, "store-offsets");
  fixture.fleet.on_loop([&] { fixture.fleet.store().back_up(); });
  for (int i = 0; i < 3; ++i) fixture.check_in_force_everywhere();
  fixture.fleet.on_loop([&] { fixture.fleet.store().restore(); });
  // The new version lies below the offset that the daemons wait for; the records after it reach that offset.
  fixture.fleet.publish();
  fixture.fleet.on_loop([&] {
    for (int i = 0; i < 3; ++i) fixture.fleet.store().write_as_operator("other", "x");
  });
  for (const auto& vm : fixture.fleet.vms()) {
    CHECK_MESSAGE(fixture.served_within(kMaxPropagationTime, *vm, fixture.fleet.newest_host(vm->service)), vm->name);
  }
}

TEST_CASE("without faults only a few daemons poll the store") {
  ProcessFleetFixture fixture({{"lookup", true, 8, ""}}, "store-calls");
  // Waits for the end of polls that began before the daemons knew each other.
  std::this_thread::sleep_for(seconds(6));
  const int before = fixture.store_calls();
  const auto begun = Clock::now();
  std::this_thread::sleep_for(seconds(9));
  const int calls = fixture.store_calls() - before;
  // Four daemons poll every 4 s, the others rarely.
  const auto polls = (Clock::now() - begun) / seconds(4) + 1;
  CHECK(calls <= 4 * polls);
}

// Any process on a VM can send a heartbeat to its daemon. One of another writer must not change whose requests these
// are, nor take the sound server out of use.
TEST_CASE("a heartbeat of another writer changes neither the caller's service nor the server in use") {
  ProcessFleetFixture fixture({{"lookup", true, 1, ""}, {"desk", true, 1, ""}}, "foreign-heartbeat");
  const Vm& vm = fixture.fleet.vm("lookup-0");
  const std::string own_address = "127.0.0.1:" + std::to_string(vm.ports.server_port);
  struct Sender {
    std::string service;
    std::string address;
  };
  const std::vector<Sender> senders = {
      {"nosuchservice", own_address}, {"desk", own_address}, {"lookup", "127.0.0.1:1"}};
  for (const Sender& sender : senders) {
    CAPTURE(sender.service);
    CHECK(fixture.send_heartbeat(vm, "i-stray", sender.service, sender.address, "ready") == 400);
    for (const char* const host : {"lookup.example", "desk.example"}) {
      CHECK(fixture.send_request(vm, host, "/x").status == 200);
      std::string caller;
      fixture.fleet.on_loop([&] { caller = fixture.fleet.execution_log().caller_services[fixture.last_attempt]; });
      CHECK(caller == "lookup");
    }
  }
}

// The store's entry has no room for a departure without a start time; daemons took it for lost and wrote it again after
// each read of the member list.
TEST_CASE("a departure without a start time is not written in a loop") {
  ProcessFleetFixture fixture({{"lookup", true, 2, ""}}, "departure-without-start");
  Vm& vm = fixture.fleet.vm("lookup-0");
  fixture.fleet.on_loop([&] { vm.server->crash(); });
  Fleet::kill_daemon(vm);
  fixture.fleet.start_daemon(vm);
  REQUIRE(support::wait_for_port(vm.ports.control_port));
  const std::string address = "127.0.0.1:" + std::to_string(vm.ports.local_server());
  REQUIRE(fixture.send_heartbeat(vm, "i-new", "lookup", address, "ready", 1, "") == 200);
  REQUIRE(fixture.send_heartbeat(vm, "i-new", "lookup", address, "draining", 2, "") == 200);
  std::this_thread::sleep_for(seconds(2));
  const int before = fixture.store_calls();
  std::this_thread::sleep_for(seconds(3));
  // The watches of the two daemons last four seconds each.
  CHECK(fixture.store_calls() - before <= 5);
}

// A deregistration that arrives before the member list was read has no start time, and replaced the recorded departure.
TEST_CASE("a recorded departure stays in the store after a restarted daemon got a deregistration first") {
  ProcessFleetFixture fixture({{"lookup", true, 2, ""}}, "departure-kept");
  Vm& vm = fixture.fleet.vm("lookup-0");
  const std::string key = "127.0.0.1:" + std::to_string(vm.peer_proxy_port);
  const auto recorded = [&] {
    std::string value;
    fixture.fleet.on_loop([&] { value = fixture.fleet.store().member(key); });
    return value.find("left_started_ms") != std::string::npos;
  };
  fixture.leave(vm);
  REQUIRE(fixture.within(kTestTimeout, recorded));
  fixture.fleet.on_loop([&] {
    vm.server->crash();
    fixture.fleet.store().set_fault(Store::Fault::kRefuse);
  });
  Fleet::kill_daemon(vm);
  fixture.fleet.start_daemon(vm);
  REQUIRE(support::wait_for_port(vm.ports.control_port));
  support::HttpCall call;
  call.method = "POST";
  call.target = "/rpc?call=instances.deregister&of=i-other";
  support::HttpCaller caller("127.0.0.1", vm.ports.control_port);
  REQUIRE(caller.call(call).status == 200);
  fixture.fleet.on_loop([&] { fixture.fleet.store().set_fault(Store::Fault::kNone); });
  std::this_thread::sleep_for(kStoreRecoveryTime + seconds(2));
  CHECK(recorded());
}

// Guards against keys that reach a server or a log, requests that run without a valid key, nested calls that are
// refused or run for a tenant, and revoked keys that go on working on an open connection.
TEST_CASE("requests are served by the tenants' keys alone, which no server and no log gets") {
  ProcessFleetFixture fixture({{"front", true, 2, "lookup"}, {"lookup", true, 2, ""}}, "tenants");
  const std::string key = "key-of-acme-4711";
  const std::string other_key = "key-of-acme-4712";
  const std::string unknown_key = "key-of-nobody-99";
  Fleet& fleet = fixture.fleet;
  const Vm& vm = fleet.vm("front-0");
  support::HttpCaller caller("127.0.0.1", vm.ports.caller_port);
  const auto send = [&](const std::string& host, const std::string& sent_key) {
    support::HttpCall call = fixture.request(host, "/x");
    if (!sent_key.empty()) call.headers.emplace_back("Authorization", "Bearer " + sent_key);
    call.headers.emplace_back("X-Tenant", "somebody");
    return caller.call(call).status;
  };
  fleet.set_tenants({{"acme", {key, other_key}}});
  fleet.publish();
  REQUIRE(fixture.within(kTestTimeout, [&] { return send(fleet.newest_host("front"), key) == 200; }));
  for (const auto& other : fleet.vms()) {
    // Without a key, a host of the version in force is answered 401 and not 404.
    CHECK(fixture.within(kTestTimeout, [&] {
      return fixture.send_request(*other, fleet.newest_host(other->service), "/x").status == 401;
    }));
  }
  CHECK(send("front.example", key) == 200);
  const std::string served = fixture.last_attempt;
  CHECK(send("front.example", unknown_key) == 401);
  const std::string refused = fixture.last_attempt;
  CHECK(send("front.example", "") == 401);
  fleet.on_loop([&] {
    ExecutionLog& log = fleet.execution_log();
    CHECK(log.runs[refused] == 0);
    CHECK(http::find(log.headers[served], "X-Tenant") == "acme");
    CHECK(log.headers.contains(served + ".1"));
    CHECK(http::find(log.headers[served + ".1"], "X-Tenant").empty());
    for (const auto& execution : log.headers) {
      for (const http::Header& header : execution.second) {
        CHECK_MESSAGE(header.value.find("key-of-") == std::string::npos, execution.first, " ", header.name);
      }
    }
  });

  const int connections = caller.connections();
  fleet.set_tenants({{"acme", {other_key}}});
  fleet.publish();
  REQUIRE(fixture.within(kTestTimeout, [&] { return send(fleet.newest_host("front"), other_key) == 200; }));
  CHECK(send("front.example", key) == 401);
  CHECK(send("front.example", other_key) == 200);
  CHECK(caller.connections() == connections);

  int logs = 0;
  for (const auto& file : std::filesystem::directory_iterator(fleet.logs())) {
    CHECK_MESSAGE(read_file(file.path()).find("key-of-") == std::string::npos, file.path().string());
    ++logs;
  }
  CHECK(logs >= 4);
}

// Only the log showed which share of its slots a server that ramps up is given.
TEST_CASE("the metrics show the share and the work time of the server") {
  ProcessFleetFixture fixture({{"lookup", true, 1, ""}}, "pace-metrics");
  support::HttpCall call;
  call.target = "/metrics";
  support::HttpCaller caller("127.0.0.1", fixture.fleet.vm("lookup-0").admin_port);
  const support::HttpAnswer answer = caller.call(call);
  CHECK(answer.status == 200);
  // The server reports no work time, so that it does not ramp up.
  CHECK_MESSAGE(answer.body.find("\ndamaskthread_server_pace 1\n") != std::string::npos, answer.body);
  CHECK_MESSAGE(answer.body.find("\ndamaskthread_server_work_time 1\n") != std::string::npos, answer.body);
}

TEST_CASE("odd entries of another writer neither end a daemon nor keep it from the sound ones") {
  ProcessFleetFixture fixture({{"lookup", true, 2, ""}, {"desk", true, 1, ""}}, "odd-entries");
  const std::string nested(100'000, '[');
  const std::string zone = R"({"zone":"z","service":"desk","left":"i-1","left_started_ms":)";
  fixture.fleet.on_loop([&] {
    Store& store = fixture.fleet.store();
    store.write_member("127.0.0.1:1", nested);
    store.write_member("127.0.0.1:2", zone + nested + std::string(nested.size(), ']') + "}");
    store.write_member("127.0.0.1:3", zone + "1e999}");
    store.write_member("127.0.0.1:99999", zone + "1}");
    store.write_member("no address", zone + "1}");
  });
  Vm& vm = fixture.fleet.vm("lookup-0");
  Fleet::kill_daemon(vm);
  fixture.fleet.start_daemon(vm);
  REQUIRE(support::wait_for_port(vm.ports.control_port));
  for (const char* const host : {"lookup.example", "desk.example"}) {
    CHECK(fixture.served_within(kTestTimeout, vm, host));
  }
  // The id of a leaving server is written to the member list and sent in headers.
  const std::string own_address = "127.0.0.1:" + std::to_string(vm.ports.server_port);
  for (const char* const id : {"i-\xff\xfe", ""}) {
    CHECK(fixture.send_heartbeat(vm, id, "lookup", own_address, "draining") == 400);
  }
  CHECK(fixture.served_within(kTestTimeout, vm, "lookup.example"));
  CHECK(!vm.daemon->wait(milliseconds(0)));
}

TEST_CASE("a request that crashes its servers is quarantined") {
  ProcessFleetFixture fixture({{"lookup", true, 2, ""}}, "poison");
  for (int round = 0; round < 12; ++round) {
    for (const auto& vm : fixture.fleet.vms()) {
      (void)fixture.send_request(*vm, kHost, "/poison");
      fixture.restart_crashed_servers();
    }
    std::this_thread::sleep_for(milliseconds(300));
  }
  // Quarantined after three crashes; sends under way at that time may each crash one more server.
  CHECK(fixture.poison_crashes() >= 2);
  CHECK(fixture.poison_crashes() <= 3 + 3);
  CHECK(fixture.served_within(kTestTimeout, fixture.fleet.vm("lookup-0"), kHost));
}

TEST_CASE("a restarted daemon quarantines a request that crashed servers before its start") {
  ProcessFleetFixture fixture({{"lookup", true, 3, ""}}, "poison-news");
  const auto end = Clock::now() + kTestTimeout;
  int stable = 0;
  while (stable < 6 && Clock::now() < end) {
    const int before = fixture.poison_crashes();
    (void)fixture.send_request(fixture.fleet.vm("lookup-1"), kHost, "/poison");
    fixture.restart_crashed_servers();
    std::this_thread::sleep_for(milliseconds(400));
    stable = fixture.poison_crashes() == before ? stable + 1 : 0;
  }
  REQUIRE(stable == 6);
  // Only the server of the restarted daemon remains, so that this daemon's own crash reports decide.
  for (const char* const other : {"lookup-1", "lookup-2"}) fixture.leave(fixture.fleet.vm(other));
  Vm& restarted = fixture.fleet.vm("lookup-0");
  Fleet::kill_daemon(restarted);
  fixture.fleet.start_daemon(restarted);
  REQUIRE(fixture.served_within(kTestTimeout, restarted, kHost));
  const int before = fixture.poison_crashes();
  for (int i = 0; i < 5; ++i) (void)fixture.send_request(restarted, kHost, "/poison");
  CHECK(fixture.poison_crashes() == before);
}

TEST_CASE("a stopping daemon completes every request it has read") {
  ProcessFleetFixture fixture({{"lookup", true, 2, ""}}, "stop");
  Vm& stopping = fixture.fleet.vm("lookup-0");
  support::HttpCaller caller("127.0.0.1", stopping.ports.caller_port);
  REQUIRE(caller.call(fixture.request(kHost, "/x")).status == 200);
  stopping.daemon->signal(SIGTERM);
  // The connection stays open until a response carries Connection: close.
  const support::HttpAnswer last = caller.call(fixture.request(kHost, "/x"));
  CHECK(last.exchange == support::Exchange::kWhole);
  CHECK(last.status == 200);
  CHECK(last.header("Connection") == "close");
  CHECK(stopping.daemon->wait(seconds(6)) == 0);
}

// Requests that arrived late were passed on and cut off when the daemon ended, also those that must not run twice.
TEST_CASE("a stopping daemon refuses requests that might outlast it and answers all others") {
  FleetLimits limits;
  limits.timeout = seconds(8);
  ProcessFleetFixture fixture({{"lookup", false, 2, ""}}, "late-stop", limits);
  fixture.fleet.on_loop([&] {
    for (const auto& vm : fixture.fleet.vms()) vm->server->set_run_time(seconds(4));
  });
  struct Upload {
    milliseconds finished_at;
    milliseconds deadline;
    int expected_status;
    bool expected_run;
    std::string attempt{};
    std::string response{};
  };
  std::vector<Upload> uploads{
      // Runs to its end.
      {milliseconds(500), seconds(6), 200, true},
      // In progress when the daemon ends.
      {milliseconds(2000), seconds(9), 502, true},
      // Too late.
      {milliseconds(3600), seconds(6), 503, false},
      {milliseconds(4500), seconds(6), 503, false},
      // Late, but ended by its deadline before the daemon ends.
      {milliseconds(3600), seconds(1), 504, true},
  };
  Vm& stopping = fixture.fleet.vm("lookup-0");
  const auto started = Clock::now();
  std::vector<std::thread> callers;
  for (Upload& upload : uploads) {
    (void)fixture.request(kHost, "/x");
    upload.attempt = fixture.last_attempt;
    const std::string head = "POST /x HTTP/1.1\r\nHost: " + std::string(kHost) + "\r\nX-Attempt-Id: " + upload.attempt +
                             "\r\nX-Deadline-Ms: " + std::to_string(upload.deadline.count()) +
                             "\r\nContent-Length: 3\r\n\r\n";
    callers.emplace_back([&upload, head, started, port = stopping.ports.caller_port] {
      upload.response = upload_slowly(port, head, "xyz", started + upload.finished_at);
    });
  }
  std::this_thread::sleep_for(milliseconds(100));
  stopping.daemon->signal(SIGTERM);
  for (std::thread& caller : callers) caller.join();
  (void)stopping.daemon->wait(seconds(6));
  fixture.fleet.on_loop([&] {
    for (const Upload& upload : uploads) {
      const std::string expected = "HTTP/1.1 " + std::to_string(upload.expected_status);
      CHECK_MESSAGE(upload.response.starts_with(expected), upload.finished_at.count(), " ",
                    upload.response.substr(0, 16));
      CHECK_MESSAGE(fixture.fleet.execution_log().runs.contains(upload.attempt) == upload.expected_run,
                    upload.finished_at.count());
    }
  });
}

TEST_CASE("a request at a temporarily silent daemon is neither given up nor run twice") {
  for (const bool idempotent : {true, false}) {
    ProcessFleetFixture fixture({{"lookup", idempotent, 2, ""}}, idempotent ? "silence" : "silence-order");
    const Vm& caller_vm = fixture.fleet.vm("lookup-0");
    Vm& silent = fixture.fleet.vm("lookup-1");
    fixture.leave(fixture.fleet.vm("lookup-0"));
    REQUIRE(fixture.served_within(kTestTimeout, caller_vm, kHost));
    fixture.fleet.on_loop([&] { silent.peer_proxy->set_mode(Proxy::Mode::kSilent); });
    std::thread restore([&] {
      // Longer than the others take to stop choosing the daemon, shorter than until its connection counts as dead.
      std::this_thread::sleep_for(milliseconds(1400));
      fixture.fleet.on_loop([&] { silent.peer_proxy->set_mode(Proxy::Mode::kPass); });
    });
    const int status = fixture.send_request(caller_vm, kHost, "/x").status;
    restore.join();
    CHECK(status == 200);
    int runs = 0;
    fixture.fleet.on_loop([&] { runs = fixture.fleet.execution_log().runs[fixture.last_attempt]; });
    CHECK(runs == 1);
    CHECK(fixture.violations().empty());
  }
}

// Servers that reject part of the requests, which are sent again, and send each response once more before the next one.
TEST_CASE("a non-idempotent request runs once while servers reject requests and repeat responses") {
  ServiceSpec service{"payment", false, 1, ""};
  service.server_proxies = true;
  ProcessFleetFixture fixture({service}, "repeated-responses");
  fixture.fleet.on_loop([&] {
    for (const auto& vm : fixture.fleet.vms()) {
      vm->server->set_rejected_share(0.15);
      vm->server_proxy->set_mode(Proxy::Mode::kRepeatResponses);
    }
  });
  int served = 0;
  std::map<std::string, int> statuses;
  for (int i = 0; i < 300; ++i) {
    const int status = fixture.send_request(*fixture.fleet.vms().front(), "payment.example", "/pay").status;
    statuses[fixture.last_attempt] = status;
    if (status == 200) ++served;
  }
  CHECK(served > 200);
  fixture.fleet.on_loop([&] {
    for (const auto& entry : statuses) {
      const int runs = fixture.fleet.execution_log().runs[entry.first];
      CHECK_MESSAGE(runs <= 1, entry.first);
      CHECK_MESSAGE((entry.second != 503 || runs == 0), entry.first);
    }
  });
}

TEST_CASE("repeats stay within the budget while every server fails") {
  ProcessFleetFixture fixture({{"lookup", true, 2, ""}}, "repeats");
  fixture.fleet.on_loop([&] {
    for (const auto& vm : fixture.fleet.vms()) vm->server->set_status(500);
  });
  // Within one budget window, to which the settings apply.
  const auto end = Clock::now() + kRepeatWindow - seconds(1);
  std::vector<std::string> sent_attempts;
  while (Clock::now() < end) {
    (void)fixture.send_request(*fixture.fleet.vms()[sent_attempts.size() % 2], kHost, "/x");
    sent_attempts.push_back(fixture.last_attempt);
  }
  int repeats = 0;
  fixture.fleet.on_loop([&] {
    for (const std::string& attempt : sent_attempts)
      repeats += std::max(0, fixture.fleet.execution_log().runs[attempt] - 1);
  });
  // Settings of the fleet: a ratio of one fifth of the requests plus a slack of 50.
  CHECK(repeats <= static_cast<int>(sent_attempts.size()) / 5 + 50);
  CHECK(repeats > 0);
}

}  // namespace damaskthread::meshfleet
