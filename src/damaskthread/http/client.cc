#include "damaskthread/http/client.h"

#include <sys/socket.h>

#include <atomic>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <map>
#include <mutex>
#include <utility>
#include <vector>

#include "damaskthread/http/socket_stream.h"

namespace damaskthread::http {
namespace {

namespace beast = boost::beast;
using Clock = std::chrono::steady_clock;
using internal::Socket;
using internal::SocketStream;

constexpr std::uint32_t kMaxResponseHeaderBytes = 16U << 10U;
constexpr unsigned kFirstFinalStatus = 200;
constexpr unsigned kLastStatus = 599;
// A TCP connection inside a region takes about 1 ms; a slower peer is treated as unreachable.
constexpr core::Duration kConnectTimeout = std::chrono::seconds(1);

struct IdleConnection {
  Socket socket;
  Clock::time_point idle_since;
};

using Message = beast::http::request<beast::http::span_body<const char>>;

Message build_message(const Endpoint& endpoint, const Request& request) {
  Message message;
  message.version(11);
  message.method_string(request.method);
  message.target(request.target);
  for (const Header& header : request.headers) message.insert(header.name, header.value);
  if (message.find(beast::http::field::host) == message.end()) {
    message.set(beast::http::field::host, to_string(endpoint));
  }
  message.body() = {request.body.data(), request.body.size()};
  message.prepare_payload();
  return message;
}

Response to_response(beast::http::response<beast::http::string_body>&& message) {
  Response response;
  response.status = static_cast<int>(message.result_int());
  for (const auto& field : message) {
    response.headers.push_back({std::string(field.name_string()), std::string(field.value())});
  }
  response.body = std::move(message.body());
  return response;
}

}  // namespace

struct Cancellation::State {
  mutable std::mutex mutex;
  bool cancelled = false;
  int active_descriptor = -1;
};

Cancellation::Cancellation() : state_(std::make_unique<State>()) {}
Cancellation::~Cancellation() = default;

void Cancellation::cancel() {
  const std::lock_guard lock(state_->mutex);
  state_->cancelled = true;
  // Wakes the thread blocked on the socket and tells the peer that the caller no longer waits.
  if (state_->active_descriptor >= 0) ::shutdown(state_->active_descriptor, SHUT_RDWR);
}

bool Cancellation::cancelled() const noexcept {
  const std::lock_guard lock(state_->mutex);
  return state_->cancelled;
}

struct Client::Impl {
  explicit Impl(ClientOptions client_options) : options(client_options) {}

  Socket take_idle(const Endpoint& endpoint) {
    const std::lock_guard lock(mutex);
    const auto found = idle.find(endpoint);
    if (found == idle.end()) return Socket();
    std::vector<IdleConnection>& connections = found->second;
    const auto now = Clock::now();
    while (!connections.empty()) {
      IdleConnection last = std::move(connections.back());
      connections.pop_back();
      if (now - last.idle_since <= options.idle_timeout && !internal::is_stale(last.socket))
        return std::move(last.socket);
    }
    return Socket();
  }

  void return_to_pool(const Endpoint& endpoint, Socket socket) {
    const std::lock_guard lock(mutex);
    std::vector<IdleConnection>& connections = idle[endpoint];
    const auto now = Clock::now();
    std::erase_if(connections,
                  [&](const IdleConnection& entry) { return now - entry.idle_since > options.idle_timeout; });
    if (connections.size() >= options.max_idle_per_endpoint) return;
    connections.push_back({std::move(socket), now});
  }

  ClientOptions options;
  std::mutex mutex;
  std::map<Endpoint, std::vector<IdleConnection>> idle;
  std::atomic<std::uint64_t> connections_opened = 0;
};

namespace {

// Registers the socket of an exchange with its cancellation for the duration of the scope.
class CancellationScope {
 public:
  CancellationScope(std::mutex* mutex, int* descriptor_slot, int descriptor)
      : mutex_(mutex), descriptor_slot_(descriptor_slot) {
    if (mutex_ == nullptr) return;
    const std::lock_guard lock(*mutex_);
    *descriptor_slot_ = descriptor;
  }
  ~CancellationScope() {
    if (mutex_ == nullptr) return;
    const std::lock_guard lock(*mutex_);
    *descriptor_slot_ = -1;
  }
  CancellationScope(const CancellationScope&) = delete;
  CancellationScope& operator=(const CancellationScope&) = delete;

