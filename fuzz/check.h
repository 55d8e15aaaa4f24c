#ifndef FUZZ_CHECK_H_
#define FUZZ_CHECK_H_

#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <string_view>

namespace damaskthread::fuzz {

/// @brief Ends the run with a report if a property does not hold; sanitizers alone do not see a wrong result.
inline void check(bool holds, const char* property) {
  if (holds) return;
  std::fprintf(stderr, "property violated: %s\n", property);
  std::abort();
}

inline std::string_view as_text(const std::uint8_t* data, std::size_t size) {
  return {reinterpret_cast<const char*>(data), size};
}

}  // namespace damaskthread::fuzz

#endif  // FUZZ_CHECK_H_
