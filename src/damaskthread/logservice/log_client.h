#ifndef DAMASKTHREAD_LOGSERVICE_LOG_CLIENT_H_
#define DAMASKTHREAD_LOGSERVICE_LOG_CLIENT_H_

/// @file
/// @brief Client for the platform's log service.
///
/// Protocol: `POST /append` with one record as the body returns `{"offset":N}`; `GET /read?from=N&max=M` returns
/// `{"first":F,"next":N,"records":[{"offset":O,"body":BASE64}]}`; `GET /info` returns `{"first":F,"next":N}`.
/// 429 and 503 mean that nothing was done.

#include <boost/leaf/result.hpp>
#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "damaskthread/core/error.h"
#include "damaskthread/http/fwd.h"
#include "damaskthread/logservice/fwd.h"
#include "damaskthread/resource/log_record.h"

namespace damaskthread::logservice {

struct LogClientOptions {
  std::string ip = "127.0.0.1";
  std::uint16_t port = 0;
  std::chrono::milliseconds timeout{2'000};  ///< Per call: connecting, sending and receiving.
};

/// Bounds of the log.
struct LogInfo {
  std::uint64_t first = 0;  ///< Offset of the oldest retained record.
  std::uint64_t next = 0;   ///< Offset of the next append.
};

/// Thread-safe. Each append opens a connection, because an idle one that the server closed would make its outcome
/// unknown.
/// Errors are `core::Error`: `kUnavailable` if nothing was done, `kUnknown` if the append may have taken effect.
class LogClient {
 public:
  explicit LogClient(LogClientOptions options);

  /// @brief Appends one record.
  /// @return Offset of the record.
  [[nodiscard]] boost::leaf::result<std::uint64_t> append(std::string_view record) const;
  /// @brief Reads records.
  /// @param from First offset to read; reading starts at the oldest retained record if that is later.
  /// @param max Maximum number of records.
  [[nodiscard]] boost::leaf::result<resource::LogSlice> read(std::uint64_t from, std::size_t max) const;
  [[nodiscard]] boost::leaf::result<LogInfo> info() const;

 private:
  LogClientOptions options_;
  std::shared_ptr<http::Client> client_;
};

}  // namespace damaskthread::logservice

#endif  // DAMASKTHREAD_LOGSERVICE_LOG_CLIENT_H_
