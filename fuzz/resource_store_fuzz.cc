// Replay of the log, one record per line: the state does not depend on how the reads were cut.
#include <string>

#include "check.h"
#include "damaskthread/resource/resource_store.h"

namespace resource = damaskthread::resource;
using damaskthread::fuzz::check;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  std::string_view text = damaskthread::fuzz::as_text(data, size);
  resource::LogSlice whole;
  while (!text.empty() && whole.entries.size() < 64) {
    const std::string_view line = text.substr(0, text.find('\n'));
    text.remove_prefix(std::min(text.size(), line.size() + 1));
    whole.entries.push_back({whole.next++, std::string(line)});
  }
  const damaskthread::core::TimePoint now{std::chrono::seconds{1}};
  resource::ResourceStore at_once;
  at_once.apply(whole, now);
  resource::ResourceStore one_by_one;
  if (whole.entries.empty()) one_by_one.apply(whole, now);
  for (const resource::LogEntry& entry : whole.entries) {
    one_by_one.apply({.first = 0, .next = whole.next, .entries = {entry}}, now);
  }
  check(at_once.revision() == one_by_one.revision(), "the revision does not depend on the reads");
  check(at_once.list().size() == one_by_one.list().size(), "the resources do not depend on the reads");
  const std::uint64_t revision = at_once.revision();
  at_once.apply(whole, now);
  check(at_once.revision() == revision, "records read again change nothing");
  return 0;
}
