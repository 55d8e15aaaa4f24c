#include "damaskthread/mesh/response_memory_limit.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <cstddef>

namespace damaskthread::mesh {

TEST_CASE("unbounded responses are rejected while ordinary concurrent responses are accepted") {
  constexpr std::size_t kBound = std::size_t{4} << 20U;
  constexpr std::size_t kStep = std::size_t{64} << 10U;
  constexpr std::size_t kOrdinaryBytes = std::size_t{30} << 10U;
  ResponseMemoryLimit memory(kBound);
  std::array<std::size_t, 8> unbounded_responses{};
  std::size_t rejected = 0;
  std::size_t most_held = 0;
  for (int round = 0; round < 1'000; ++round) {
    for (std::size_t& held : unbounded_responses) {
      const bool allowed = memory.grow(held, held + kStep);
      held += kStep;
      most_held = std::max(most_held, memory.held());
      if (allowed) continue;
      memory.release(held);
      held = 0;
      ++rejected;
    }
    CHECK(memory.grow(0, kOrdinaryBytes));
    memory.release(kOrdinaryBytes);
  }
  CHECK(rejected > 0);
  CHECK(most_held <= kBound + unbounded_responses.size() * kStep + kOrdinaryBytes);
}

}  // namespace damaskthread::mesh
