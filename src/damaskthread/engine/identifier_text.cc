#include "damaskthread/engine/identifier_text.h"

#include <boost/leaf/handle_errors.hpp>

namespace damaskthread::engine::internal {
namespace {

template <typename Identifier, typename Parse>
std::optional<Identifier> parse_optional(Parse parse) {
  return boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<std::optional<Identifier>> {
        BOOST_LEAF_AUTO(identifier, parse());
        return std::optional<Identifier>(identifier);
      },
      [] { return std::optional<Identifier>(); });
}

}  // namespace

std::optional<execution::ExecutionToken> try_parse_token(std::string_view text, const core::MacKey& key) {
  return parse_optional<execution::ExecutionToken>([&] { return execution::parse_token(text, key); });
}

std::optional<retry::RequestId> try_parse_request_id(std::string_view text, const core::MacKey& key) {
  return parse_optional<retry::RequestId>([&] { return retry::parse_request_id(text, key); });
}

}  // namespace damaskthread::engine::internal
