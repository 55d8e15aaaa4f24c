#ifndef DAMASKTHREAD_DAEMON_ADMIN_API_H_
#define DAMASKTHREAD_DAEMON_ADMIN_API_H_

/// @file
/// @brief Request handling of the admin port: resource API, status, metrics, health and the burn report.

#include <functional>
#include <string>
#include <string_view>

#include "damaskthread/daemon/control_plane.h"
#include "damaskthread/http/message.h"
#include "damaskthread/http/server.h"
#include "damaskthread/resource/api_handler.h"
#include "damaskthread/settings/settings.h"

namespace damaskthread::daemon {

/// Callbacks that produce the pages of other components.
struct AdminPages {
  std::function<std::string()> metrics;
  std::function<std::string()> status;
  /// Burn report over all reachable daemons; the argument selects HTML instead of JSON.
  std::function<std::string(bool html)> report;
  /// Burn snapshot of this daemon only, read by other daemons.
  std::function<std::string()> burn;
};

/// Routes admin requests to pages and the resource API. Runs on the threads of the admin server.
class AdminApi {
 public:
  AdminApi(const settings::Settings& settings, ControlPlane& control, AdminPages pages);

  [[nodiscard]] http::Response handle(http::Request&& request, const http::ConnectionInfo& arrival);

 private:
  [[nodiscard]] http::Response handle_resource(http::Request&& request, std::string_view path, std::string_view query,
                                               const settings::Operator& user, http::Cancellation& caller_gone);
  [[nodiscard]] resource::ApiResponse execute(const resource::AppendStep& step, http::Cancellation& caller_gone);
  [[nodiscard]] resource::ApiResponse execute(const resource::WatchStep& step, http::Cancellation& caller_gone);

  const settings::Settings& settings_;
  ControlPlane& control_;
  AdminPages pages_;
  resource::ApiHandler resources_;
};

}  // namespace damaskthread::daemon

#endif  // DAMASKTHREAD_DAEMON_ADMIN_API_H_
