#ifndef TEST_STANDIN_BACKEND_SERVER_RESPONDER_H_
#define TEST_STANDIN_BACKEND_SERVER_RESPONDER_H_

#include <cxxtools/http/reply.h>
#include <cxxtools/http/request.h>
#include <cxxtools/http/responder.h>
#include <cxxtools/http/service.h>

#include <iosfwd>
#include <map>
#include <string>
#include <string_view>

#include "state.h"
#include "support/http_caller.h"

namespace damaskthread::standin {

/// What is known of one request.
struct RequestInfo {
  std::map<std::string, std::string> query;
  std::string request_id;
  std::string key;  ///< Key of the journal: `op` of the query, or else the request id.
  int depth = 0;
  Clock::time_point deadline;
};

/// Answers every path: the control paths by name, anything else as work.
class BackendResponder : public cxxtools::http::Responder {
 public:
  BackendResponder(cxxtools::http::Service& service, State& state) : Responder(service), state_(state) {}

  void beginRequest(cxxtools::net::TcpSocket& socket, std::istream& in, cxxtools::http::Request& request) override;
  void reply(std::ostream& out, cxxtools::http::Request& request, cxxtools::http::Reply& reply) override;

 private:
  bool reply_control(std::ostream& out, cxxtools::http::Request& request, cxxtools::http::Reply& reply);
  void reply_work(std::ostream& out, cxxtools::http::Request& request, cxxtools::http::Reply& reply);
  /// @brief Spends the service time and makes the onward calls.
  /// @return The status of the answer.
  unsigned execute(const cxxtools::http::Request& request, const RequestInfo& info);
  unsigned sleep_until_done(const RequestInfo& info);
  unsigned call_onward(const OnwardCall& call, const cxxtools::http::Request& request, const RequestInfo& info);
  [[nodiscard]] RequestInfo inspect(const cxxtools::http::Request& request) const;
  [[nodiscard]] bool gone(const RequestInfo& info) const;
  /// @brief Writes part of an answer to the socket itself and ends the connection.
  void send_truncated(std::string_view mode, std::string_view body) const;

  State& state_;
  int socket_ = -1;
};

class BackendService : public cxxtools::http::Service {
 public:
  explicit BackendService(State& state) : state_(state) {}

 protected:
  cxxtools::http::Responder* createResponder(const cxxtools::http::Request&) override;
  void releaseResponder(cxxtools::http::Responder* responder) override;

 private:
  State& state_;
};

}  // namespace damaskthread::standin

#endif  // TEST_STANDIN_BACKEND_SERVER_RESPONDER_H_
