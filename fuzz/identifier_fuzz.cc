// Execution tokens and minted request ids: nothing passes without the right code, and one text has one meaning.
#include <boost/leaf/handle_errors.hpp>
#include <string>

#include "check.h"
#include "damaskthread/core/error.h"
#include "damaskthread/execution/token.h"
#include "damaskthread/retry/request_id.h"

namespace leaf = boost::leaf;
using damaskthread::fuzz::check;

namespace {

template <typename Parse>
void parse_one(std::string_view text, const Parse& parse) {
  leaf::try_handle_all(
      [&]() -> leaf::result<void> {
        BOOST_LEAF_AUTO(parsed, parse(text));
        check(to_string(parsed) == text, "an accepted text is the canonical one");
        return {};
      },
      [](const damaskthread::core::Error& error) { check(!error.message.empty(), "a refusal has a message"); },
      [] { check(false, "errors are of the documented type"); });
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const damaskthread::core::MacKey key{};
  const std::string_view text = damaskthread::fuzz::as_text(data, size);
  parse_one(text, [&key](std::string_view value) { return damaskthread::execution::parse_token(value, key); });
  parse_one(text, [&key](std::string_view value) { return damaskthread::retry::parse_request_id(value, key); });
  return 0;
}
