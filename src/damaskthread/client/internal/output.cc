#include "damaskthread/client/internal/output.h"

#include <algorithm>
#include <array>
#include <iomanip>
#include <sstream>

namespace damaskthread::client::internal {
namespace {

using Rows = std::vector<std::vector<std::string>>;

const Json& array_of(const Json& object, const char* key) {
  static const Json empty = Json::array();
  if (!object.is_object()) return empty;
  const auto it = object.find(key);
  return it != object.end() && it->is_array() ? *it : empty;
}

const Json& member(const Json& object, const char* key) {
  static const Json none;
  if (!object.is_object()) return none;
  const auto it = object.find(key);
  return it == object.end() ? none : *it;
}

std::string number_text(const Json& value) {
  if (!value.is_number_float()) return value.dump();
  std::ostringstream text;
  text << std::setprecision(4) << value.get<double>();
  return text.str();
}

std::string seconds_text(const Json& daemon) {
  const auto it = daemon.find("behind_ms");
  if (it == daemon.end() || !it->is_number()) return field_text(daemon, "since");
  std::ostringstream text;
  text << std::fixed << std::setprecision(1) << it->get<double>() / 1000.0 << " s";
  return text.str();
}

std::string burn_rate_text(const Json& objective, const char* window) {
  if (!objective.contains("windows") || !objective["windows"].is_object()) return "-";
  const Json& windows = objective["windows"];
  return windows.contains(window) ? field_text(windows[window], "burn_rate") : "-";
}

std::string candidate_result(const Json& service, const Json& candidate) {
  const Json& excluded = member(candidate, "excluded");
  if (excluded.is_string()) return "excluded: " + excluded.get<std::string>();
  if (member(candidate, "endpoint") == member(service, "chosen")) return "chosen";
  return field_text(candidate, "possible") == "yes" ? "possible" : "costs more";
}

}  // namespace

std::string format_table(const Rows& rows) {
  std::vector<std::size_t> widths;
  for (const auto& row : rows) {
    widths.resize(std::max(widths.size(), row.size()));
    for (std::size_t i = 0; i < row.size(); ++i) widths[i] = std::max(widths[i], row[i].size());
  }
  std::string text;
  for (const auto& row : rows) {
    std::string line;
    for (std::size_t i = 0; i < row.size(); ++i) {
      line += row[i];
      if (i + 1 < row.size()) line.append(widths[i] + 2 - row[i].size(), ' ');
    }
    text += line + '\n';
  }
  return text;
}

std::string field_text(const Json& object, const std::string& key) {
  if (!object.is_object()) return "-";
  const auto it = object.find(key);
  if (it == object.end() || it->is_null()) return "-";
  if (it->is_boolean()) return it->get<bool>() ? "yes" : "no";
  return it->is_string() ? it->get<std::string>() : number_text(*it);
}

std::string format_list(const Json& resources) {
  Rows rows = {{"KIND", "NAME", "VERSION", "AUTHOR"}};
  for (const Json& resource : resources) {
    rows.push_back({field_text(resource, "kind"), field_text(resource, "name"), field_text(resource, "version"),
                    field_text(resource, "author")});
  }
  return format_table(rows);
}

std::string format_status(const Json& status) {
  std::string text = "revision " + field_text(status, "revision") + ", at the slowest known daemon " +
                     field_text(status, "slowest_revision") + ", log " + field_text(status, "log") + "\n\n";
  Rows rows = {{"KIND", "NAME", "DESIRED", "IN FORCE EVERYWHERE", "AUTHOR"}};
  for (const Json& resource : array_of(status, "resources")) {
    rows.push_back({field_text(resource, "kind"), field_text(resource, "name"), field_text(resource, "desired_version"),
                    field_text(resource, "in_force_everywhere"), field_text(resource, "author")});
  }
  text += format_table(rows);
  const Json& lagging = array_of(status, "lagging");
  if (!lagging.empty()) {
    Rows behind = {{"LAGGING DAEMON", "REVISION", "BEHIND FOR"}};
    for (const Json& daemon : lagging) {
      behind.push_back({field_text(daemon, "name"), field_text(daemon, "revision"), seconds_text(daemon)});
    }
    text += '\n' + format_table(behind);
  }
  const Json& unknown = array_of(status, "unknown");
  if (unknown.empty()) return text;
  text += "\nUNKNOWN DAEMONS\n";
  for (const Json& name : unknown) text += (name.is_string() ? name.get<std::string>() : name.dump()) + '\n';
  return text;
}

std::string format_report(const Json& report) {
  Rows rows = {{"SERVICE", "IMPORTANCE", "TARGET", "BUDGET LEFT", "BURN 5M", "BURN 1H", "BURN 6H", "ALERT"}};
  for (const Json& objective : array_of(report, "objectives")) {
    std::vector<std::string> row;
    for (const char* key : {"service", "importance", "target", "budget_left"})
      row.push_back(field_text(objective, key));
    for (const char* window : {"5m", "1h", "6h"}) row.push_back(burn_rate_text(objective, window));
    row.push_back(field_text(objective, "alert"));
    rows.push_back(std::move(row));
  }
  std::string text = format_table(rows);
  const Json& missing = array_of(report, "missing");
  if (missing.empty()) return text;
  text += "\nNOT INCLUDED (no answer)\n";
  for (const Json& name : missing) text += (name.is_string() ? name.get<std::string>() : name.dump()) + '\n';
  return text;
}

std::string format_explanation(const Json& explanation) {
  std::string text = "route " + field_text(explanation, "route") + ", priority " + field_text(explanation, "priority") +
                     ", tenant " + field_text(explanation, "tenant") + ", configuration " +
                     field_text(explanation, "configuration") + '\n';
  const Json& quota = member(explanation, "quota");
  if (quota.is_object()) {
    text += "quota: " + field_text(quota, "admission") + ", credits " + field_text(quota, "credits") + ", waiting " +
            field_text(quota, "waiting") + ", arrivals " + field_text(quota, "arrivals_per_s") + "/s, admitted " +
            field_text(quota, "admitted_per_s") + "/s\n";
  }
  const Json& refusal = member(explanation, "refusal");
  if (refusal.is_object()) {
    text += "refused with " + field_text(refusal, "status") + ": " + field_text(refusal, "reason") + '\n';
  }
  for (const Json& service : array_of(explanation, "services")) {
    text += "\nservice " + field_text(service, "service") + ", split share " + field_text(service, "split_share") +
            ", admitted share " + field_text(service, "admitted_share") + ", limited by " +
            field_text(service, "limited_by") + ", chosen " + field_text(service, "chosen") + '\n';
    Rows rows = {{"SERVER", "DOMAIN", "COST", "RUN TIME", "CONGESTION", "CROSS-DOMAIN", "FAILURES", "OBJECTIVE",
                  "AVOIDANCE", "RESULT"}};
    for (const Json& candidate : array_of(service, "candidates")) {
      std::vector<std::string> row = {field_text(candidate, "endpoint"),
                                      field_text(candidate, "same_zone") == "yes" ? "own" : "other"};
      for (const char* term :
           {"total", "run_time", "congestion", "cross_zone", "failures", "objective_excess", "avoidance"}) {
        row.push_back(field_text(member(candidate, "cost"), term));
      }
      row.push_back(candidate_result(service, candidate));
      rows.push_back(std::move(row));
    }
    text += rows.size() > 1 ? format_table(rows) : "no server is known to this daemon\n";
  }
  return text;
}

bool is_placeable(const Json& explanation) {
  const Json& services = array_of(explanation, "services");
  return !services.empty() && member(explanation, "refusal").is_null() &&
         std::all_of(services.begin(), services.end(),
                     [](const Json& service) { return member(service, "chosen").is_string(); });
}

bool is_settled(const Json& status) {
  const Json& resources = array_of(status, "resources");
  const bool in_force = std::all_of(resources.begin(), resources.end(), [](const Json& resource) {
    return field_text(resource, "in_force_everywhere") != "no";
  });
  return in_force && array_of(status, "lagging").empty() && array_of(status, "unknown").empty();
}

}  // namespace damaskthread::client::internal
