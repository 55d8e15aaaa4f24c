#include "damaskthread/core/buffer.h"

#include <doctest/doctest.h>

#include <string>

namespace damaskthread::core {

TEST_CASE("shrink_if_empty frees a large empty buffer and leaves a non-empty one unchanged") {
  std::string buffer(100'000, 'x');
  shrink_if_empty(buffer);
  CHECK(buffer.size() == 100'000);
  buffer.clear();
  shrink_if_empty(buffer);
  CHECK(buffer.capacity() <= kMaxIdleBufferBytes);
}

}  // namespace damaskthread::core
