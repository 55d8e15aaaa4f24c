#include "support/http_caller.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cerrno>
#include <thread>
#include <utility>

namespace damaskthread::support {
namespace {

namespace http = boost::beast::http;

constexpr std::uint32_t kMaxHead = 64 << 10;
constexpr std::size_t kMaxBody = 256 << 20;
constexpr std::chrono::milliseconds kStopInterval{50};

bool same_name(std::string_view a, std::string_view b) noexcept {
  return a.size() == b.size() && strncasecmp(a.data(), b.data(), a.size()) == 0;
}

// Waits for an event in steps, so that `stop` is asked.
bool wait(int socket, std::int16_t events, const HttpCall& request, std::chrono::steady_clock::time_point deadline,
          HttpAnswer& answer) {
  for (;;) {
    const auto now = std::chrono::steady_clock::now();
    if (now >= deadline) {
      answer.exchange = Exchange::kTimedOut;
      return false;
    }
    if (request.stop && request.stop()) {
      answer.exchange = Exchange::kAbandoned;
      return false;
    }
    auto step = std::chrono::ceil<std::chrono::milliseconds>(deadline - now);
    if (request.stop) step = std::min(step, kStopInterval);
    pollfd descriptor{socket, events, 0};
    const int ready = poll(&descriptor, 1, static_cast<int>(step.count()));
    if (ready > 0) return true;
  }
}

}  // namespace

std::string_view HttpAnswer::header(std::string_view name) const {
  for (const auto& [key, value] : headers) {
    if (same_name(key, name)) return value;
  }
  return {};
}

void HttpCaller::close() noexcept {
  if (socket_ >= 0) ::close(socket_);
  socket_ = -1;
  buffer_.clear();
}

bool HttpCaller::alive() const noexcept {
  if (socket_ < 0) return false;
  char byte = 0;
  // Data on an idle connection belongs to nobody; an end means that the server has closed it.
  return recv(socket_, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

bool HttpCaller::connect(Clock::time_point deadline) {
  close();
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port_);
  if (inet_pton(AF_INET, ip_.c_str(), &address.sin_addr) != 1) return false;
  socket_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  if (socket_ < 0) return false;
  ++connections_;
  const int on = 1;
  setsockopt(socket_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  int failure = 0;
  if (::connect(socket_, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
    HttpAnswer ignored;
    socklen_t length = sizeof failure;
    if (errno != EINPROGRESS || !wait(socket_, POLLOUT, HttpCall{}, deadline, ignored) ||
        getsockopt(socket_, SOL_SOCKET, SO_ERROR, &failure, &length) != 0) {
      failure = ECONNREFUSED;
    }
  }
  if (failure != 0) close();
  return failure == 0;
}

bool HttpCaller::send_all(std::string_view bytes, const HttpCall& request, Clock::time_point deadline,
                          HttpAnswer& answer) {
  while (!bytes.empty()) {
    const ssize_t sent = send(socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (sent > 0) {
      bytes.remove_prefix(static_cast<std::size_t>(sent));
      continue;
    }
    if (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR) {
      // The server may have answered early, for instance with 413, before it closed the connection.
      return true;
    }
    if (!wait(socket_, POLLOUT, request, deadline, answer)) return false;
  }
  return true;
}

bool HttpCaller::receive(const HttpCall& request, Clock::time_point deadline, HttpAnswer& answer, bool& ended) {
  for (;;) {
    std::array<char, 65536> bytes;
    const ssize_t count = recv(socket_, bytes.data(), bytes.size(), 0);
    if (count > 0) {
      buffer_.append(bytes.data(), static_cast<std::size_t>(count));
      return true;
    }
    if (count == 0 || (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR)) {
      ended = true;
      return false;
    }
    if (!wait(socket_, POLLIN, request, deadline, answer)) return false;
  }
}

bool HttpCaller::read_answer(const HttpCall& request, Clock::time_point deadline, HttpAnswer& answer) {
  http::response_parser<http::string_body> parser;
  parser.eager(true);
  parser.body_limit(kMaxBody);
  parser.header_limit(kMaxHead);
  parser.skip(request.method == "HEAD");
  bool ended = false;
  boost::system::error_code error;
  // Bytes of this answer that arrived with the one before it.
  bool unparsed = !buffer_.empty();
  while (!parser.is_done()) {
    if (!std::exchange(unparsed, false) && !receive(request, deadline, answer, ended)) break;
    error = {};
    const std::size_t used = parser.put(boost::asio::buffer(buffer_), error);
    buffer_.erase(0, used);
    if (error && error != http::error::need_more) break;
  }
  answer.status = parser.is_header_done() ? static_cast<int>(parser.get().result_int()) : 0;
  for (const auto& field : parser.get()) answer.headers.emplace_back(field.name_string(), field.value());
  answer.body = std::move(parser.get().body());
  if (parser.is_done()) {
    // An answer without a length ends with the connection, which cannot be told from a cut.
    answer.exchange = parser.need_eof() && request.method != "HEAD" ? Exchange::kPartial : Exchange::kWhole;
  } else if (ended) {
    answer.exchange = parser.is_header_done() ? Exchange::kPartial : Exchange::kNoAnswer;
  } else if (error && error != http::error::need_more) {
    answer.exchange = Exchange::kMalformed;
  }
  return answer.exchange == Exchange::kWhole && parser.keep_alive();
}

std::string HttpCaller::to_bytes(const HttpCall& request) const {
  const bool names_host = std::any_of(request.headers.begin(), request.headers.end(),
                                      [](const auto& header) { return header.first == "Host"; });
  std::string text = request.method + " " + request.target + " HTTP/1.1\r\n";
  if (!names_host) text += "Host: " + ip_ + ":" + std::to_string(port_) + "\r\n";
  text += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
  for (const auto& [name, value] : request.headers) text.append(name).append(": ").append(value).append("\r\n");
  text += "\r\n" + request.body;
  return text;
}

HttpAnswer HttpCaller::call(const HttpCall& request) { return std::move(call_pipelined({request}).front()); }

std::vector<HttpAnswer> HttpCaller::call_pipelined(const std::vector<HttpCall>& requests,
                                                   std::chrono::milliseconds pause) {
  const Clock::time_point start = Clock::now();
  std::vector<HttpAnswer> answers(requests.size());
  if (!alive() && !connect(start + requests.front().timeout)) return answers;
  for (HttpAnswer& answer : answers) answer.exchange = Exchange::kNoAnswer;
  std::string text;
  bool reusable = true;
  for (const HttpCall& request : requests) {
    text += to_bytes(request);
    const bool last = &request == &requests.back();
    if (pause == std::chrono::milliseconds::zero() && !last) continue;
    reusable = reusable && send_all(std::exchange(text, {}), request, start + request.timeout, answers.front());
    if (!last) std::this_thread::sleep_for(pause);
  }
  for (std::size_t i = 0; i < requests.size() && reusable; ++i)
    reusable = read_answer(requests[i], start + requests[i].timeout, answers[i]);
  if (!reusable || !buffer_.empty()) close();
  return answers;
}

}  // namespace damaskthread::support
