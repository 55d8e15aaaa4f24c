#include "damaskthread/gate/server_load.h"

#include <array>
#include <charconv>
#include <cstddef>

namespace damaskthread::gate {
namespace {

constexpr int kMaxCount = 1'000'000;
// Larger figures are errors of the server; they would keep all requests away from it.
constexpr int kMaxWorkTimePercent = 10'000;
constexpr double kPercent = 100;

}  // namespace

std::optional<ServerLoad> parse_server_load(std::string_view text) noexcept {
  std::array<int, 4> values{};
  std::size_t count = 0;
  const char* position = text.data();
  const char* const end = text.data() + text.size();
  while (count < values.size()) {
    const auto parsed = std::from_chars(position, end, values[count]);
    if (parsed.ec != std::errc() || values[count] < 0 || values[count] > kMaxCount) return std::nullopt;
    ++count;
    position = parsed.ptr;
    if (position == end) break;
    if (*position++ != ',') return std::nullopt;
  }
  if (count < 2) return std::nullopt;
  ServerLoad load{values[0], values[1], std::nullopt, std::nullopt};
  if (count > 2) load.slots = values[2];
  if (count > 3 && values[3] > 0 && values[3] <= kMaxWorkTimePercent) load.work_time = values[3] / kPercent;
  return load;
}

}  // namespace damaskthread::gate
