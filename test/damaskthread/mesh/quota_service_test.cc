#include "damaskthread/mesh/quota_service.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <boost/leaf/handle_errors.hpp>
#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace damaskthread::mesh {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kStep{10};
constexpr milliseconds kMembersInterval{500};
constexpr double kRate = 40;
constexpr double kBurst = 40;
// The bound that operators give their users for a window of 5 s: rate and burst, a tenth more, and some requests.
constexpr seconds kWindow{5};
constexpr double kBound = (kRate * 5 + kBurst) * 1.1 + 20;

// The services of a fleet whose messages arrive at once. Lost daemons stay listed, as their entries do on the store.
class Services {
 public:
  explicit Services(int size, int stale = 0) {
    for (int i = 0; i < size; ++i) add("10.0.0." + std::to_string(i) + ":7620");
    for (int i = 0; i < stale; ++i) listed_.push_back("10.0.1." + std::to_string(i) + ":7620");
  }

  // Requests per second of the tenant at each daemon.
  void set_load(double per_daemon) { load_ = per_daemon; }
  // Its lease counts as ended at once.
  void lose_coordinator() {
    const std::string endpoint = *coordinators().begin();
    daemons_.erase(endpoint);
    if (lease_holder_ == endpoint) lease_holder_.clear();
  }
  // Restarts all daemons. None of them knows the others until the list on the store can be read again.
  void restart_all() {
    list_readable_ = false;
    for (const std::string& endpoint : std::exchange(listed_, {})) add(endpoint);
  }
  void make_list_readable() { list_readable_ = true; }
  // Cuts the coordinator off from all others and from the store.
  void cut_coordinator() { cut_.insert(*coordinators().begin()); }
  void set_lease_available(bool available) { lease_available_ = available; }

  void run(std::chrono::milliseconds time) {
    for (const core::TimePoint end = now_ + time; now_ < end; now_ += kStep) step();
  }

  // The daemons to which the others report.
  [[nodiscard]] std::set<std::string> coordinators() const {
    std::set<std::string> result;
    for (const auto& [endpoint, daemon] : daemons_) result.insert(daemon.service->coordinator());
    return result;
  }
  // Largest number of admissions in a window since the last call.
  std::size_t worst_window() {
    std::size_t first = 0;
    std::size_t worst = 0;
    for (std::size_t i = 0; i < admissions_.size(); ++i) {
      while (admissions_[i] - admissions_[first] > kWindow) ++first;
      worst = std::max(worst, i - first + 1);
    }
    admissions_.clear();
    return worst;
  }
  [[nodiscard]] double admitted_per_second(std::chrono::milliseconds time) {
    admissions_.clear();
    run(time);
    return static_cast<double>(admissions_.size()) / std::chrono::duration<double>(time).count();
  }

 private:
  struct Daemon {
    std::unique_ptr<QuotaService> service;
    bool list_read = false;
    double due = 0;
    std::vector<core::TimePoint> waiting;
  };

  [[nodiscard]] bool connected(const std::string& a, const std::string& b) const {
    return a == b || (daemons_.contains(a) && daemons_.contains(b) && !cut_.contains(a) && !cut_.contains(b));
  }

