#include "damaskthread/slo/report.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

#include "damaskthread/core/error.h"

namespace damaskthread::slo {
namespace {

namespace leaf = boost::leaf;
using nlohmann::json;

constexpr int kFormat = 1;
constexpr std::size_t kMaxReportBytes = 32U << 20;
constexpr std::size_t kMaxSources = 10'000;
constexpr std::size_t kMaxObjectives = 10'000;
constexpr std::size_t kMaxNameLength = 128;
// Sums of counts up to here, over all daemons, stay within 64 bits.
constexpr std::uint64_t kMaxCount = 1ULL << 48;
constexpr std::int64_t kMaxSeconds = 400LL * 86'400;
constexpr std::array<const char*, kWindowCount> kWindowNames = {"5m", "1h", "6h", "whole"};
constexpr std::size_t kCountFields = 5;

json counts_to_json(const Counts& counts) {
  return json::array({counts.good, counts.refused, counts.late, counts.failed, counts.held});
}

json objective_to_json(const ObjectiveBurn& burn) {
  const Objective& objective = burn.objective;
  json windows = json::object();
  for (std::size_t i = 0; i < kWindowCount; ++i) {
    windows[kWindowNames[i]] = {{"counts", counts_to_json(burn.windows[i])},
                                {"burn_rate", burn_rate(burn.windows[i], objective.target)}};
  }
  // Most objectives of a daemon have few calls, so the older points that hold none are left out.
  std::size_t length = kSeriesLength;
  while (length > 0 && burn.series[length - 1] == Counts{}) --length;
  json series = json::array();
  for (std::size_t i = 0; i < length; ++i) series.push_back(counts_to_json(burn.series[i]));
  return {{"service", objective.service},         {"importance", core::to_string(objective.importance)},
          {"target", objective.target},           {"latency_ms", objective.latency.count()},
          {"window_s", objective.window.count()}, {"covered_s", burn.covered.count()},
          {"windows", std::move(windows)},        {"series", std::move(series)},
          {"budget_left", budget_left(burn)},     {"alert", to_string(alert_of(burn))}};
}

/// Thrown inside parse_report only; it becomes the error object of the result.
struct ParseFailure {
  std::string where;
  std::string message;
};

const json& member(const json& object, const char* name, const std::string& where) {
  if (!object.is_object()) throw ParseFailure{where, "expected an object"};
  const auto found = object.find(name);
  if (found == object.end()) throw ParseFailure{where + "." + name, "missing"};
  return *found;
}

std::uint64_t number(const json& value, std::uint64_t high, const std::string& where) {
  if (!value.is_number_unsigned() || value.get<std::uint64_t>() > high) {
    throw ParseFailure{where, "expected an integer from 0 to " + std::to_string(high)};
  }
  return value.get<std::uint64_t>();
}

std::string name(const json& value, const std::string& where) {
  if (!value.is_string()) throw ParseFailure{where, "expected a string"};
  const auto& text = value.get_ref<const std::string&>();
  if (text.empty() || text.size() > kMaxNameLength) throw ParseFailure{where, "expected 1 to 128 bytes"};
  return text;
}

const json& array(const json& value, std::size_t max_size, const std::string& where) {
  if (!value.is_array() || value.size() > max_size) {
    throw ParseFailure{where, "expected an array of at most " + std::to_string(max_size) + " entries"};
  }
  return value;
}

Counts parse_counts(const json& value, const std::string& where) {
  if (!value.is_array() || value.size() != kCountFields) throw ParseFailure{where, "expected 5 counts"};
  return {number(value[0], kMaxCount, where), number(value[1], kMaxCount, where), number(value[2], kMaxCount, where),
          number(value[3], kMaxCount, where), number(value[4], kMaxCount, where)};
}

Source parse_source(const json& value, const std::string& where) {
  Source source;
  source.daemon = name(member(value, "daemon", where), where + ".daemon");
  const std::string text = name(member(value, "incarnation", where), where + ".incarnation");
  const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), source.incarnation.value, 16);
  if (failure != std::errc{} || end != text.data() + text.size()) {
    throw ParseFailure{where + ".incarnation", "expected a hexadecimal number"};
  }
  source.taken_at = core::WallTime{
      std::chrono::milliseconds(number(member(value, "taken_at_ms", where), kMaxCount, where + ".taken_at_ms"))};
  return source;
}

