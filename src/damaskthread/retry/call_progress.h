#ifndef DAMASKTHREAD_RETRY_CALL_PROGRESS_H_
#define DAMASKTHREAD_RETRY_CALL_PROGRESS_H_

/// @file
/// @brief Estimates how many calls a running request still has to make.

#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace damaskthread::retry {

/// @brief Learns how many calls the successful runs of each kind of request make.
class CallProgress {
 public:
  /// @param smoothing Weight of a new sample in the mean number of calls of a kind.
  explicit CallProgress(double smoothing = 0.1) noexcept : smoothing_(smoothing) {}

  /// @brief Records a successful run.
  /// @param kind Kind of the request.
  /// @param calls Number of its calls that were served.
  void record_run(std::string_view kind, int calls);
  /// @brief Estimates the remaining calls of a run that is about to make a call.
  /// @param kind Kind of the request.
  /// @param served_calls Number of its calls that were served so far.
  /// @return Number of calls that still have to be served, at least 1.
  [[nodiscard]] int calls_left(std::string_view kind, int served_calls) const;

 private:
  double smoothing_;
  std::map<std::string, double, std::less<>> mean_calls_by_kind_;
};

}  // namespace damaskthread::retry

#endif  // DAMASKTHREAD_RETRY_CALL_PROGRESS_H_
