#include "damaskthread/client/explain.h"

#include <algorithm>
#include <istream>
#include <nlohmann/json.hpp>
#include <ostream>

namespace damaskthread::client {
namespace {

using Json = nlohmann::ordered_json;

std::string details_of(const Json& object) {
  std::string text;
  for (const auto& [name, value] : object.items()) {
    if (name == "time_ms" || name == "node" || name == "event" || name == "attempt" || name == "lines_dropped")
      continue;
    text.append(text.empty() ? "" : " ").append(name).append("=");
    text.append(value.is_string() ? value.get<std::string>() : value.dump());
  }
  return text;
}

}  // namespace

void Story::read(std::istream& log) {
  std::string line;
  while (std::getline(log, line)) {
    const std::size_t begin = line.find('{');
    if (begin == std::string::npos) continue;
    const Json object = Json::parse(line.begin() + static_cast<std::ptrdiff_t>(begin), line.end(), nullptr, false);
    if (!object.is_object()) {
      ++unreadable_;
      continue;
    }
    const std::string attempt = object.value("attempt", "");
    // The calls of a request carry its id, a dot and their own.
    if (attempt != attempt_id_ && !attempt.starts_with(attempt_id_ + ".")) continue;
    const core::WallTime time(std::chrono::milliseconds(object.value("time_ms", std::int64_t{0})));
    lines_.push_back(
        {time, object.value("node", ""), attempt, object.value("event", ""), object.dump(), details_of(object)});
  }
}

void Story::print(std::ostream& out, bool json) const {
  std::vector<StoryLine> sorted = lines_;
  std::stable_sort(sorted.begin(), sorted.end(),
                   [](const StoryLine& left, const StoryLine& right) { return left.time < right.time; });
  for (const StoryLine& line : sorted) {
    if (json) {
      out << line.json << '\n';
      continue;
    }
    const auto depth =
        std::count(line.attempt.begin() + static_cast<std::ptrdiff_t>(attempt_id_.size()), line.attempt.end(), '.');
    out << "+" << (line.time - sorted.front().time).count() << " ms "
        << std::string(2 * static_cast<std::size_t>(depth), ' ') << line.node << " " << line.event << " "
        << line.attempt << ": " << line.details << '\n';
  }
}

}  // namespace damaskthread::client
