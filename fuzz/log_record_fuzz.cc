// Records of the log: what decodes encodes to the same record.
#include "check.h"
#include "damaskthread/resource/log_record.h"

namespace resource = damaskthread::resource;
using damaskthread::fuzz::check;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const auto record = resource::decode(damaskthread::fuzz::as_text(data, size));
  if (!record) return 0;
  const auto bytes = resource::encode(*record);
  // Escapes can make the canonical form larger than the input, and so than a record may be.
  if (bytes) check(resource::decode(*bytes) == record, "a record survives a round trip");
  return 0;
}
