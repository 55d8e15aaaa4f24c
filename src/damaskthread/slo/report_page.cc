#include <algorithm>
#include <cmath>
#include <ctime>
#include <iomanip>
#include <sstream>

#include "damaskthread/slo/report.h"

namespace damaskthread::slo {
namespace {

// Size of a plot; its burn rates stand on a logarithmic scale.
constexpr double kPlotWidth = 432;
constexpr double kPlotHeight = 120;
constexpr double kLowestRate = 0.1;
constexpr double kHighestRate = 1000;
constexpr std::size_t kMaxPlots = 64;

constexpr std::string_view kStyle =
    "body{font:14px sans-serif;margin:2em;color:#222}table{border-collapse:collapse}"
    "td,th{border:1px solid #bbb;padding:.25em .6em;text-align:right}td.text,th.text{text-align:left}"
    ".page{background:#f6c8c4}.ticket{background:#fbe8b0}figure{margin:1.5em 0}figcaption{font-weight:bold}";

std::string escape(std::string_view text) {
  std::string out;
  for (const char c : text) {
    if (c == '&') {
      out += "&amp;";
    } else if (c == '<') {
      out += "&lt;";
    } else if (c == '>') {
      out += "&gt;";
    } else if (c == '"') {
      out += "&quot;";
    } else {
      out += (static_cast<unsigned char>(c) < ' ') ? '?' : c;
    }
  }
  return out;
}

std::string window_text(std::chrono::seconds window) {
  struct Unit {
    std::int64_t seconds;
    const char* suffix;
  };
  constexpr std::array<Unit, 4> kUnits = {{{86'400, " d"}, {3'600, " h"}, {60, " min"}, {1, " s"}}};
  for (const Unit& unit : kUnits) {
    if (window.count() >= unit.seconds && window.count() % unit.seconds == 0) {
      return std::to_string(window.count() / unit.seconds) + unit.suffix;
    }
  }
  return std::to_string(window.count()) + " s";
}

std::string title_of(const Objective& objective) {
  std::ostringstream out;
  out << objective.service << ", " << core::to_string(objective.importance) << ": " << objective.target * 100
      << "% whole within " << objective.latency.count() << " ms over " << window_text(objective.window);
  return escape(std::move(out).str());
}

double height_of(double rate) {
  const double position =
      std::log10(std::clamp(rate, kLowestRate, kHighestRate) / kLowestRate) / std::log10(kHighestRate / kLowestRate);
  return kPlotHeight * (1 - position);
}

void write_level(std::ostream& out, double rate, std::string_view name, std::string_view colour) {
  const double y = height_of(rate);
  out << "<line x1=\"0\" x2=\"" << kPlotWidth << "\" y1=\"" << y << "\" y2=\"" << y << "\" stroke=\"" << colour
      << "\" stroke-dasharray=\"4 3\"/><text x=\"" << kPlotWidth + 4 << "\" y=\"" << y + 4 << "\" font-size=\"11\">"
      << name << " " << rate << "</text>\n";
}

void write_plot(std::ostream& out, const ObjectiveBurn& burn) {
  const std::string title = title_of(burn.objective);
  out << "<figure><figcaption>" << title << "</figcaption>\n<svg role=\"img\" width=\"" << kPlotWidth + 110
      << "\" height=\"" << kPlotHeight + 24 << "\" viewBox=\"-4 -4 " << kPlotWidth + 114 << " " << kPlotHeight + 28
      << "\"><title>Burn rate of " << title << " over the last 6 hours</title>\n<rect width=\"" << kPlotWidth
      << "\" height=\"" << kPlotHeight << "\" fill=\"#f7f7f7\" stroke=\"#bbb\"/>\n";
  write_level(out, 1, "budget", "#777");
  write_level(out, ticket_rate(burn.objective), "ticket", "#b8860b");
  write_level(out, page_rate(burn.objective), "page", "#b22");
  // Steps without calls leave a gap, as no burn rate is known there.
  bool open = false;
  for (std::size_t i = kSeriesLength; i-- > 0;) {
    const Counts& counts = burn.series[i];
    if (counts.total() == 0) {
      if (open) out << "\"/>\n";
      open = false;
      continue;
    }
    const double step = kPlotWidth / static_cast<double>(kSeriesLength);
    const double x = step * static_cast<double>(kSeriesLength - 1 - i);
    const double y = height_of(burn_rate(counts, burn.objective.target));
    if (!open) out << "<polyline fill=\"none\" stroke=\"#1a5fb4\" stroke-width=\"2\" points=\"";
    out << x << "," << y << " " << x + step << "," << y << " ";
    open = true;
  }
  if (open) out << "\"/>\n";
  out << "<text x=\"0\" y=\"" << kPlotHeight + 16 << "\" font-size=\"11\">6 h ago</text><text x=\"" << kPlotWidth
      << "\" y=\"" << kPlotHeight + 16 << "\" font-size=\"11\" text-anchor=\"end\">now</text></svg></figure>\n";
}

void write_row(std::ostream& out, const ObjectiveBurn& burn) {
  const Objective& objective = burn.objective;
  const Alert alert = alert_of(burn);
  const Counts& whole = burn.windows[kWholeWindow];
  out << "<tr class=\"" << to_string(alert) << "\"><td class=\"text\">" << title_of(objective) << "</td><td>"
      << to_string(alert) << "</td><td>" << budget_left(burn) * 100 << "%</td>";
  for (const Counts& counts : burn.windows) out << "<td>" << burn_rate(counts, objective.target) << "</td>";
  out << "<td>" << whole.good << "</td><td>" << whole.refused << "</td><td>" << whole.late << "</td><td>"
      << whole.failed << "</td><td>" << whole.held << "</td><td>" << window_text(burn.covered) << "</td></tr>\n";
}

std::string time_text(core::WallTime time) {
  const std::time_t seconds = std::chrono::system_clock::to_time_t(time);
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  std::ostringstream out;
  out << std::put_time(&parts, "%Y-%m-%d %H:%M:%S UTC");
  return std::move(out).str();
}

void write_summary(std::ostream& out, const BurnSnapshot& snapshot) {
  core::WallTime oldest = core::WallTime::max();
  core::WallTime newest = core::WallTime::min();
  for (const Source& source : snapshot.sources) {
    oldest = std::min(oldest, source.taken_at);
    newest = std::max(newest, source.taken_at);
  }
  out << "<p>Counts of " << snapshot.sources.size() << " daemon" << (snapshot.sources.size() == 1 ? "" : "s");
  if (!snapshot.sources.empty()) out << ", taken from " << time_text(oldest) << " to " << time_text(newest);
  out << ".</p>\n";
  if (!snapshot.missing.empty()) {
    out << "<p><strong>Not included: " << snapshot.missing.size() << "</strong>:";
    for (const std::string& daemon : snapshot.missing) out << " " << escape(daemon);
    out << "</p>\n";
  }
  if (snapshot.untracked > 0) {
    out << "<p><strong>" << snapshot.untracked << " objectives are over the bound and not counted.</strong></p>\n";
  }
}

}  // namespace

std::string report_page(const BurnSnapshot& snapshot) {
  std::vector<const ObjectiveBurn*> order;
  order.reserve(snapshot.objectives.size());
  for (const ObjectiveBurn& burn : snapshot.objectives) order.push_back(&burn);
  std::stable_sort(order.begin(), order.end(), [](const ObjectiveBurn* a, const ObjectiveBurn* b) {
    const auto key = [](const ObjectiveBurn& burn) { return std::pair(alert_of(burn), -budget_left(burn)); };
    return key(*a) > key(*b);
  });
  std::ostringstream out;
  out << std::setprecision(4)
      << "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"/><title>Burn report</title><style>" << kStyle
      << "</style></head><body>\n<h1>Burn report</h1>\n";
  write_summary(out, snapshot);
  out << "<table><thead><tr><th class=\"text\">Objective</th><th>Alert</th><th>Budget left</th><th>Burn 5 min</th>"
         "<th>Burn 1 h</th><th>Burn 6 h</th><th>Burn window</th><th>Good</th><th>Refused</th><th>Late</th>"
         "<th>Failed</th><th>Held</th><th>Covered</th></tr></thead><tbody>\n";
  for (const ObjectiveBurn* burn : order) write_row(out, *burn);
  out << "</tbody></table>\n";
  for (std::size_t i = 0; i < std::min(order.size(), kMaxPlots); ++i) write_plot(out, *order[i]);
  if (order.size() > kMaxPlots) out << "<p>Plots are shown for the " << kMaxPlots << " most urgent objectives.</p>\n";
  out << "</body></html>\n";
  return std::move(out).str();
}

}  // namespace damaskthread::slo
