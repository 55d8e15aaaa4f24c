#ifndef DAMASKTHREAD_SLO_REPORT_H_
#define DAMASKTHREAD_SLO_REPORT_H_

/// @file
/// @brief The burn report as JSON, which daemons exchange and merge, and as an HTML page for people.

#include <boost/leaf/result.hpp>
#include <chrono>
#include <string>
#include <string_view>

#include "damaskthread/slo/burn.h"

namespace damaskthread::slo {

/// @brief The counts as JSON, with the burn rates, the budget left and the alert of each objective.
/// @param snapshot Counts of one daemon or merged ones.
[[nodiscard]] std::string report(const BurnSnapshot& snapshot);

/// @brief Reads the counts of a report back; the figures derived from them are ignored.
/// @param text JSON text of another daemon.
/// @return The counts, or an error with a `core::Error` as its object.
[[nodiscard]] boost::leaf::result<BurnSnapshot> parse_report(std::string_view text);

/// @brief The report as one HTML page without scripts: a summary, a table and a plot for each objective, the most
/// urgent
///   first.
/// @param snapshot Counts of one daemon or merged ones.
[[nodiscard]] std::string report_page(const BurnSnapshot& snapshot);

}  // namespace damaskthread::slo

#endif  // DAMASKTHREAD_SLO_REPORT_H_
