// Control messages: what decodes encodes to what decodes the same; foreign bytes never open.
#include <variant>

#include "check.h"
#include "damaskthread/wire/authenticator.h"
#include "damaskthread/wire/message.h"

namespace wire = damaskthread::wire;
using damaskthread::fuzz::check;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const std::string_view bytes = damaskthread::fuzz::as_text(data, size);
  static wire::Authenticator authenticator("fuzz-key", {{1}, {1}});
  check(std::holds_alternative<wire::OpenError>(authenticator.open(bytes)), "bytes without a tag do not open");
  const auto received = wire::decode(bytes);
  if (!received) return 0;
  const std::string encoded = wire::encode(received->sender, received->sequence, received->message);
  const auto again = wire::decode(encoded);
  check(again.has_value(), "an encoded message decodes");
  check(again->sender == received->sender && again->sequence == received->sequence, "the sender is kept");
  check(wire::encode(again->sender, again->sequence, again->message) == encoded, "a message survives a round trip");
  return 0;
}
