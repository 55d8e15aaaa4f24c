// Cost and speed of membership and configuration at several sizes, in virtual time over a queue that delays and drops
// encoded messages. Prints one `name value` line per figure.

#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <string>
#include <vector>

#include "support/control_network.h"

namespace damaskthread::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

double in_seconds(core::Duration duration) { return std::chrono::duration<double>(duration).count(); }

void print(const std::string& name, double value, const char* note = "") {
  std::printf("%s %.3f%s\n", name.c_str(), value, note);
  std::fflush(stdout);
}

double quantile(std::vector<double> values, double q) {
  if (values.empty()) return -1;
  std::ranges::sort(values);
  return values[std::min(values.size() - 1, static_cast<std::size_t>(q * static_cast<double>(values.size())))];
}

double cpu_seconds() { return static_cast<double>(std::clock()) / CLOCKS_PER_SEC; }

std::uint64_t bytes_of(ControlNetwork& network) {
  std::uint64_t total = 0;
  for (std::size_t i = 0; i < network.size(); ++i) total += network.node(i).sent_bytes + network.node(i).received_bytes;
  return total;
}

struct Fleet {
  std::size_t size;
  std::unique_ptr<ControlNetwork> network;
};

Fleet fleet(std::size_t size, double loss) {
  NetworkOptions options;
  options.loss = loss;
  const std::size_t zones = size >= 256 ? 11 : 3;
  Fleet result{size, make_fleet(20261204 + size, size, zones, size >= 256 ? 3 : 1, std::max<std::size_t>(4, size / 10),
                                options)};
  result.network->run(seconds{3});
  return result;
}

// Sent and received bytes of one daemon per second, without what TCP adds. One change of configuration is the planned
// rate in such a time, one replaced VM ten times the planned rate.
void measure_steady(Fleet& fleet, core::Duration duration) {
  ControlNetwork& network = *fleet.network;
  const std::uint64_t before = bytes_of(network);
  const double cpu = cpu_seconds();
  network.log().records.push_back({.accepted = true, .bytes = 600});
  network.replace(fleet.size / 2);
  network.run(duration);
  const double node_seconds = in_seconds(duration) * static_cast<double>(fleet.size);
  print("control.bytes_per_s." + std::to_string(fleet.size),
        static_cast<double>(bytes_of(network) - before) / node_seconds);
  if (fleet.size != 2400) return;
  print("control.core_percent.2400", 100 * (cpu_seconds() - cpu) / node_seconds);
}

void measure_config(Fleet& fleet, int changes) {
  ControlNetwork& network = *fleet.network;
  std::vector<double> times;
  for (int change = 0; change < changes; ++change) {
    network.log().records.push_back({.accepted = true, .bytes = 600});
    const std::uint64_t target = network.log().records.size();
    const core::TimePoint written = network.now();
    std::vector<bool> reached(fleet.size, false);
    std::size_t left = 0;
    for (std::size_t i = 0; i < fleet.size; ++i) left += network.node(i).running ? 1 : 0;
    while (left > 0 && network.now() - written < seconds{30}) {
      network.run(milliseconds{50});
      for (std::size_t i = 0; i < fleet.size; ++i) {
        const auto& node = network.node(i);
        if (reached[i] || !node.running || node.config->revision() < target) continue;
        reached[i] = true;
        --left;
        times.push_back(in_seconds(network.now() - written));
      }
    }
    if (left > 0) times.push_back(1e9);
  }
  const std::string name = "config.in_force_s." + std::to_string(fleet.size);
  print(name + ".p50", quantile(times, 0.5));
  print(name + ".max", quantile(times, 1.0));
}

// Per victim, until the last living daemon holds it dead. The victims end one after the other within a second.
void measure_detection(Fleet& fleet, std::size_t deaths) {
  ControlNetwork& network = *fleet.network;
  struct Victim {
    std::size_t node;
    core::TimePoint killed;
  };
  std::vector<Victim> left;
  std::vector<double> times;
  const core::TimePoint start = network.now();
  const auto known_dead = [&](const Victim& victim) {
    for (std::size_t i = 0; i < fleet.size; ++i) {
      if (!network.node(i).running) continue;
      const auto member = network.view(i, victim.node);
      if (member && member->state != membership::State::kDead) return false;
    }
    times.push_back(in_seconds(network.now() - victim.killed));
    return true;
  };
  for (std::size_t killed = 0; times.size() < deaths && network.now() - start < seconds{30};) {
    if (killed < deaths) {
      left.push_back({fleet.size / 3 + killed * 7, network.now()});
      network.kill(left.back().node);
      ++killed;
    }
    network.run(milliseconds{50});
    std::erase_if(left, known_dead);
  }
  if (times.size() < deaths) times.push_back(1e9);
  print("membership.detect_s.2400.p50", quantile(times, 0.5));
  print("membership.detect_s.2400", quantile(times, 1.0));
}

