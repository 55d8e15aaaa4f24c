#ifndef TEST_STANDIN_LOAD_CALLER_LOAD_H_
#define TEST_STANDIN_LOAD_CALLER_LOAD_H_

/// @file
/// @brief What the caller stand-in sends and what it counts.

#include <array>
#include <chrono>
#include <cstdint>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <string>
#include <unordered_set>
#include <vector>

#include "damaskthread/core/types.h"
#include "damaskthread/settings/settings.h"

namespace damaskthread::standin {

using Clock = std::chrono::steady_clock;

/// A stretch of time with one rate.
struct Phase {
  double seconds = 0;
  double rate = 0;
};

/// One kind of request of the mix.
struct Kind {
  core::Importance importance = core::Importance::kNormal;
  double share = 1;
  std::string method;
  std::string path;
};

struct Plan {
  std::vector<settings::Endpoint> daemons;
  std::string service;
  std::vector<Phase> phases;
  std::vector<Kind> kinds;
  int threads = 16;
  int retries = 0;
  std::chrono::milliseconds retry_delay{0};
  bool polite = false;  ///< Waits for Retry-After before a repeat, and does not repeat without it.
  bool keep_id = true;  ///< Repeats with the request id of the refused attempt.
  std::chrono::milliseconds timeout{2'000};
  std::chrono::milliseconds deadline{0};  ///< Sent as `Damask-Deadline-Ms` unless zero.
  std::chrono::milliseconds good_within{1'000};
  std::uint64_t bytes = 0;  ///< Size of the document asked for; 0: a small JSON answer.
  std::uint64_t seed = 1;
  std::string prefix = "op";  ///< Begins the key of each request; differs between callers of one test.
};

/// How a request ended for its caller, after all repeats.
enum class Outcome : std::uint8_t {
  kGood,        ///< Whole, right and in time.
  kLate,        ///< Whole and right, but too late.
  kRefused,     ///< Every attempt was answered "not run" or could not be sent.
  kMayHaveRun,  ///< No whole answer, and some attempt may have run.
  kFailed,      ///< An error status of a request that ran.
  kWrong,       ///< A whole answer that is not the one to this request.
  kPartial,     ///< An answer that claims to be whole but ends early.
  kNotOffered,  ///< All threads were busy until its time was over; says that the caller is too small.
};
inline constexpr std::array<const char*, 8> kOutcomeNames = {"good",   "late",  "refused", "may_have_run",
                                                             "failed", "wrong", "partial", "not_offered"};

/// The next request to send.
struct Arrival {
  std::uint64_t number = 0;
  Clock::time_point time;
  const Kind* kind = nullptr;
};

/// Hands out arrivals with exponential gaps; they do not depend on how fast answers come.
class Schedule {
 public:
  Schedule(const Plan& plan, Clock::time_point start);
  std::optional<Arrival> next();

 private:
  const Plan& plan_;
  const Clock::time_point start_;
  std::mutex mutex_;
  std::mt19937_64 random_;
  std::discrete_distribution<std::size_t> kind_;
  std::uint64_t number_ = 0;
  std::size_t phase_ = 0;
  double phase_start_ = 0;
  double time_ = 0;
};

/// What one request came to.
struct Ended {
  Outcome outcome = Outcome::kNotOffered;
  Clock::duration latency{0};
  int attempts = 0;
  int failovers = 0;  ///< Daemons that could not be reached.
  int cut = 0;        ///< Answers whose connection ended early, and was seen to.
  bool token = false;
  bool all_not_run = true;
};

class Results {
 public:
  Results(const Plan& plan, Clock::time_point start);
  void add(const Arrival& arrival, const std::string& key, const Ended& ended);

  /// @brief Keys that no server may have run.
  [[nodiscard]] const std::unordered_set<std::string>& refused_keys() const noexcept { return refused_; }
  /// @brief Keys that were sent under an execution token, so may have run once at most.
  [[nodiscard]] const std::unordered_set<std::string>& token_keys() const noexcept { return tokens_; }

  [[nodiscard]] nlohmann::json to_json(double elapsed_seconds, bool timeline) const;

 private:
  using Row = std::array<std::uint64_t, kOutcomeNames.size()>;

  const Plan& plan_;
  const Clock::time_point start_;
  std::mutex mutex_;
  std::array<Row, core::kImportanceCount> rows_{};
  std::vector<float> latencies_ms_;
  std::vector<std::array<std::uint64_t, 2>> timeline_;  // Offered and good for each 100 ms of arrival time.
  std::uint64_t attempts_ = 0;
  std::uint64_t retries_ = 0;
  std::uint64_t failovers_ = 0;
  std::uint64_t cut_ = 0;
  int max_attempts_ = 0;
  std::unordered_set<std::string> refused_;
  std::unordered_set<std::string> tokens_;
};

/// @brief Sends everything that the schedule hands out, from several threads, and waits for the ends.
void run_load(const Plan& plan, Schedule& schedule, Results& results);

/// @brief Compares the journals of the servers with what the caller was told.
/// @param journals Addresses of the servers of the called service.
[[nodiscard]] nlohmann::json check_journals(const std::vector<settings::Endpoint>& journals, const Results& results);

}  // namespace damaskthread::standin

#endif  // TEST_STANDIN_LOAD_CALLER_LOAD_H_