ObjectiveBurn parse_objective(const json& value, const std::string& where) {
  ObjectiveBurn burn;
  Objective& objective = burn.objective;
  objective.service = name(member(value, "service", where), where + ".service");
  const auto importance = core::parse_importance(name(member(value, "importance", where), where + ".importance"));
  if (!importance) throw ParseFailure{where + ".importance", "expected sheddable, normal, high or critical"};
  objective.importance = *importance;
  const json& target = member(value, "target", where);
  if (!target.is_number() || !(target.get<double>() > 0) || !(target.get<double>() < 1)) {
    throw ParseFailure{where + ".target", "expected a number above 0 and below 1"};
  }
  objective.target = target.get<double>();
  const auto seconds = [&](const char* field) {
    return static_cast<std::int64_t>(number(member(value, field, where), kMaxSeconds, where + "." + field));
  };
  objective.latency = std::chrono::milliseconds(seconds("latency_ms"));
  objective.window = std::chrono::seconds(std::max<std::int64_t>(1, seconds("window_s")));
  burn.covered = std::chrono::seconds(seconds("covered_s"));
  const json& windows = member(value, "windows", where);
  for (std::size_t i = 0; i < kWindowCount; ++i) {
    const std::string window_where = where + ".windows." + kWindowNames[i];
    const json& window = member(windows, kWindowNames[i], where + ".windows");
    burn.windows[i] = parse_counts(member(window, "counts", window_where), window_where + ".counts");
  }
  const json& series = array(member(value, "series", where), kSeriesLength, where + ".series");
  for (std::size_t i = 0; i < series.size(); ++i) burn.series[i] = parse_counts(series[i], where + ".series");
  return burn;
}

BurnSnapshot parse_snapshot(const json& root) {
  BurnSnapshot snapshot;
  if (number(member(root, "format", "report"), kFormat, "report.format") != kFormat) {
    throw ParseFailure{"report.format", "expected 1"};
  }
  for (const json& value : array(member(root, "sources", "report"), kMaxSources, "report.sources")) {
    snapshot.sources.push_back(parse_source(value, "report.sources[" + std::to_string(snapshot.sources.size()) + "]"));
  }
  for (const json& value : array(member(root, "missing", "report"), kMaxSources, "report.missing")) {
    snapshot.missing.push_back(name(value, "report.missing"));
  }
  snapshot.untracked = number(member(root, "untracked", "report"), kMaxCount, "report.untracked");
  for (const json& value : array(member(root, "objectives", "report"), kMaxObjectives, "report.objectives")) {
    snapshot.objectives.push_back(
        parse_objective(value, "report.objectives[" + std::to_string(snapshot.objectives.size()) + "]"));
  }
  return snapshot;
}

}  // namespace

std::string report(const BurnSnapshot& snapshot) {
  json sources = json::array();
  for (const Source& source : snapshot.sources) {
    std::array<char, 17> incarnation{};
    std::to_chars(incarnation.data(), incarnation.data() + 16, source.incarnation.value, 16);
    // As text, since many JSON readers keep only 53 bits of a number.
    sources.push_back({{"daemon", source.daemon},
                       {"incarnation", incarnation.data()},
                       {"taken_at_ms", source.taken_at.time_since_epoch().count()}});
  }
  json objectives = json::array();
  for (const ObjectiveBurn& burn : snapshot.objectives) objectives.push_back(objective_to_json(burn));
  const json root = {{"format", kFormat},
                     {"counts", json::array({"good", "refused", "late", "failed", "held"})},
                     {"series_step_s", std::chrono::seconds(kSeriesStep).count()},
                     {"sources", std::move(sources)},
                     {"missing", snapshot.missing},
                     {"untracked", snapshot.untracked},
                     {"objectives", std::move(objectives)}};
  return root.dump(-1, ' ', false, json::error_handler_t::replace);
}

leaf::result<BurnSnapshot> parse_report(std::string_view text) {
  if (text.size() > kMaxReportBytes) {
    return leaf::new_error(core::Error{core::ErrorCode::kTooLarge, "report", "expected at most 32 MB"});
  }
  try {
    return parse_snapshot(json::parse(text));
  } catch (const ParseFailure& failure) {
    return leaf::new_error(core::Error{core::ErrorCode::kInvalidInput, failure.where, failure.message});
  } catch (const json::exception&) {
    return leaf::new_error(core::Error{core::ErrorCode::kInvalidInput, "report", "expected JSON"});
  }
}

}  // namespace damaskthread::slo
