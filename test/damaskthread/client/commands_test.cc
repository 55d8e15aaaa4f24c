#include "damaskthread/client/commands.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "damaskthread/resource/api_handler.h"
#include "damaskthread/resource/resource_store.h"

namespace damaskthread::client {
namespace {

using Json = nlohmann::json;

// What happens to one request on its way.
enum class Fault : std::uint8_t { kNone, kNoConnection, kRequestLost, kAnswerLost, kLogRefuses, kLogAnswerLost };

// A daemon with its log, called in the process of the test.
struct Daemon {
  resource::ResourceStore store;
  resource::ApiHandler handler{store};
  std::vector<std::string> log;
  std::vector<Fault> faults;  // Taken from the back, one for each request.
  std::vector<http::Request> requests;
  std::string status = R"({"revision": 4, "slowest_revision": 3, "lagging": [], "unknown": []})";

  Daemon() { read_log(); }

  void read_log() {
    resource::LogSlice slice{0, log.size(), {}};
    for (std::uint64_t i = store.offset(); i < log.size(); ++i) slice.entries.push_back({i, log[i]});
    store.apply(slice, {});
  }

  resource::ApiResponse serve(const http::Request& request, Fault fault) {
    if (request.target == "/v1/status") return {200, "application/json", {}, status};
    const std::size_t mark = std::min(request.target.find('?'), request.target.size());
    resource::ApiRequest api;
    api.method = request.method;
    api.path = request.target.substr(0, mark);
    api.query = request.target.substr(std::min(mark + 1, request.target.size()));
    api.body = request.body;
    api.role = http::find(request.headers, "Authorization") == "Bearer secret" ? resource::Role::kWrite
                                                                               : resource::Role::kRead;
    api.author = "operator";
    api.if_match = http::find(request.headers, "If-Match");
    api.if_none_match = http::find(request.headers, "If-None-Match");
    api.operation_id = http::find(request.headers, "Operation-Id");
    resource::ApiResult result = handler.handle(api);
    if (auto* response = std::get_if<resource::ApiResponse>(&result)) return std::move(*response);
    if (auto* watch = std::get_if<resource::WatchStep>(&result)) return handler.unchanged_response(*watch);
    const auto& step = std::get<resource::AppendStep>(result);
    if (fault == Fault::kLogRefuses) return handler.refused_response(step, "the log is out");
    log.push_back(step.record);
    if (fault == Fault::kLogAnswerLost) return handler.unknown_outcome_response(step, "the log did not answer");
    read_log();
    return *handler.poll(step);
  }

  Transport transport() {
    return
        [this](const http::Endpoint& /*server*/, const http::Request& request, core::Duration /*timeout*/) -> Answer {
          requests.push_back(request);
          const Fault fault = faults.empty() ? Fault::kNone : faults.back();
          if (!faults.empty()) faults.pop_back();
          if (fault == Fault::kNoConnection) return NoAnswer::kUnavailable;
          if (fault == Fault::kRequestLost) return NoAnswer::kUnknown;
          const resource::ApiResponse response = serve(request, fault);
          if (fault == Fault::kAnswerLost) return NoAnswer::kUnknown;
          return http::Response{response.status, {}, response.body};
        };
  }
};

struct Fixture {
  Daemon daemon;
  AdminClient client{daemon.transport(), {{"127.0.0.1", 7003}}, "secret"};
  std::filesystem::path folder = std::filesystem::temp_directory_path() / ("damaskctl_test_" + new_operation_id());
  CommandOptions options;
  std::string out;
  std::string err;

  Fixture() {
    std::filesystem::create_directory(folder);
    options.file = folder;
  }
  ~Fixture() { std::filesystem::remove_all(folder); }
  Fixture(const Fixture&) = delete;
  Fixture& operator=(const Fixture&) = delete;