  void add(const std::string& endpoint) {
    listed_.push_back(endpoint);
    QuotaService::Hooks hooks;
    hooks.send = [this, endpoint](const std::string& target, const peer::Message& message) {
      if (!connected(endpoint, target)) return false;
      const quota::Report& report = std::get<peer::QuotaReport>(message).report;
      const quota::Grant grant = daemons_.at(target).service->on_report(endpoint, report, now_);
      daemons_.at(endpoint).service->on_grant(target, grant, now_);
      return true;
    };
    hooks.reachable = [this, endpoint](const std::string& target) { return connected(endpoint, target); };
    hooks.reachable_count = [this, endpoint] {
      return static_cast<std::size_t>(std::count_if(daemons_.begin(), daemons_.end(), [&](const auto& entry) {
        return entry.first != endpoint && connected(endpoint, entry.first);
      }));
    };
    hooks.lease_held = [this, endpoint](core::TimePoint) { return lease_holder_ == endpoint; };
    hooks.granted = [] {};
    Daemon& daemon = daemons_[endpoint] = Daemon();
    daemon.service = std::make_unique<QuotaService>(endpoint, log_, std::move(hooks));
    boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<void> {
          BOOST_LEAF_AUTO(tenants, tenant::Directory::create({{{"t", std::nullopt, kRate, kBurst}, {"key"}}}));
          daemon.service->set_tenants(tenants, now_);
          return {};
        },
        [] { FAIL("the tenant is invalid"); });
  }

  void step() {
    const bool members_due = now_ >= next_members_;
    if (members_due) next_members_ = now_ + kMembersInterval;
    for (auto& [endpoint, daemon] : daemons_) {
      if (members_due) {
        daemon.list_read = daemon.list_read || list_readable_;
        std::vector<std::string> others = daemon.list_read ? listed_ : std::vector<std::string>();
        std::erase(others, endpoint);
        daemon.service->set_members(others, daemon.list_read, now_);
      }
      if (lease_available_ && lease_holder_.empty() && !cut_.contains(endpoint) && daemon.service->lease_wanted(now_)) {
        lease_holder_ = endpoint;
      }
      daemon.service->tick(now_);
      send_requests(daemon);
    }
  }

  void send_requests(Daemon& daemon) {
    quota::Ledger& ledger = daemon.service->ledger();
    for (std::size_t n = daemon.waiting.size(); n > 0; --n) {
      const core::TimePoint since = daemon.waiting.front();
      daemon.waiting.erase(daemon.waiting.begin());
      const quota::Admission admission = ledger.retry("t", now_);
      count(admission);
      if (admission != quota::Admission::kWait) continue;
      if (now_ - since < milliseconds(250)) {
        daemon.waiting.push_back(since);
      } else {
        ledger.abandon("t");
      }
    }
    daemon.due += load_ * std::chrono::duration<double>(kStep).count();
    for (; daemon.due >= 1; daemon.due -= 1) {
      const quota::Admission admission = ledger.arrive("t", now_);
      count(admission);
      if (admission == quota::Admission::kWait) daemon.waiting.push_back(now_);
    }
  }

  void count(quota::Admission admission) {
    if (admission == quota::Admission::kAdmit) admissions_.push_back(now_);
  }

  EventLog log_{"test", {}};
  std::map<std::string, Daemon> daemons_;
  std::vector<std::string> listed_;
  std::set<std::string> cut_;
  std::string lease_holder_;
  bool lease_available_ = true;
  bool list_readable_ = true;
  double load_ = 0;
  core::TimePoint now_{seconds(1000)};
  core::TimePoint next_members_ = now_;
  std::vector<core::TimePoint> admissions_;
};

}  // namespace

// Once the four daemons that rank first were gone, each daemon was its own coordinator and granted the whole quota.
TEST_CASE("daemons agree on a coordinator although those that rank first are gone") {
  Services services(24);
  services.run(seconds(3));
  for (int lost = 0; lost < 20; ++lost) {
    services.lose_coordinator();
    services.run(seconds(4));
    CHECK_MESSAGE(services.coordinators().size() == 1, lost);
  }
}

TEST_CASE("daemons find a coordinator among many entries of daemons that are gone") {
  Services services(12, 240);
  services.run(seconds(60));
  CHECK(services.coordinators().size() == 1);
}

TEST_CASE("a tenant gets no more than its limit after the coordinators are gone") {
  for (const bool lease_available : {true, false}) {
    Services services(10);
    services.set_lease_available(lease_available);
    services.set_load(1.25);
    services.run(seconds(5));
    for (int i = 0; i < 4; ++i) {
      services.lose_coordinator();
      services.run(seconds(4));
    }
    services.run(seconds(50));
    services.set_load(30);
    services.run(seconds(10));
    CHECK_MESSAGE(static_cast<double>(services.worst_window()) <= kBound, lease_available);
  }
}

// A coordinator that is cut off counted the other daemons as gone after 15 s, and they counted it as gone.
TEST_CASE("a coordinator that is cut off for long does not grant the whole quota") {
  Services services(20);
  services.set_load(1.25);
  services.run(seconds(5));
  services.cut_coordinator();
  services.run(seconds(40));
  services.set_load(60);
  services.run(seconds(2));
  (void)services.worst_window();
  services.run(seconds(20));
  CHECK(static_cast<double>(services.worst_window()) <= kBound);
}

// A daemon that had just started and did not know the others yet granted the whole quota to itself.
TEST_CASE("daemons that have not read the list of daemons grant nothing") {
  Services services(20);
  services.set_load(1.25);
  services.run(seconds(10));
  services.set_load(15);
  services.run(milliseconds(500));
  services.restart_all();
  services.run(seconds(2));
  services.make_list_readable();
  services.run(seconds(10));
  CHECK(static_cast<double>(services.worst_window()) <= kBound);
  CHECK(services.admitted_per_second(seconds(10)) > 0.95 * kRate);
}

// Customers that stay below their limit must not pay for daemons that are gone.
TEST_CASE("the whole quota is granted although most daemons are gone") {
  Services services(20, 20);
  services.set_load(1.25);
  services.run(seconds(20));
  for (int lost = 0; lost < 14; ++lost) services.lose_coordinator();
  services.run(seconds(60));
  services.set_load(10);
  services.run(seconds(5));
  CHECK(services.admitted_per_second(seconds(10)) > 0.95 * kRate);
}

}  // namespace damaskthread::mesh