void measure_drain(Fleet& fleet) {
  ControlNetwork& network = *fleet.network;
  const std::size_t node = fleet.size / 5;
  network.node(node).membership->announce_leaving();
  const auto took = network.run_until(
      [&] {
        for (std::size_t i = 0; i < fleet.size; ++i) {
          if (!network.node(i).running || i == node) continue;
          const auto member = network.view(i, node);
          if (member && member->available()) return false;
        }
        return true;
      },
      seconds{30});
  print("drain.stop_s", took ? in_seconds(*took) : 1e9);
}

void measure_false_deaths(std::size_t size, core::Duration duration) {
  Fleet lossy = fleet(size, 0.02);
  ControlNetwork& network = *lossy.network;
  std::uint64_t before_bytes = bytes_of(network);
  network.run(duration);
  std::uint64_t deaths = 0;
  std::uint64_t suspicions = 0;
  for (std::size_t i = 0; i < size; ++i) {
    deaths += network.node(i).membership->counters().deaths;
    suspicions += network.node(i).membership->counters().suspicions;
  }
  print("membership.false_deaths", static_cast<double>(deaths));
  print("membership.false_suspicions", static_cast<double>(suspicions));
  print("control.bytes_per_s_lossy." + std::to_string(size),
        static_cast<double>(bytes_of(network) - before_bytes) / in_seconds(duration) / static_cast<double>(size));
}

// Heap of one daemon's membership, authenticator and replication with 2,400 members, each heard at least once.
void measure_memory(std::size_t members) {
  const std::size_t before = mallinfo2().uordblks;
  ControlNetwork one{1};
  one.add({}, {});
  const std::string address = one.node(0).info.control_address;
  wire::Authenticator introducer{"shared key of the tests", {{members + 1}, {1}}};
  wire::Message state;
  state.body = wire::MemberState{.all = true, .requested_ids = {}};
  wire::Message hello;
  hello.digest = wire::ConfigDigest{0, 0};
  for (std::size_t i = 0; i < members; ++i) {
    auto info = std::make_shared<wire::MemberInfo>(one.node(0).info);
    info->control_address = "10.9." + std::to_string(i / 256) + '.' + std::to_string(i % 256) + ":8003";
    state.deltas.push_back({.id = {i + 1},
                            .incarnation = {i + 1},
                            .refutation = 0,
                            .health = {},
                            .leaving = false,
                            .suspected_for = {},
                            .info = std::move(info)});
    if (state.deltas.size() < 100 && i + 1 < members) continue;
    one.inject(0, introducer.seal(state));
    state.deltas.clear();
  }
  for (std::size_t i = 0; i < members; ++i) {
    wire::Authenticator sender{"shared key of the tests", {{i + 1}, {i + 1}}};
    one.inject(0, sender.seal(hello));
  }
  const std::size_t after = mallinfo2().uordblks;
  if (one.node(0).membership->live_count() < members - 100) std::printf("memory: members are missing\n");
  print("control.memory_mb." + std::to_string(members), static_cast<double>(after - before) / 1048576);
}

}  // namespace
}  // namespace damaskthread::test

int main() {
  using damaskthread::test::fleet;
  using std::chrono::seconds;
  damaskthread::test::measure_memory(2400);
  for (const std::size_t size : {64UL, 256UL, 1024UL}) {
    auto small = fleet(size, 0);
    measure_steady(small, seconds{30});
    measure_config(small, 5);
  }
  auto large = fleet(2400, 0);
  measure_steady(large, seconds{20});
  measure_config(large, 3);
  measure_drain(large);
  measure_detection(large, 10);
  large.network.reset();
  damaskthread::test::measure_false_deaths(2400, seconds{12});
  return 0;
}
