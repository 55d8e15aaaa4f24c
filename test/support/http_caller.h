#ifndef TEST_SUPPORT_HTTP_CALLER_H_
#define TEST_SUPPORT_HTTP_CALLER_H_

/// @file
/// @brief HTTP client of the stand-ins. It shares no code with the product's client, so that a fault there is seen.
/// Every byte of an answer is accounted for, and a request is never sent a second time behind the caller's back.

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace damaskthread::support {

using Headers = std::vector<std::pair<std::string, std::string>>;

/// How far an exchange came.
enum class Exchange : std::uint8_t {
  kWhole,      ///< The answer's own framing says that it ended.
  kNotSent,    ///< No connection, so the request was not sent.
  kNoAnswer,   ///< Sent in part or whole; the connection ended before a status line and headers.
  kPartial,    ///< The connection ended inside the body.
  kMalformed,  ///< The bytes are no HTTP answer.
  kTimedOut,
  kAbandoned,  ///< `stop` returned true.
};

struct HttpAnswer {
  Exchange exchange = Exchange::kNotSent;
  int status = 0;
  Headers headers;
  std::string body;

  /// @brief Value of a header, compared without case; empty if absent.
  [[nodiscard]] std::string_view header(std::string_view name) const;
};

struct HttpCall {
  std::string method = "GET";
  std::string target = "/";
  Headers headers{};
  std::string body{};
  std::chrono::milliseconds timeout{10'000};
  /// Asked at least every 50 ms while waiting; true ends the call.
  std::function<bool()> stop{};
};

/// One keep-alive connection; used by one thread at a time.
class HttpCaller {
 public:
  HttpCaller(std::string ip, std::uint16_t port) : ip_(std::move(ip)), port_(port) {}
  ~HttpCaller() { close(); }
  HttpCaller(const HttpCaller&) = delete;
  HttpCaller& operator=(const HttpCaller&) = delete;

  HttpAnswer call(const HttpCall& request);
  /// Sends all requests, `pause` apart, and reads the answers in the order of the requests. The requests behind an
  /// answer that ends the connection have the exchange kNoAnswer.
  std::vector<HttpAnswer> call_pipelined(const std::vector<HttpCall>& requests,
                                         std::chrono::milliseconds pause = std::chrono::milliseconds::zero());
  void close() noexcept;
  /// @return How many connections it has opened so far.
  [[nodiscard]] int connections() const noexcept { return connections_; }

 private:
  using Clock = std::chrono::steady_clock;

  bool connect(Clock::time_point deadline);
  bool alive() const noexcept;
  std::string to_bytes(const HttpCall& request) const;
  bool send_all(std::string_view bytes, const HttpCall& request, Clock::time_point deadline, HttpAnswer& answer);
  /// Appends what arrives to `buffer_`.
  /// @return False if the connection ended or the call is over; `answer.exchange` is set in the latter case.
  bool receive(const HttpCall& request, Clock::time_point deadline, HttpAnswer& answer, bool& ended);
  bool read_answer(const HttpCall& request, Clock::time_point deadline, HttpAnswer& answer);

  std::string ip_;
  std::uint16_t port_;
  int socket_ = -1;
  int connections_ = 0;
  std::string buffer_;
};

}  // namespace damaskthread::support

#endif  // TEST_SUPPORT_HTTP_CALLER_H_
