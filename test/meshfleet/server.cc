#include "meshfleet/server.h"

#include <boost/asio/post.hpp>
#include <utility>

#include "damaskthread/mesh/clock.h"

namespace damaskthread::meshfleet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kHeartbeat{300};
// After the acknowledgement of a leave no request may arrive later than this.
constexpr seconds kDrain{2};
constexpr int kCapacity = 20;

std::string address(std::uint16_t port) { return "127.0.0.1:" + std::to_string(port); }

}  // namespace

Server::Server(boost::asio::io_context& io, std::string service, const VmPorts& ports, std::string callee,
               Ledger& ledger, unsigned seed)
    : io_(io),
      service_(std::move(service)),
      ports_(ports),
      callee_(std::move(callee)),
      ledger_(ledger),
      random_(seed),
      beat_timer_(io) {}

void Server::start() {
  id_ = "i-" + std::to_string(ports_.app) + "-" + std::to_string(++life_);
  sequence_ = 0;
  born_ = std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
  leaving_ = false;
  leave_acknowledged_ = Clock::time_point::max();
  listener_ = std::make_unique<mesh::HttpListener>(io_, http::Endpoint{"127.0.0.1", ports_.app}, 1000,
                                                   [this](const auto& request) { handle(request); });
  beat();
  schedule_beat();
}

void Server::crash() {
  beat_timer_.cancel();
  for (const auto& call : std::exchange(calls_, {})) call->close();
  listener_.reset();
}

void Server::leave() {
  leaving_ = true;
  beat();
}

void Server::schedule_beat() {
  beat_timer_.expires_after(kHeartbeat);
  beat_timer_.async_wait([this](const boost::system::error_code& error) {
    if (error || listener_ == nullptr) return;
    beat();
    schedule_beat();
  });
}

void Server::beat() {
  http::Request request;
  request.method = "POST";
  request.target = "/rpc?call=instances.heartbeat&of=" + id_;
  request.headers = {{"Host", address(ports_.control)}};
  request.body = R"({"address":")" + address(ports_.app) + R"(","born":)" + std::to_string(born_) +
                 R"(,"info":{"service":")" + service_ + R"(","version":"v1","zone":"z","capacity":)" +
                 std::to_string(kCapacity) + R"(},"status":{"state":")" + (leaving_ ? "draining" : "ready") +
                 R"(","sequence":)" + std::to_string(++sequence_) + R"(,"cold_left":"0ms"}})";
  if (control_ != nullptr) control_->close();
  control_ =
      std::make_shared<mesh::HttpConnection>(io_, http::Endpoint{"127.0.0.1", ports_.control}, mesh::StreamTimeouts{});
  control_->send(request, [this, life = life_, leaving = leaving_](const mesh::ExchangeResult& exchange) {
    if (life != life_ || !leaving || exchange.response.status != 200) return;
    leave_acknowledged_ = std::min(leave_acknowledged_, Clock::now());
  });
}

std::string Server::body_of(const std::string& attempt_id) {
  std::string body = attempt_id + ":";
  const std::size_t size = 200 + std::hash<std::string>{}(attempt_id) % 20'000;
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
  if (leave_acknowledged() && Clock::now() - leave_acknowledged_ > kDrain) {
    ledger_.violations.push_back("attempt " + attempt + " reached " + id_ + " long after it said that it leaves");
  }
  if (http::find(headers, "X-Caller-Service").empty()) {
    ledger_.violations.push_back("attempt " + attempt + " names no calling service");
  }
  ++ledger_.runs[attempt];
  if (request->request.target.find("poison") != std::string::npos) {
    ++ledger_.poisoned;
    // Not within the handler of the connection that ends.
    boost::asio::post(io_, [this] { crash(); });
    return;
  }
  auto timer = std::make_shared<boost::asio::steady_timer>(io_);
  timer->expires_after(milliseconds(5 + random_() % 60));
  timer->async_wait([this, timer, request, attempt, life = life_](const boost::system::error_code& error) {
    if (!error && life == life_ && listener_ != nullptr) run(request, attempt);
  });
}

void Server::run(const std::shared_ptr<mesh::CallerRequest>& request, const std::string& attempt) {
  if (callee_.empty()) return finish(request, attempt, status_);
  http::Request call;
  call.target = "/in/" + attempt;
  call.headers = {{"Host", callee_}, {"X-Attempt-Id", attempt + ".1"}, {"X-Deadline-Ms", "1000"}};
  const auto connection =
      std::make_shared<mesh::HttpConnection>(io_, http::Endpoint{"127.0.0.1", ports_.calls}, mesh::StreamTimeouts{});
  calls_.insert(connection);
  connection->send(call, [this, connection, request, attempt, life = life_](const mesh::ExchangeResult& exchange) {
    boost::asio::post(io_, [this, connection] { calls_.erase(connection); });
    if (life != life_ || listener_ == nullptr) return;
    finish(request, attempt, exchange.response.status == 200 ? status_ : 500);
  });
}

void Server::finish(const std::shared_ptr<mesh::CallerRequest>& request, const std::string& attempt, int status) {
  http::Response response{status, {{"X-Attempt-Id", attempt}, {"X-Server-Seal", id_}}, ""};
  if (status == 200) response.body = body_of(attempt);
  request->answer(response);
}

}  // namespace damaskthread::meshfleet
