#ifndef TEST_STANDIN_BACKEND_SERVER_STATE_H_
#define TEST_STANDIN_BACKEND_SERVER_STATE_H_

/// @file
/// @brief What one backend server stand-in knows: its slots, its journal and how it is told to misbehave.

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <mutex>
#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace damaskthread::standin {

using Clock = std::chrono::steady_clock;

/// One onward call that the server makes for each request.
struct OnwardCall {
  std::string service;
  std::string method;
  std::string path;
};

struct Options {
  std::string service;
  std::string server;
  int slots = 10;
  double service_ms = 10;
  double service_sigma = 0;  ///< 0: fixed time; otherwise log-normal around the median `service_ms`.
  std::uint64_t seed = 1;
  std::chrono::milliseconds cold_time{0};
  double cold_factor = 4;
  bool shed = false;  ///< Answers 503 when all slots are taken; otherwise requests wait for a slot.
  std::string daemon_ip;
  std::uint16_t daemon_port = 0;
  std::vector<OnwardCall> calls;
  std::chrono::milliseconds load_lag{0};
  bool allow_crash = false;
};

/// Ways to misbehave, changed by `POST /control`.
struct Control {
  double slow = 1;                       ///< Multiplies the service time.
  bool refuse = false;                   ///< Answers 503 to every request.
  bool hang = false;                     ///< Requests hold their slot until this is cleared.
  double truncate = 0;                   ///< Share of answers that are cut.
  std::string truncate_mode = "length";  ///< `length`, `chunk`, `head`, `reset` or `none`.
  std::string health = "true";           ///< `true`, `up` or `down`: the latter two whatever the state.
  std::string load = "true";             ///< `true`, `idle` or `busy`.
  bool drain = false;
};

/// Counters of `GET /stats`.
struct Stats {
  std::uint64_t arrived = 0;
  std::uint64_t started = 0;
  std::uint64_t finished = 0;
  std::uint64_t shed = 0;
  std::uint64_t refused = 0;
  std::uint64_t cancelled = 0;
  std::uint64_t expired = 0;
  std::uint64_t child_failed = 0;
  std::uint64_t child_wrong = 0;
  std::uint64_t truncated = 0;
  double work_ms = 0;       ///< Time spent executing.
  double wasted_ms = 0;     ///< The part of it for requests that then gave no answer.
  double deep_work_ms = 0;  ///< The same for requests with `Damask-Depth` of 2 or more.
  double deep_wasted_ms = 0;
  int max_running = 0;
};

enum class SlotResult : std::uint8_t { kTaken, kShed, kExpired, kCancelled };

class State {
 public:
  explicit State(Options options);

  [[nodiscard]] const Options& options() const noexcept { return options_; }
  [[nodiscard]] Control control() const;
  /// @brief Changes what the JSON object names.
  /// @throws nlohmann::json::exception for a text that is not a valid object of known fields.
  void change(std::string_view text);

  /// @brief Waits for a slot unless the server sheds.
  /// @param gone Whether the caller has gone away.
  SlotResult take_slot(Clock::time_point deadline, const std::function<bool()>& gone);
  void release_slot();

  /// @brief Records that the request with this key starts to run.
  void record_execution(const std::string& key, const std::string& operation);
  /// @brief Time that the next request takes, before the slow factor.
  std::chrono::duration<double, std::milli> draw_service_time();
  /// @brief Whether the next answer is to be cut.
  bool draw_truncation(double share);

  void cancel(const std::string& request_id);
  bool take_cancellation(const std::string& request_id);

  void update(const std::function<void(Stats&)>& change);

  [[nodiscard]] nlohmann::json stats() const;
  [[nodiscard]] nlohmann::json journal(std::uint64_t minimum) const;
  [[nodiscard]] nlohmann::json load() const;
  [[nodiscard]] bool healthy() const;

 private:
  void note_running();

  const Options options_;
  const Clock::time_point start_ = Clock::now();
  mutable std::mutex mutex_;
  std::condition_variable slot_free_;
  int running_ = 0;
  int waiting_ = 0;
  std::deque<std::pair<Clock::time_point, int>> running_history_;
  Control control_;
  Stats stats_;
  std::unordered_map<std::string, std::uint64_t> journal_;
  std::uint64_t journal_dropped_ = 0;
  std::unordered_set<std::string> cancelled_;
  std::mt19937_64 random_;
};

}  // namespace damaskthread::standin

#endif  // TEST_STANDIN_BACKEND_SERVER_STATE_H_
