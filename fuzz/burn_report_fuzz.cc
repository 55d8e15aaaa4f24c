// Burn report of another daemon: what is read survives a round trip, merging and the page.
#include <array>
#include <boost/leaf/handle_errors.hpp>

#include "check.h"
#include "damaskthread/core/error.h"
#include "damaskthread/slo/report.h"

namespace leaf = boost::leaf;
namespace slo = damaskthread::slo;
using damaskthread::fuzz::check;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  leaf::try_handle_all(
      [&]() -> leaf::result<void> {
        BOOST_LEAF_AUTO(snapshot, slo::parse_report(damaskthread::fuzz::as_text(data, size)));
        BOOST_LEAF_AUTO(again, slo::parse_report(slo::report(snapshot)));
        check(again == snapshot, "a report survives a round trip");
        const std::array<slo::BurnSnapshot, 2> both = {snapshot, snapshot};
        const slo::BurnSnapshot once = slo::merge(std::span(both).first(1), {});
        // Without a source nothing tells the two apart, so they add up.
        if (!snapshot.sources.empty()) check(slo::merge(both, {}).objectives == once.objectives, "counted once");
        check(slo::report_page(once).find("<script") == std::string::npos, "the page has no scripts");
        return {};
      },
      [](const damaskthread::core::Error& error) { check(!error.message.empty(), "a refusal has a message"); },
      [] { check(false, "errors are of the documented type"); });
  return 0;
}
