#ifndef DAMASKTHREAD_MESH_EXPLANATION_H_
#define DAMASKTHREAD_MESH_EXPLANATION_H_

/// @file
/// @brief The decisions that a request would meet at this daemon now, for operators.

#include <boost/leaf/result.hpp>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "damaskthread/http/message.h"
#include "damaskthread/placement/server_pool.h"
#include "damaskthread/quota/ledger.h"

namespace damaskthread::mesh {

/// A request that is explained but not sent.
struct ExplainQuery {
  std::string host;
  /// Path and query of the request.
  std::string path;
  /// Name of the tenant that would send it; nothing for a request without a key.
  std::optional<std::string> tenant;
};

/// A refusal that does not depend on the service.
struct ExplainedRefusal {
  int status = 0;
  std::string reason;
};

/// Admission and placement at one service of the route.
struct ExplainedService {
  std::string service;
  /// Share of the route's requests that this service gets.
  double split_share = 1;
  /// This service and those that the nested calls of the request are known to reach.
  std::vector<std::string> needed;
  /// Share of such requests that is admitted, and the service that limits it; empty if none does.
  double admitted_share = 1;
  std::string limited_by;
  /// Its servers, those that may be chosen first.
  std::vector<placement::Candidate> candidates;
};

struct Explanation {
  /// Version of the configuration in force; zero if there is none.
  std::uint64_t configuration = 0;
  std::optional<ExplainedRefusal> refusal;
  /// Name of the route; empty if none matches.
  std::string route;
  /// Priority of the request; 0 is the most important.
  int priority = 0;
  /// Nothing without a configuration, since the value of the query may then be a key.
  std::optional<std::string> tenant;
  /// Nothing if the tenant has no quota.
  std::optional<quota::QuotaState> quota;
  std::vector<ExplainedService> services;
};

/// @return Whether the target of an admin request asks for an explanation.
[[nodiscard]] bool is_explain_target(std::string_view target) noexcept;

/// @brief Parses `/explain?host=...&path=...&tenant=...`. Errors are `core::Error`; they repeat no value, since an
/// operator may have entered a key instead of a name.
[[nodiscard]] boost::leaf::result<ExplainQuery> parse_explain_query(std::string_view target);

[[nodiscard]] std::string to_json(const Explanation& explanation);

/// @brief Answers an admin request for an explanation.
/// @param explain Explains a valid query.
/// @return Status 200 with the explanation, or 400 or 405 with the member `error`.
[[nodiscard]] http::Response answer_explain(
    const http::Request& request,
    const std::function<boost::leaf::result<Explanation>(const ExplainQuery& query)>& explain);

}  // namespace damaskthread::mesh

#endif  // DAMASKTHREAD_MESH_EXPLANATION_H_
