#include "damaskthread/client/admin_client.h"

#include <memory>
#include <utility>

#include "damaskthread/http/client.h"

namespace damaskthread::client {

Transport http_transport() {
  auto client = std::make_shared<http::Client>();
  return [client](const http::Endpoint& server, const http::Request& request, core::Duration timeout) -> Answer {
    http::ExchangeResult result = client->send(server, request, timeout, http::ConnectionReuse::kNever);
    if (auto* response = std::get_if<http::Response>(&result)) return std::move(*response);
    const bool not_sent = std::get<http::Failure>(result).kind == http::FailureKind::kConnect;
    return not_sent ? NoAnswer::kUnavailable : NoAnswer::kUnknown;
  };
}

AdminClient::AdminClient(Transport transport, std::vector<http::Endpoint> servers, std::string token)
    : transport_(std::move(transport)), servers_(std::move(servers)), token_(std::move(token)) {}

Answer AdminClient::send(http::Request request, core::Duration timeout) {
  if (!token_.empty()) http::set(request.headers, "Authorization", "Bearer " + token_);
  NoAnswer failure = NoAnswer::kUnavailable;
  for (std::size_t tried = 0; tried < servers_.size(); ++tried) {
    Answer answer = transport_(servers_[current_], request, timeout);
    if (std::holds_alternative<http::Response>(answer)) return answer;
    if (std::get<NoAnswer>(answer) == NoAnswer::kUnknown) failure = NoAnswer::kUnknown;
    current_ = (current_ + 1) % servers_.size();
  }
  return failure;
}

Answer AdminClient::read(std::string target, core::Duration timeout) {
  return send({.method = "GET", .target = std::move(target), .headers = {}, .body = {}}, timeout);
}

}  // namespace damaskthread::client
