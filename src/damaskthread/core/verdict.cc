#include "damaskthread/core/verdict.h"

#include <array>
#include <utility>

namespace damaskthread::core {
namespace {

constexpr std::array<std::string_view, 3> kExecutionNames = {"not-run", "may-have-run", "ran"};

struct CauseEntry {
  std::string_view name;
  int not_run_status;
  int may_have_run_status;
};

// Indexed by Cause.
constexpr std::array<CauseEntry, 19> kCauses = {{
    {"none", 503, 502},           {"overload", 503, 502},      {"full-everywhere", 503, 502}, {"deadline", 504, 504},
    {"no-server", 503, 502},      {"leaving", 503, 502},       {"quarantined", 503, 502},     {"retry-bound", 429, 502},
    {"token-required", 428, 428}, {"token-expired", 410, 410}, {"server-gone", 410, 410},     {"duplicate", 409, 409},
    {"connection", 503, 502},     {"incomplete", 502, 502},    {"cancelled", 503, 502},       {"bad-request", 400, 400},
    {"unauthorized", 401, 401},   {"crashed", 502, 502},       {"quota", 429, 502},
}};

}  // namespace

std::string_view to_string(Execution execution) noexcept {
  return kExecutionNames[static_cast<std::size_t>(execution)];
}

std::string_view to_string(Cause cause) noexcept { return kCauses[static_cast<std::size_t>(cause)].name; }

std::optional<Execution> parse_execution(std::string_view text) noexcept {
  for (std::size_t i = 0; i < kExecutionNames.size(); ++i) {
    if (kExecutionNames[i] == text) return static_cast<Execution>(i);
  }
  return std::nullopt;
}

std::optional<Cause> parse_cause(std::string_view text) noexcept {
  for (std::size_t i = 0; i < kCauses.size(); ++i) {
    if (kCauses[i].name == text) return static_cast<Cause>(i);
  }
  return std::nullopt;
}

int http_status(const Verdict& verdict) noexcept {
  const CauseEntry& entry = kCauses[static_cast<std::size_t>(verdict.cause)];
  return verdict.execution == Execution::kNotRun ? entry.not_run_status : entry.may_have_run_status;
}

}  // namespace damaskthread::core
