#include "damaskthread/mesh/policy.h"

#include <chrono>
#include <cmath>
#include <cstddef>
#include <nlohmann/json.hpp>
#include <span>
#include <sstream>
#include <variant>

#include "damaskthread/core/types.h"
#include "damaskthread/settings/internal/object_reader.h"

namespace damaskthread::mesh {
namespace {

using settings::Errors;
using settings::internal::ObjectReader;
using settings::internal::Presence;
using Milliseconds = std::chrono::duration<double, std::milli>;

// An option: its name, its member and the range of its values. Names of durations end in `_ms`.
template <typename Options>
struct Option {
  const char* name;
  std::variant<double Options::*, int Options::*, bool Options::*, std::size_t Options::*, core::Duration Options::*>
      member;
  double min_value;
  double max_value;
};

constexpr double kMaxCost = 100;
constexpr double kMaxCount = 1e6;
constexpr double kMaxMilliseconds = 1e6;

using entrance::ThrottleOptions;
constexpr Option<ThrottleOptions> kEntranceOptions[] = {
    {"target_demand", &ThrottleOptions::target_demand, 0.1, kMaxCost},
    {"queue_penalty_factor", &ThrottleOptions::queue_penalty_factor, 0, kMaxCost},
    {"max_queue_penalty", &ThrottleOptions::max_queue_penalty, 0, 1},
    {"demand_time_constant_ms", &ThrottleOptions::demand_time_constant, 0, kMaxMilliseconds},
    {"share_time_constant_ms", &ThrottleOptions::share_time_constant, 0, kMaxMilliseconds},
    {"steady_share_time_constant_ms", &ThrottleOptions::steady_share_time_constant, 0, kMaxMilliseconds},
    {"max_share_rise_per_second", &ThrottleOptions::max_share_rise_per_second, 0.01, kMaxCost},
    {"min_priority_share", &ThrottleOptions::min_priority_share, 0, 1},
    {"min_share", &ThrottleOptions::min_share, 0.001, 1}};

using gate::GateOptions;
constexpr Option<GateOptions> kGateOptions[] = {{"usable_capacity_share", &GateOptions::usable_capacity_share, 0.01, 1},
                                                {"smoothing", &GateOptions::smoothing, 0.001, 1},
                                                {"min_run_time_share", &GateOptions::min_run_time_share, 0, 10},
                                                {"queue_priorities", &GateOptions::queue_priorities, 1, kMaxCount}};

using overlay::LinkPlanOptions;
constexpr Option<LinkPlanOptions> kLinkOptions[] = {
    {"full_mesh_limit", &LinkPlanOptions::full_mesh_limit, 0, kMaxCount}};

using pace::RampUpOptions;
constexpr Option<RampUpOptions> kPaceOptions[] = {
    {"enabled", &RampUpOptions::enabled, 0, 1},
    {"initial_share", &RampUpOptions::initial_share, 0.01, 1},
    {"good_run_time", &RampUpOptions::good_run_time, 1, kMaxCost},
    {"bad_run_time", &RampUpOptions::bad_run_time, 1, kMaxCost},
    {"decrease", &RampUpOptions::decrease, 0.1, 1},
    {"max_duration_ms", &RampUpOptions::max_duration, 0, kMaxMilliseconds},
    {"smoothing", &RampUpOptions::smoothing, 0.001, 1}};

using placement::ServerPoolOptions;
constexpr Option<ServerPoolOptions> kPlacementOptions[] = {
    {"cross_zone_cost", &ServerPoolOptions::cross_zone_cost, 0, kMaxCost},
    {"run_time_weight", &ServerPoolOptions::run_time_weight, 0, kMaxCost},
    {"min_run_time_weight", &ServerPoolOptions::min_run_time_weight, 0, 1},
    {"congestion_threshold", &ServerPoolOptions::congestion_threshold, 0, 1},
    {"saturation_cost", &ServerPoolOptions::saturation_cost, 0, kMaxCost},
    {"queue_cost", &ServerPoolOptions::queue_cost, 0, kMaxCost},
    {"failure_cost", &ServerPoolOptions::failure_cost, 0, kMaxCost},
    {"max_run_time_ratio", &ServerPoolOptions::max_run_time_ratio, 1, kMaxCost},
    {"smoothing", &ServerPoolOptions::smoothing, 0.001, 1},
    {"refusal_backoff_ms", &ServerPoolOptions::refusal_backoff, 0, kMaxMilliseconds},
    {"work_time_persistence_ms", &ServerPoolOptions::work_time_persistence, 1, kMaxMilliseconds},
    {"heartbeat_overdue_after_ms", &ServerPoolOptions::heartbeat_overdue_after, 0, kMaxMilliseconds}};

using quarantine::CrashCounterOptions;
constexpr Option<CrashCounterOptions> kQuarantineOptions[] = {
    {"crash_threshold", &CrashCounterOptions::crash_threshold, 1, kMaxCount}};

using retry::RepeatBudgetOptions;
constexpr Option<RepeatBudgetOptions> kRepeatOptions[] = {
    {"limit_fraction", &RepeatBudgetOptions::limit_fraction, 0, 1},
    {"ordinary_fraction", &RepeatBudgetOptions::ordinary_fraction, 0, 1},
    {"ordinary_step_fraction", &RepeatBudgetOptions::ordinary_step_fraction, 0, 1},
    {"interval_fraction", &RepeatBudgetOptions::interval_fraction, 0, 1},
    {"progress_levels", &RepeatBudgetOptions::progress_levels, 1, kMaxCount},
    {"smoothing", &RepeatBudgetOptions::smoothing, 0.001, 1},
    {"max_threshold_rise", &RepeatBudgetOptions::max_threshold_rise, 0.001, 1}};

constexpr Option<RequestOptions> kRequestOptions[] = {
    {"max_wait_share", &RequestOptions::max_wait_share, 0, 1},
    {"retry_after_share", &RequestOptions::retry_after_share, 0, 1},
    {"retry_after_min_factor", &RequestOptions::retry_after_min_factor, 0, 1},
    {"max_hedges", &RequestOptions::max_hedges, 0, kMaxCount},
    {"preconnected_services", &RequestOptions::preconnected_services, 0, kMaxCount}};

// Calls a function with the name, the options and the option table of each section.
template <typename PolicyType, typename Function>
void for_each_section(PolicyType& policy, Function&& function) {
  function("entrance", policy.entrance, std::span(kEntranceOptions));
  function("gate", policy.gate, std::span(kGateOptions));
  function("links", policy.links, std::span(kLinkOptions));
  function("pace", policy.pace, std::span(kPaceOptions));
  function("placement", policy.placement, std::span(kPlacementOptions));
  function("quarantine", policy.quarantine, std::span(kQuarantineOptions));
  function("repeats", policy.repeats, std::span(kRepeatOptions));
  function("requests", policy.requests, std::span(kRequestOptions));
}

double to_number(double value) { return value; }
double to_number(int value) { return value; }
double to_number(bool value) { return value ? 1 : 0; }
double to_number(std::size_t value) { return static_cast<double>(value); }
double to_number(core::Duration value) { return Milliseconds(value).count(); }

void assign(double& target, double value) { target = value; }
void assign(int& target, double value) { target = static_cast<int>(value); }
void assign(bool& target, double value) { target = value != 0; }
void assign(std::size_t& target, double value) { target = static_cast<std::size_t>(value); }
void assign(core::Duration& target, double value) {
  target = std::chrono::duration_cast<core::Duration>(Milliseconds(value));
}

std::string format_number(double value) {
  std::ostringstream out;
  out << value;
  return std::move(out).str();
}

template <typename Options>
void read_option(ObjectReader& reader, Options& options, const Option<Options>& option) {
  const nlohmann::json* const value = reader.field(option.name, Presence::kOptional);
  if (value == nullptr) return;
  if (!value->is_number() || value->get<double>() < option.min_value || value->get<double>() > option.max_value) {
    reader.error(option.name, "expected a number from " + format_number(option.min_value) + " to " +
                                  format_number(option.max_value));
    return;
  }
  const bool counts = std::holds_alternative<int Options::*>(option.member) ||
                      std::holds_alternative<bool Options::*>(option.member) ||
                      std::holds_alternative<std::size_t Options::*>(option.member);
  if (counts && std::trunc(value->get<double>()) != value->get<double>()) {
    reader.error(option.name, "expected a whole number");
    return;
  }
  std::visit([&](const auto member) { assign(options.*member, value->get<double>()); }, option.member);
}

}  // namespace

void read_policy(const nlohmann::json* node, std::string_view source, Errors& errors, Policy& policy) {
  if (node == nullptr) return;
  ObjectReader reader(node, std::string(source), "policy", errors);
  for_each_section(policy, [&](const char* name, auto& options, const auto table) {
    const nlohmann::json* const section = reader.field(name, Presence::kOptional);
    if (section == nullptr) return;
    ObjectReader section_reader(section, std::string(source), std::string("policy.") + name, errors);
    for (const auto& option : table) read_option(section_reader, options, option);
    section_reader.report_unknown_fields();
  });
  reader.report_unknown_fields();
}

std::string describe(const Policy& policy) {
  std::string text;
  for_each_section(policy, [&text](const char* name, const auto& options, const auto table) {
    for (const auto& option : table) {
      const double value = std::visit([&](const auto member) { return to_number(options.*member); }, option.member);
      text.append("policy.").append(name).append(".").append(option.name).append(": ");
      text.append(format_number(value)).append("\n");
    }
  });
  return text;
}

}  // namespace damaskthread::mesh
