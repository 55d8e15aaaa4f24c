#include "damaskthread/core/buffer.h"

#include <doctest/doctest.h>

#include <string>

namespace damaskthread::core {

TEST_CASE("an empty buffer that has grown frees its memory, one that holds bytes keeps them") {
  std::string buffer(100'000, 'x');
  release_spare(buffer);
  CHECK(buffer.size() == 100'000);
  buffer.clear();
  release_spare(buffer);
  CHECK(buffer.capacity() <= kKeptBufferBytes);
}

}  // namespace damaskthread::core
