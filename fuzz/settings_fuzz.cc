// Settings file: no input crashes the parser, errors are never empty, and no key reaches the description.
#include <boost/leaf/handle_errors.hpp>
#include <string>

#include "check.h"
#include "damaskthread/core/error.h"
#include "damaskthread/settings/settings.h"

namespace leaf = boost::leaf;
using damaskthread::fuzz::check;
namespace settings = damaskthread::settings;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const auto read_file = [](const std::filesystem::path& path) -> leaf::result<std::string> {
    // No file of the machine is read; the name decides what is found.
    if (path.string().size() % 2 == 0) return std::string(settings::kKeyBytes, 'k');
    return leaf::new_error(damaskthread::core::Error{});
  };
  leaf::try_handle_all(
      [&]() -> leaf::result<void> {
        BOOST_LEAF_AUTO(parsed, settings::parse(damaskthread::fuzz::as_text(data, size), "fuzz", read_file));
        check(parsed.shared_key.size() == settings::kKeyBytes, "accepted settings have a whole key");
        check(parsed.slots > 0 && parsed.connections >= parsed.slots, "accepted settings are consistent");
        check(parsed.listen.call_port != parsed.listen.peer_port, "ports differ");
        check(settings::describe(parsed).find("shared_key: [redacted]") != std::string::npos, "the key is redacted");
        return {};
      },
      [](const settings::Errors& errors) { check(!errors.empty(), "a refusal names an error"); },
      [] { check(false, "errors are of the documented type"); });
  return 0;
}
