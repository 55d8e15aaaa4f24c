#include "damaskthread/metrics/registry.h"

#include <xxhash.h>

#include <charconv>
#include <stdexcept>

namespace damaskthread::metrics {
namespace {

constexpr std::size_t kMaxLabelValueLength = 128;
constexpr std::array<std::string_view, 3> kTypeNames = {"counter", "gauge", "summary"};
constexpr std::string_view kOverflowName = "damaskthread_metrics_overflow_total";

bool is_name(std::string_view name, bool colon_allowed) noexcept {
  if (name.empty() || (name.front() >= '0' && name.front() <= '9')) return false;
  for (const char c : name) {
    const bool letter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '_';
    const bool digit = c >= '0' && c <= '9';
    if (!letter && !digit && !(colon_allowed && c == ':')) return false;
  }
  return true;
}

void append_escaped(std::string& out, std::string_view text, bool quote) {
  for (const char c : text) {
    if (c == '\\') {
      out += "\\\\";
    } else if (c == '\n') {
      out += "\\n";
    } else if (c == '"' && quote) {
      out += "\\\"";
    } else {
      out += c >= ' ' && c <= '~' ? c : '?';
    }
  }
}

std::string format_labels(const Labels& labels, bool overflow) {
  std::string out;
  for (const auto& [name, value] : labels) {
    if (!is_name(name, false) || name == "quantile") throw std::invalid_argument("invalid label name: " + name);
    if (!out.empty()) out += ',';
    out += name + "=\"";
    append_escaped(out, overflow ? "other" : std::string_view{value}.substr(0, kMaxLabelValueLength), true);
    out += '"';
  }
  return out;
}

std::string format_number(double value) {
  std::array<char, 32> buffer{};
  const auto result = std::to_chars(buffer.data(), buffer.data() + buffer.size(), value);
  return {buffer.data(), result.ptr};
}

void append_sample(std::string& out, std::string_view name, std::string_view labels, std::string_view extra,
                   std::string_view value) {
  out += name;
  if (!labels.empty() || !extra.empty()) {
    out += '{';
    out += labels;
    if (!labels.empty() && !extra.empty()) out += ',';
    out += extra;
    out += '}';
  }
  out += ' ';
  out += value;
  out += '\n';
}

struct SampleWriter {
  std::string& out;
  std::string_view name;
  std::string_view labels;

  void operator()(const std::unique_ptr<Counter>& counter) const {
    append_sample(out, name, labels, "", std::to_string(counter->value()));
  }
  void operator()(const std::unique_ptr<Gauge>& gauge) const {
    append_sample(out, name, labels, "", format_number(gauge->value()));
  }
  void operator()(const std::unique_ptr<Quantiles>& quantiles) const {
    const QuantileSnapshot snapshot = quantiles->snapshot();
    for (std::size_t i = 0; i < kQuantiles.size(); ++i) {
      append_sample(out, name, labels, "quantile=\"" + format_number(kQuantiles[i]) + "\"",
                    snapshot.window_count == 0 ? "NaN" : format_number(snapshot.values[i]));
    }
    append_sample(out, std::string(name) + "_sum", labels, "", format_number(snapshot.sum));
    append_sample(out, std::string(name) + "_count", labels, "", std::to_string(snapshot.count));
  }
};

void append_header(std::string& out, std::string_view name, std::string_view help, std::string_view type) {
  out += "# HELP ";
  out += name;
  out += ' ';
  append_escaped(out, help, false);
  out += "\n# TYPE ";
  out += name;
  out += ' ';
  out += type;
  out += '\n';
}

}  // namespace

template <typename Kind>
Kind& Registry::find_or_create(std::string_view name, std::string_view help, const Labels& labels) {
  if (!is_name(name, true)) throw std::invalid_argument("invalid metric name: " + std::string(name));
  std::string key = format_labels(labels, false);
  Shard& shard = shards_[XXH3_64bits(name.data(), name.size()) % kShardCount];
  const std::lock_guard lock(shard.mutex);
  const Instrument kind = std::unique_ptr<Kind>();
  auto found = shard.families.find(name);
  if (found == shard.families.end()) {
    found = shard.families.emplace(name, Family{std::string(help), kind.index(), {}}).first;
  }
  Family& family = found->second;
  if (family.kind != kind.index()) {
    throw std::invalid_argument("metric name already used for another kind: " + std::string(name));
  }
  auto series = family.series.find(key);
  if (series == family.series.end()) {
    if (family.series.size() >= max_series_) {
      overflow_.count();
      key = format_labels(labels, true);
    }
    series = family.series.try_emplace(key, std::unique_ptr<Kind>()).first;
    auto& instrument = std::get<std::unique_ptr<Kind>>(series->second);
    if (instrument == nullptr) instrument = std::make_unique<Kind>();
  }
  return *std::get<std::unique_ptr<Kind>>(series->second);
}

Counter& Registry::counter(std::string_view name, std::string_view help, const Labels& labels) {
  return find_or_create<Counter>(name, help, labels);
}

Gauge& Registry::gauge(std::string_view name, std::string_view help, const Labels& labels) {
  return find_or_create<Gauge>(name, help, labels);
}

Quantiles& Registry::quantiles(std::string_view name, std::string_view help, const Labels& labels) {
  return find_or_create<Quantiles>(name, help, labels);
}

void Registry::rotate() {
  for (Shard& shard : shards_) {
    const std::lock_guard lock(shard.mutex);
    for (auto& [name, family] : shard.families) {
      for (auto& [labels, instrument] : family.series) {
        if (auto* quantiles = std::get_if<std::unique_ptr<Quantiles>>(&instrument)) (*quantiles)->rotate();
      }
    }
  }
}

std::string Registry::expose() const {
  // Keyed by name, so that the output order does not depend on the shards.
  std::map<std::string, std::string> families;
  for (const Shard& shard : shards_) {
    const std::lock_guard lock(shard.mutex);
    for (const auto& [name, family] : shard.families) {
      std::string& text = families[name];
      append_header(text, name, family.help, kTypeNames[family.kind]);
      for (const auto& [labels, instrument] : family.series) std::visit(SampleWriter{text, name, labels}, instrument);
    }
  }
  std::string& overflow = families[std::string(kOverflowName)];
  append_header(overflow, kOverflowName, "Look-ups that ended in a shared series.", kTypeNames[0]);
  append_sample(overflow, kOverflowName, "", "", std::to_string(overflow_count()));
  std::string out;
  for (const auto& [name, text] : families) out += text;
  return out;
}

}  // namespace damaskthread::metrics