  void write(const std::string& name, int retries) const {
    std::ofstream{folder / (name + ".json")} << R"({"kind": "Service", "name": ")" << name << R"(", "retries": )"
                                             << retries << "}";
  }
  ExitCode run(const std::string& command, std::vector<std::string> names = {}) {
    options.command = command;
    options.names = std::move(names);
    std::ostringstream out_stream;
    std::ostringstream err_stream;
    const ExitCode code = run_command(options, client, out_stream, err_stream);
    out = out_stream.str();
    err = err_stream.str();
    return code;
  }
};

}  // namespace

TEST_CASE_FIXTURE(Fixture, "apply publishes what differs, and diff and get show it") {
  write("booking", 3);
  write("pricing", 2);
  CHECK(run("diff") == ExitCode::kDifferent);
  CHECK(out == "booking: not declared yet\npricing: not declared yet\n");
  CHECK(run("apply") == ExitCode::kOk);
  CHECK(out == "booking: accepted, version 1\npricing: accepted, version 2\n");
  CHECK(run("diff") == ExitCode::kOk);
  write("booking", 5);
  CHECK(run("diff") == ExitCode::kDifferent);
  CHECK(out == "booking: differs from version 1\n  /retries: 3 -> 5\n");
  options.json = true;
  CHECK(run("apply") == ExitCode::kOk);
  const Json results = Json::parse(out)["results"];
  CHECK(results[0]["outcome"] == "accepted");
  CHECK(results[0]["version"] == 3);
  CHECK(results[1]["outcome"] == "unchanged");
  CHECK(run("get", {"booking"}) == ExitCode::kOk);
  CHECK(Json::parse(out)["declaration"]["retries"] == 5);
  options.count = 1;
  CHECK(run("watch") == ExitCode::kOk);
  CHECK(Json::parse(out)["name"] == "booking");
  CHECK(run("delete", {"booking"}) == ExitCode::kOk);
  CHECK(run("get", {"booking"}) == ExitCode::kDifferent);
  CHECK(run("delete", {"booking"}) == ExitCode::kDifferent);
}

// Guards against scripts that go on although nothing was published.
TEST_CASE_FIXTURE(Fixture, "exit codes tell the outcomes apart") {
  CHECK(run("aply") == ExitCode::kUsage);
  CHECK(run("delete") == ExitCode::kUsage);
  CHECK(run("apply") == ExitCode::kInvalid);
  write("booking", 9);
  CHECK(run("apply") == ExitCode::kInvalid);
  CHECK(err.find("booking.json:1: retries: expected an integer from 0 to 8") != std::string::npos);
  write("booking", 3);
  daemon.faults = {Fault::kNoConnection};
  CHECK(run("apply") == ExitCode::kUnavailable);
  daemon.faults = std::vector<Fault>(100, Fault::kLogRefuses);
  CHECK(run("apply") == ExitCode::kUnavailable);
  daemon.faults = std::vector<Fault>(100, Fault::kRequestLost);
  daemon.faults.back() = Fault::kNone;
  CHECK(run("apply") == ExitCode::kUnknown);
  daemon.faults.clear();
  CHECK(run("apply") == ExitCode::kOk);
  options.version = 7;
  CHECK(run("delete", {"booking"}) == ExitCode::kDifferent);
  AdminClient reader{daemon.transport(), {{"127.0.0.1", 7003}}, "other"};
  client = reader;
  write("booking", 4);
  CHECK(run("apply") == ExitCode::kInvalid);
  CHECK(out.find("role") != std::string::npos);
}

// Guards against a second daemon that is never asked.
TEST_CASE("a daemon that does not answer is passed over") {
  std::vector<std::uint16_t> asked;
  const Transport transport = [&](const http::Endpoint& server, const http::Request&, core::Duration) -> Answer {
    asked.push_back(server.port);
    if (server.port == 1) return NoAnswer::kUnavailable;
    return http::Response{200, {}, "{}"};
  };
  AdminClient client{transport, {{"127.0.0.1", 1}, {"127.0.0.1", 2}}, ""};
  CHECK(std::holds_alternative<http::Response>(client.read("/v1/status", {})));
  CHECK(std::holds_alternative<http::Response>(client.read("/v1/status", {})));
  CHECK(asked == std::vector<std::uint16_t>{1, 2, 2});
}

// Guards against a publish that is reported wrongly or takes effect twice when requests and answers are lost.
TEST_CASE("publish reports what the log decided, whatever is lost on the way") {
  CHECK(rc::check("faults", [] {
    Daemon daemon;
    daemon.faults = *rc::gen::container<std::vector<Fault>>(
        rc::gen::element(Fault::kNone, Fault::kNoConnection, Fault::kRequestLost, Fault::kAnswerLost,
                         Fault::kLogRefuses, Fault::kLogAnswerLost));
    AdminClient client{daemon.transport(), {{"127.0.0.1", 7003}}, "secret"};
    const Change change{"a", R"({"kind": "Service", "name": "a"})", 0, new_operation_id()};
    const PublishResult result = publish(client, change, {});
    daemon.read_log();
    const auto state = daemon.store.outcome(change.operation_id).state;
    RC_ASSERT(daemon.store.revision() <= 1U);
    if (result.state == PublishState::kAccepted) RC_ASSERT(state == resource::OperationState::kAccepted);
    if (result.state == PublishState::kUnavailable) RC_ASSERT(state == resource::OperationState::kNotSeen);
    RC_ASSERT(result.state != PublishState::kConflict);
    RC_ASSERT(result.state != PublishState::kInvalid);
    const bool short_enough = daemon.faults.empty() && daemon.requests.size() < 8;
    if (short_enough) RC_ASSERT(result.state == PublishState::kAccepted);
  }));
}

TEST_CASE_FIXTURE(Fixture, "status is a table and says by its exit code whether the fleet has settled") {
  CHECK(run("status") == ExitCode::kOk);
  daemon.status = R"({"resources": [{"name": "fleet", "in_force_everywhere": false}]})";
  CHECK(run("status") == ExitCode::kDifferent);
  daemon.status = R"({"revision": 4, "slowest_revision": 3, "log": "reachable", "unknown": ["pricing@127.0.0.1:7011"],
    "lagging": [{"name": "fleet@127.0.0.1:7001", "revision": 3, "behind_ms": 4200}],
    "resources": [{"kind": "Service", "name": "fleet", "desired_version": 4, "in_force_everywhere": false, "author": "ann"}]})";
  CHECK(run("status") == ExitCode::kDifferent);
  CHECK(out ==
        "revision 4, at the slowest known daemon 3, log reachable\n\n"
        "KIND     NAME   DESIRED  IN FORCE EVERYWHERE  AUTHOR\n"
        "Service  fleet  4        no                   ann\n\n"
        "LAGGING DAEMON        REVISION  BEHIND FOR\n"
        "fleet@127.0.0.1:7001  3         4.2 s\n\n"
        "UNKNOWN DAEMONS\npricing@127.0.0.1:7011\n");
}

