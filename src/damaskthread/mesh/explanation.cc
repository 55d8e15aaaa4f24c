#include "damaskthread/mesh/explanation.h"

#include <boost/leaf/handle_errors.hpp>
#include <nlohmann/json.hpp>
#include <utility>

#include "damaskthread/core/error.h"

namespace damaskthread::mesh {
namespace {

using Json = nlohmann::json;

constexpr std::string_view kPath = "/explain";
constexpr int kBadRequest = 400;
constexpr int kMethodNotAllowed = 405;

std::string dump(const Json& json) { return json.dump(2, ' ', false, Json::error_handler_t::replace); }

core::Error invalid(std::string_view parameter, std::string message) {
  return {core::ErrorCode::kInvalidInput, std::string(parameter), std::move(message)};
}

http::Response error_response(int status, const std::string& message) {
  http::Response response;
  response.status = status;
  response.body = dump({{"error", message}});
  return response;
}

Json cost_json(const placement::PlacementCost& cost) {
  return {{"total", cost.total()},      {"run_time", cost.run_time_cost()}, {"congestion", cost.congestion_cost()},
          {"failures", cost.failures},  {"cross_zone", cost.cross_zone},    {"objective_excess", cost.objective_excess},
          {"avoidance", cost.avoidance}};
}

Json candidate_json(const placement::Candidate& candidate) {
  Json json = {{"endpoint", candidate.endpoint},
               {"same_zone", candidate.same_zone},
               {"cost", cost_json(candidate.cost)},
               {"possible", candidate.possible},
               {"excluded", nullptr}};
  if (candidate.exclusion != placement::Exclusion::kNone) json["excluded"] = to_string(candidate.exclusion);
  return json;
}

Json service_json(const ExplainedService& service) {
  Json candidates = Json::array();
  Json chosen;
  for (const placement::Candidate& candidate : service.candidates) {
    candidates.push_back(candidate_json(candidate));
    if (candidate.cheapest) chosen = candidate.endpoint;
  }
  Json json = {{"service", service.service},
               {"split_share", service.split_share},
               {"needed", service.needed},
               {"admitted_share", service.admitted_share},
               {"limited_by", nullptr},
               {"chosen", std::move(chosen)},
               {"candidates", std::move(candidates)}};
  if (!service.limited_by.empty()) json["limited_by"] = service.limited_by;
  return json;
}

Json quota_json(const quota::QuotaState& state) {
  return {{"admission", to_string(state.admission)},
          {"credits", state.credits},
          {"waiting", state.waiting},
          {"arrivals_per_s", state.arrivals_per_second},
          {"admitted_per_s", state.admitted_per_second}};
}

}  // namespace

bool is_explain_target(std::string_view target) noexcept { return target.substr(0, target.find('?')) == kPath; }

boost::leaf::result<ExplainQuery> parse_explain_query(std::string_view target) {
  const auto parameters = http::parse_query(target);
  if (!parameters) return boost::leaf::new_error(invalid("query", "expected valid percent-encoding"));
  std::optional<std::string> host;
  std::optional<std::string> path;
  ExplainQuery query;
  for (const http::QueryParameter& parameter : *parameters) {
    std::optional<std::string>* const value = parameter.name == "host"     ? &host
                                              : parameter.name == "path"   ? &path
                                              : parameter.name == "tenant" ? &query.tenant
                                                                           : nullptr;
    if (value == nullptr) {
      return boost::leaf::new_error(invalid("query", "expected only the parameters host, path and tenant"));
    }
    if (*value) return boost::leaf::new_error(invalid(parameter.name, "expected only once"));
    if (parameter.value.empty()) return boost::leaf::new_error(invalid(parameter.name, "expected a value"));
    *value = parameter.value;
  }
  if (!host) return boost::leaf::new_error(invalid("host", "expected a value"));
  if (!path || path->front() != '/')
    return boost::leaf::new_error(invalid("path", "expected a path that begins with /"));
  query.host = std::move(*host);
  query.path = std::move(*path);
  return query;
}

std::string to_json(const Explanation& explanation) {
  Json json = {{"configuration", explanation.configuration},
               {"refusal", nullptr},
               {"route", nullptr},
               {"priority", nullptr},
               {"tenant", nullptr},
               {"quota", nullptr},
               {"services", Json::array()}};
  if (explanation.refusal) {
    json["refusal"] = {{"status", explanation.refusal->status}, {"reason", explanation.refusal->reason}};
  }
  if (!explanation.route.empty()) {
    json["route"] = explanation.route;
    json["priority"] = explanation.priority;
  }
  if (explanation.tenant) json["tenant"] = *explanation.tenant;
  if (explanation.quota) json["quota"] = quota_json(*explanation.quota);
  for (const ExplainedService& service : explanation.services) json["services"].push_back(service_json(service));
  return dump(json);
}

http::Response answer_explain(
    const http::Request& request,
    const std::function<boost::leaf::result<Explanation>(const ExplainQuery& query)>& explain) {
  if (request.method != "GET") {
    http::Response response = error_response(kMethodNotAllowed, "expected the method GET");
    http::set(response.headers, "Allow", "GET");
    return response;
  }
  return boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<http::Response> {
        BOOST_LEAF_AUTO(query, parse_explain_query(request.target));
        BOOST_LEAF_AUTO(explanation, explain(query));
        http::Response response;
        response.body = to_json(explanation);
        return response;
      },
      [](const core::Error& error) { return error_response(kBadRequest, error.where + ": " + error.message); },
      [] { return error_response(kBadRequest, "invalid query"); });
}

}  // namespace damaskthread::mesh
