#ifndef DAMASKTHREAD_QUOTA_LEDGER_H_
#define DAMASKTHREAD_QUOTA_LEDGER_H_

/// @file
/// @brief Admits requests of tenants with a quota against credits that a coordinator has granted to this daemon.

#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "damaskthread/core/types.h"
#include "damaskthread/quota/credit.h"
#include "damaskthread/tenant/directory.h"

namespace damaskthread::quota {

struct LedgerOptions {
  /// Credits that were not used within this time after the last grant are returned. It bounds how much of one window's
  /// quota can be used in the next window.
  core::Duration credit_lifetime = std::chrono::milliseconds{500};
  /// Credits are requested for the requests expected within this time; it covers two report intervals.
  core::Duration horizon = std::chrono::milliseconds{400};
  core::Duration report_interval = std::chrono::milliseconds{200};
  /// Minimum time between two reports when requests wait for credits.
  core::Duration urgent_report_interval = std::chrono::milliseconds{20};
  /// Credits that a daemon keeps for a tenant whose requests arrive there now and then, so that few of them wait.
  int min_credits = 2;
  /// Time after which credits are requested again that the coordinator did not have. Without it all daemons together
  /// sent thousands of reports a second for one tenant at its limit.
  core::Duration repeat_interval = std::chrono::milliseconds{50};
  /// How long requests without credit are rejected at once after the coordinator has said that the tenant is at its
  /// limit. Each of them would otherwise wait for nothing; credits that accrue come with the regular reports.
  core::Duration rejection_time = std::chrono::milliseconds{250};
  /// Time constant of the averages of arriving and admitted requests.
  core::Duration time_constant = std::chrono::seconds{1};
  /// Time constant of the reserved rate. Longer than a coordinator needs to notice that daemons fell silent, so that
  /// what it grants until then does not raise the reservations of its members.
  core::Duration reserve_time_constant = std::chrono::seconds{5};
};

enum class Admission : std::uint8_t {
  kAdmit,
  kWait,    ///< No credit yet; try again when a grant arrives.
  kReject,  ///< The tenant is at its limit.
};

[[nodiscard]] std::string_view to_string(Admission admission) noexcept;

/// State of one tenant's quota at a daemon.
struct QuotaState {
  /// Decision that a request arriving now would get.
  Admission admission = Admission::kWait;
  /// Credits that have not expired.
  int credits = 0;
  /// Requests that wait for a credit.
  int waiting = 0;
  /// Averages of arriving and admitted requests.
  double arrivals_per_second = 0;
  double admitted_per_second = 0;
};

/// @brief The credits of one daemon. A request is decided without a message and without allocating memory, as long as
/// there are credits; only the first one after a pause waits for a grant.
///
/// Load patterns: a tenant that sends many times its usual load (it runs out of credits at all daemons together), a
/// small tenant whose requests arrive at one daemon only, load that moves from some daemons to others (credits follow
/// the demand within a report interval), a daemon that is cut off from all coordinators (it goes on at the rate of its
/// recent requests, which the others leave to it, since the recent rate of the whole fleet was within the quota).
class Ledger {
 public:
  explicit Ledger(const LedgerOptions& options = {}) noexcept : options_(options) {}

  /// @brief Sets the tenants of the configuration in force; credits of those that remain are kept.
  void set_tenants(std::span<const tenant::Tenant> tenants);
  /// @return Whether any tenant has a quota.
  [[nodiscard]] bool active() const noexcept { return !accounts_.empty(); }

  /// @brief Decides on a new request. After `kWait`, `retry` or `abandon` must follow.
  [[nodiscard]] Admission arrive(std::string_view tenant, core::TimePoint now);
  /// @brief Returns the state of a tenant's quota without using a credit.
  /// @return Nothing if the tenant has no quota.
  [[nodiscard]] std::optional<QuotaState> state(std::string_view tenant, core::TimePoint now) const;
  /// @brief Decides on a waiting request again.
  [[nodiscard]] Admission retry(std::string_view tenant, core::TimePoint now);
  /// @brief Removes a waiting request that gave up.
  void abandon(std::string_view tenant) noexcept;
  /// @brief Gives back the credit of a request that did not run.
  void refund(std::string_view tenant, core::TimePoint now) noexcept;

  /// @return Whether a report should be sent now.
  [[nodiscard]] bool report_due(core::TimePoint now) const noexcept;
  /// @brief Creates a report for the coordinator.
  /// @param fleet_size Number of listed daemons, this one included; zero if the list has not been read yet.
  [[nodiscard]] Report report(std::uint32_t fleet_size, core::TimePoint now);
  /// @brief Adds granted credits.
  void on_grant(const Grant& grant, core::TimePoint now);
  /// @brief Returns how many requests of each tenant were admitted since the last call, less refunded ones. Tenants
  /// without any are left out.
  [[nodiscard]] std::vector<Usage> take_usage();

 private:
  // Exponentially weighted moving average of events per second.
  struct Rate {
    double per_second = 0;
    core::TimePoint updated;
    void decay(core::TimePoint now, core::Duration time_constant) noexcept;
    void add(core::TimePoint now, core::Duration time_constant) noexcept;
  };
  struct Account {
    int credits = 0;
    core::TimePoint expires_at;
    int returned = 0;
    int waiting = 0;
    core::TimePoint rejects_until;
    /// When a request that waits may cause the next report.
    core::TimePoint next_request;
    Rate arrivals;
    Rate admitted;
    /// Since the last `take_usage`.
    int admitted_count = 0;
    /// Average of admitted requests while the coordinator of a majority granted the credits.
    double reserved_per_second = 0;
  };
  struct Hash {
    using is_transparent = void;  // NOLINT(readability-identifier-naming): name required by the standard library.
    std::size_t operator()(std::string_view text) const noexcept { return std::hash<std::string_view>()(text); }
  };

  [[nodiscard]] Account* find(std::string_view tenant) noexcept;
  [[nodiscard]] bool consume(Account& account, core::TimePoint now) noexcept;
  /// Decision on a request, which `arrive` and `retry` put into effect.
  [[nodiscard]] static Admission decide(const Account& account, core::TimePoint now) noexcept;
  static int usable_credits(const Account& account, core::TimePoint now) noexcept;
  static void expire(Account& account, core::TimePoint now) noexcept;

  LedgerOptions options_;
  std::unordered_map<std::string, Account, Hash, std::equal_to<>> accounts_;
  std::uint64_t next_sequence_ = 1;
  core::TimePoint last_report_;
  /// When a report is due because requests wait.
  core::TimePoint shortage_report_ = core::TimePoint::max();
  /// The last grant came from a coordinator of a majority.
  bool supervised_ = false;
};

}  // namespace damaskthread::quota

#endif  // DAMASKTHREAD_QUOTA_LEDGER_H_