// Guards against a table that hides which server gets the request, and against an exit code that hides a refusal.
TEST_CASE("where prints the decisions of a mesh daemon as a table") {
  http::Response response{200, {}, R"({"configuration": 5, "refusal": null, "route": "orders", "priority": 1,
    "tenant": "acme", "quota": {"admission": "admit", "credits": 3, "waiting": 0, "arrivals_per_s": 12.5,
    "admitted_per_s": 10.0}, "services": [{"service": "s", "split_share": 1.0, "needed": ["s", "t"],
    "admitted_share": 0.8, "limited_by": "t", "chosen": "10.0.0.1:80", "candidates": [
      {"endpoint": "10.0.0.1:80", "same_zone": true, "possible": true, "excluded": null, "cost": {"total": 1.0,
       "run_time": 0.9, "congestion": 0.1, "failures": 0.0, "cross_zone": 0.0, "objective_excess": 0.0,
       "avoidance": 0.0}},
      {"endpoint": "10.0.0.2:80", "same_zone": false, "possible": false, "excluded": null, "cost": {"total": 2.4,
       "run_time": 1.0, "congestion": 0.0, "failures": 0.0, "cross_zone": 1.4, "objective_excess": 0.0,
       "avoidance": 0.0}},
      {"endpoint": "10.0.0.3:80", "same_zone": true, "possible": false, "excluded": "not ready", "cost": {"total": 0.9,
       "run_time": 0.9, "congestion": 0.0, "failures": 0.0, "cross_zone": 0.0, "objective_excess": 0.0,
       "avoidance": 0.0}}]}]})"};
  std::string target;
  const Transport transport = [&](const http::Endpoint&, const http::Request& request, core::Duration) -> Answer {
    target = request.target;
    return response;
  };
  AdminClient client{transport, {{"127.0.0.1", 9464}}, ""};
  CommandOptions options;
  options.command = "where";
  options.names = {"h.example", "/a b?c=d"};
  options.tenant = "acme";
  std::ostringstream out;
  std::ostringstream err;
  CHECK(run_command(options, client, out, err) == ExitCode::kOk);
  CHECK(target == "/explain?host=h.example&path=%2Fa%20b%3Fc%3Dd&tenant=acme");
  CHECK(out.str() ==
        "route orders, priority 1, tenant acme, configuration 5\n"
        "quota: admit, credits 3, waiting 0, arrivals 12.5/s, admitted 10/s\n\n"
        "service s, split share 1, admitted share 0.8, limited by t, chosen 10.0.0.1:80\n"
        "SERVER       DOMAIN  COST  RUN TIME  CONGESTION  CROSS-DOMAIN  FAILURES  OBJECTIVE  AVOIDANCE  RESULT\n"
        "10.0.0.1:80  own     1     0.9       0.1         0             0         0          0          chosen\n"
        "10.0.0.2:80  other   2.4   1         0           1.4           0         0          0          costs more\n"
        "10.0.0.3:80  own     0.9   0.9       0           0             0         0          0          "
        "excluded: not ready\n");

  out.str("");
  response.body = R"({"refusal": {"status": 404, "reason": "no route"}, "route": null, "services": []})";
  CHECK(run_command(options, client, out, err) == ExitCode::kDifferent);
  CHECK(out.str().find("refused with 404: no route\n") != std::string::npos);
  response.body =
      R"({"refusal": null, "route": "r", "services": [{"service": "s", "chosen": null, "candidates": []}]})";
  out.str("");
  CHECK(run_command(options, client, out, err) == ExitCode::kDifferent);
  CHECK(out.str().find("no server is known to this daemon\n") != std::string::npos);
  CHECK(err.str().empty());
  response = {400, {}, R"({"error": "tenant: expected the name of a tenant of the configuration"})"};
  CHECK(run_command(options, client, out, err) == ExitCode::kInvalid);
  CHECK(err.str().find("400: tenant: expected the name of a tenant") != std::string::npos);
  response = {404, {}, ""};
  CHECK(run_command(options, client, out, err) == ExitCode::kInvalid);
  CHECK(err.str().find("there is no /explain") != std::string::npos);
  target.clear();
  for (const std::vector<std::string>& names :
       {std::vector<std::string>{}, {"h.example"}, {"h.example", "a"}, {"", "/a"}, {"h.example", "/a", "/b"}}) {
    options.names = names;
    CHECK(run_command(options, client, out, err) == ExitCode::kUsage);
  }
  CHECK(target.empty());
}

TEST_CASE("flags are joined, renamed and checked") {
  const Arguments arguments =
      prepare_arguments({"apply", "-f", "a.json", "--server", "127.0.0.1:1", "--server=127.0.0.1:2", "--token-file=t"});
  CHECK(arguments.values ==
        std::vector<std::string>{"apply", "--f=a.json", "--token_file=t", "--server=127.0.0.1:1,127.0.0.1:2"});
  CHECK(prepare_arguments({"--sever", "x"}).error == "unknown flag --sever");
  CHECK_FALSE(prepare_arguments({"apply", "-f"}).error.empty());
  CHECK(prepare_arguments({"where", "--admin", "127.0.0.1:1", "--tenant=t"}).values ==
        std::vector<std::string>{"where", "--admin=127.0.0.1:1", "--tenant=t"});
  CHECK_FALSE(prepare_arguments({"where", "--tenant="}).error.empty());
  CHECK(prepare_arguments({"--help"}).help);
  CHECK(parse_servers("127.0.0.1:1,127.0.0.1:2")->size() == 2);
  CHECK_FALSE(parse_servers("localhost").has_value());
  CHECK_FALSE(parse_servers("").has_value());
}

}  // namespace damaskthread::client
