// Declarations: either a declaration or errors, and an accepted one survives its canonical form.
#include <string>

#include "check.h"
#include "damaskthread/resource/declaration.h"

namespace resource = damaskthread::resource;
using damaskthread::fuzz::check;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  for (const auto mode : {resource::ParseMode::kStrict, resource::ParseMode::kStored}) {
    const auto parsed = resource::parse_declaration(damaskthread::fuzz::as_text(data, size), "fuzz", mode);
    check(parsed.declaration.has_value() == parsed.errors.empty(), "a declaration or errors");
    if (!parsed.declaration) continue;
    const auto again = resource::parse_declaration(resource::to_json(*parsed.declaration), "", mode);
    check(again.declaration == parsed.declaration, "a declaration survives a round trip");
    (void)parsed.declaration->classify("POST", damaskthread::fuzz::as_text(data, size));
  }
  return 0;
}
