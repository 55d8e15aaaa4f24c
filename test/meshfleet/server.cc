#include "meshfleet/server.h"

#include <boost/asio/post.hpp>
#include <utility>

#include "damaskthread/mesh/clock.h"

namespace damaskthread::meshfleet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kHeartbeat{300};
// No request may arrive later than this after the acknowledgement of a departure.
constexpr seconds kDrainBound{2};
constexpr std::size_t kMinResponseBytes = 200;

std::string address(std::uint16_t port) { return "127.0.0.1:" + std::to_string(port); }

}  // namespace

Server::Server(boost::asio::io_context& io, std::string service, const VmPorts& ports, std::string callee,
               ExecutionLog& execution_log, unsigned seed, std::size_t max_response_bytes)
    : io_(io),
      service_(std::move(service)),
      ports_(ports),
      callee_(std::move(callee)),
      execution_log_(execution_log),
      random_(seed),
      max_response_bytes_(max_response_bytes),
      heartbeat_timer_(io) {}

void Server::start() {
  id_ = "i-" + std::to_string(ports_.server_port) + "-" + std::to_string(generation_ + 1);
  listen();
}

void Server::start_under_same_id() { listen(); }

void Server::listen() {
  ++generation_;
  sequence_ = 0;
  started_at_ms_ =
      std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
  leaving_ = false;
  leave_acknowledged_ = Clock::time_point::max();
  listener_ = std::make_unique<mesh::HttpListener>(io_, http::Endpoint{"127.0.0.1", ports_.server_port}, 1000,
                                                   [this](const auto& request) { handle(request); });
  send_heartbeat();
  schedule_heartbeat();
}

void Server::crash() {
  heartbeat_timer_.cancel();
  for (const auto& call : std::exchange(calls_, {})) call->close();
  listener_.reset();
}

void Server::leave() {
  leaving_ = true;
  send_heartbeat();
}

void Server::schedule_heartbeat() {
  heartbeat_timer_.expires_after(kHeartbeat);
  heartbeat_timer_.async_wait([this](const boost::system::error_code& error) {
    if (error || listener_ == nullptr) return;
    send_heartbeat();
    schedule_heartbeat();
  });
}

void Server::send_heartbeat() {
  http::Request request;
  request.method = "POST";
  request.target = "/rpc?call=instances.heartbeat&of=" + id_;
  request.headers = {{"Host", address(ports_.control_port)}};
  request.body = R"({"address":")" + address(ports_.local_server()) + R"(","born":)" + std::to_string(started_at_ms_) +
                 R"(,"info":{"service":")" + service_ + R"(","version":"v1","zone":"z","capacity":)" +
                 std::to_string(capacity_) + R"(},"status":{"state":")" + (leaving_ ? "draining" : "ready") +
                 R"(","sequence":)" + std::to_string(++sequence_) + R"(,"cold_left":"0ms"}})";
  if (control_ != nullptr) control_->close();
  control_ = std::make_shared<mesh::HttpConnection>(io_, http::Endpoint{"127.0.0.1", ports_.control_port},
                                                    mesh::StreamTimeouts{});
  control_->send(request, [this, generation = generation_, leaving = leaving_](const mesh::ExchangeResult& exchange) {
    if (generation != generation_ || !leaving || exchange.response.status != 200) return;
    leave_acknowledged_ = std::min(leave_acknowledged_, Clock::now());
  });
}

std::string Server::response_body(const std::string& attempt_id, std::size_t max_bytes) {
  std::string body = attempt_id + ":";
  const std::size_t size = kMinResponseBytes + std::hash<std::string>{}(attempt_id) % (max_bytes - kMinResponseBytes);
  while (body.size() < size) body += attempt_id;
  return body;
}

void Server::handle(const std::shared_ptr<mesh::CallerRequest>& request) {
  const http::Headers& headers = request->request.headers;
  const std::string attempt(http::find(headers, "X-Attempt-Id"));
  if (request->request.target == "/health") {
    request->answer({leaving_ ? 503 : 200, {{"X-Instance-Id", id_}}, ""});
    return;
  }
  const std::string_view target = http::find(headers, "X-Target-Instance");
  if (!target.empty() && target != id_) {
    request->answer({421, {{"X-Instance-Id", id_}}, ""});
    return;
  }
  if (leave_acknowledged() && Clock::now() - leave_acknowledged_ > kDrainBound) {
    execution_log_.violations.push_back("attempt " + attempt + " reached " + id_ + " after the drain bound");
  }
  if (http::find(headers, "X-Caller-Service").empty()) {
    execution_log_.violations.push_back("attempt " + attempt + " has no X-Caller-Service");
  }
  if (!http::find(headers, "Authorization").empty()) {
    execution_log_.violations.push_back("attempt " + attempt + " reached " + id_ + " with credentials");
  }
  if (std::uniform_real_distribution<double>(0, 1)(random_) < rejected_share_) {
    request->answer({503, {{"X-Attempt-Id", attempt}, {"X-Not-Executed", "1"}}, ""});
    return;
  }
  ++execution_log_.runs[attempt];
  execution_log_.headers[attempt] = headers;
  execution_log_.tenants[attempt].emplace(http::find(headers, "X-Tenant"));
  execution_log_.caller_services[attempt] = http::find(headers, "X-Caller-Service");
  if (request->request.target.find("poison") != std::string::npos) {
    ++execution_log_.poison_crashes;
    // Deferred, since a crash closes the connection whose handler is running.
    boost::asio::post(io_, [this] { crash(); });
    return;
  }
  auto timer = std::make_shared<boost::asio::steady_timer>(io_);
  timer->expires_after(run_time_ + milliseconds(5 + random_() % 60));
  timer->async_wait([this, timer, request, attempt, generation = generation_](const boost::system::error_code& error) {
    if (!error && generation == generation_ && listener_ != nullptr) run(request, attempt);
  });
}

void Server::run(const std::shared_ptr<mesh::CallerRequest>& request, const std::string& attempt) {
  if (callee_.empty()) return finish(request, attempt, status_);
  http::Request call;
  call.target = "/in/" + attempt;
  call.headers = {{"Host", callee_}, {"X-Attempt-Id", attempt + ".1"}, {"X-Deadline-Ms", "1000"}};
  const auto connection = std::make_shared<mesh::HttpConnection>(io_, http::Endpoint{"127.0.0.1", ports_.caller_port},
                                                                 mesh::StreamTimeouts{});
  calls_.insert(connection);
  connection->send(
      call, [this, connection, request, attempt, generation = generation_](const mesh::ExchangeResult& exchange) {
        boost::asio::post(io_, [this, connection] { calls_.erase(connection); });
        if (generation != generation_ || listener_ == nullptr) return;
        finish(request, attempt, exchange.response.status == 200 ? status_ : 500);
      });
}

void Server::finish(const std::shared_ptr<mesh::CallerRequest>& request, const std::string& attempt, int status) {
  http::Response response{status, {{"X-Attempt-Id", attempt}, {"X-Server-Seal", id_}}, ""};
  if (status == 200) response.body = response_body(attempt, max_response_bytes_);
  request->answer(response);
}

}  // namespace damaskthread::meshfleet