 private:
  std::mutex* mutex_;
  int* descriptor_slot_;
};

struct ExchangeAttempt {
  ExchangeResult result;
  bool reusable = false;
};

Failure to_failure(const boost::system::error_code& error, FailureKind kind) {
  if (error == boost::system::errc::timed_out) return {FailureKind::kTimeout};
  return {kind};
}

ExchangeAttempt exchange_once(int descriptor, const Message& message, std::size_t max_body,
                              Clock::time_point deadline) {
  SocketStream stream(descriptor, deadline);
  boost::system::error_code error;
  beast::http::serializer<true, beast::http::span_body<const char>> serializer(message);
  beast::http::write(stream, serializer, error);
  // A server that refuses a large body may respond and close before it has read everything: its response is still read.
  if (error && error != boost::system::errc::broken_pipe && error != boost::system::errc::connection_reset) {
    return {to_failure(error, FailureKind::kConnectionLost)};
  }
  beast::flat_buffer buffer;
  beast::http::response_parser<beast::http::string_body> parser;
  parser.body_limit(max_body);
  parser.header_limit(kMaxResponseHeaderBytes);
  if (message.method() == beast::http::verb::head) parser.skip(true);
  beast::http::read_header(stream, buffer, parser, error);
  if (error) return {to_failure(error, FailureKind::kConnectionLost)};
  // An interim response is not final, and a body delimited by connection close cannot be verified as complete.
  const bool has_verifiable_end = parser.is_done() || parser.chunked() || parser.content_length().has_value();
  const unsigned status = parser.get().result_int();
  if (status < kFirstFinalStatus || status > kLastStatus || !has_verifiable_end)
    return {Failure{FailureKind::kIncomplete}};
  if (!parser.is_done()) beast::http::read(stream, buffer, parser, error);
  if (error || !parser.is_done()) return {to_failure(error, FailureKind::kIncomplete)};
  const bool reusable = parser.keep_alive() && buffer.size() == 0;
  return {to_response(parser.release()), reusable};
}

}  // namespace

Client::Client(ClientOptions options) : impl_(std::make_unique<Impl>(options)) {}
Client::~Client() = default;

std::uint64_t Client::connections_opened() const noexcept {
  return impl_->connections_opened.load(std::memory_order_relaxed);
}

ExchangeResult Client::send(const Endpoint& endpoint, const Request& request, core::Duration timeout,
                            ConnectionReuse reuse, Cancellation* cancellation) {
  if (cancellation != nullptr && cancellation->cancelled()) return Failure{FailureKind::kConnect};
  const auto deadline = Clock::now() + timeout;
  Socket socket = reuse == ConnectionReuse::kAllowed ? impl_->take_idle(endpoint) : Socket();
  if (!socket.valid()) {
    socket = internal::connect(endpoint, std::min(deadline, Clock::now() + kConnectTimeout));
    if (!socket.valid()) return Failure{FailureKind::kConnect};
    impl_->connections_opened.fetch_add(1, std::memory_order_relaxed);
  }
  Cancellation::State* state = cancellation == nullptr ? nullptr : cancellation->state_.get();
  ExchangeAttempt outcome;
  {
    const CancellationScope scope(state == nullptr ? nullptr : &state->mutex,
                                  state == nullptr ? nullptr : &state->active_descriptor, socket.descriptor());
    if (cancellation != nullptr && cancellation->cancelled()) return Failure{FailureKind::kConnect};
    outcome =
        exchange_once(socket.descriptor(), build_message(endpoint, request), impl_->options.max_body_bytes, deadline);
  }
  const bool failed = std::holds_alternative<Failure>(outcome.result);
  if (failed && cancellation != nullptr && cancellation->cancelled()) return Failure{FailureKind::kCancelled};
  if (outcome.reusable) impl_->return_to_pool(endpoint, std::move(socket));
  return std::move(outcome.result);
}

}  // namespace damaskthread::http
