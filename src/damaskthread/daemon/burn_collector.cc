#include "damaskthread/daemon/burn_collector.h"

#include <algorithm>
#include <atomic>
#include <boost/leaf/handle_errors.hpp>
#include <chrono>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "damaskthread/daemon/peer_headers.h"
#include "damaskthread/slo/report.h"

namespace damaskthread::daemon {
namespace {

constexpr std::chrono::milliseconds kPeerRequestTimeout{1'000};
// 2,400 daemons at 2 ms each take 0.3 s with this many threads; a daemon that does not answer blocks only its thread.
constexpr std::size_t kMaxThreads = 16;

std::optional<slo::BurnSnapshot> parse(const std::string& text) {
  return boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<std::optional<slo::BurnSnapshot>> {
        BOOST_LEAF_AUTO(snapshot, slo::parse_report(text));
        return std::optional(std::move(snapshot));
      },
      [] { return std::optional<slo::BurnSnapshot>(); });
}

}  // namespace

slo::BurnSnapshot BurnCollector::collect(const slo::BurnSnapshot& own_snapshot) {
  std::vector<DirectoryEntry> targets = directory_.entries();
  std::erase_if(targets, [this](const DirectoryEntry& entry) { return entry.id == self_.id; });
  std::mutex mutex;
  std::vector<slo::BurnSnapshot> snapshots = {own_snapshot};
  std::vector<std::string> missing;
  std::atomic<std::size_t> next = 0;
  const auto fetch_snapshots = [&] {
    core::Random random(std::random_device{}());
    for (std::size_t i = next++; i < targets.size(); i = next++) {
      http::Request request{"GET", "/v1/burn", {}, ""};
      sign(request, PeerOperation::kCall, self_, {random(), random()}, authenticator_);
      const http::ExchangeResult result = client_.send(targets[i].admin, request, kPeerRequestTimeout);
      const auto* response = std::get_if<http::Response>(&result);
      std::optional<slo::BurnSnapshot> snapshot;
      if (response != nullptr && response->status == 200) snapshot = parse(response->body);
      const std::lock_guard lock(mutex);
      if (snapshot) {
        snapshots.push_back(std::move(*snapshot));
      } else {
        missing.push_back(targets[i].service + "@" + http::to_string(targets[i].admin));
      }
    }
  };
  std::vector<std::thread> threads;
  for (std::size_t i = 0; i < std::min(kMaxThreads, targets.size()); ++i) threads.emplace_back(fetch_snapshots);
  for (std::thread& thread : threads) thread.join();
  return slo::merge(snapshots, missing);
}

}  // namespace damaskthread::daemon
