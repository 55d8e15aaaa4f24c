#include "damaskthread/mesh/caller_memory.h"

#include <doctest/doctest.h>

#include <optional>
#include <string>
#include <utility>

namespace damaskthread::mesh {
namespace {

constexpr std::size_t kLimit = 1'000'000;

}  // namespace

TEST_CASE("accepted bodies leave a part of the limit for requests that are being read") {
  CallerMemory memory(kLimit);
  auto first = memory.accept(600'000);
  REQUIRE(first);
  CHECK(!memory.accept(400'000));
  auto second = memory.accept(300'000);
  REQUIRE(second);
  CHECK(!memory.accept(20'000));
  // Ordinary requests still have room.
  auto small = memory.accept(10'000);
  CHECK(small);
  second.reset();
  CHECK(memory.accepted() == 610'000);
}

// A configuration may permit bodies above the part for accepted ones.
TEST_CASE("a single large body is accepted while no other is held") {
  CallerMemory memory(kLimit);
  auto body = memory.accept(950'000);
  REQUIRE(body);
  CHECK(!memory.accept(950'000));
  body.reset();
  CHECK(memory.accept(950'000));
}

TEST_CASE("a shared body keeps its memory reserved until its last holder is gone") {
  CallerMemory memory(kLimit);
  auto reservation = memory.accept(500'000);
  REQUIRE(reservation);
  http::SharedBody body = make_shared_body(std::string(500'000, 'x'), std::move(*reservation));
  http::SharedBody copy = body;
  reservation.reset();
  body.reset();
  CHECK(memory.accepted() == 500'000);
  copy.reset();
  CHECK(memory.accepted() == 0);
}

TEST_CASE("requests that are being read count towards the limit") {
  CallerMemory memory(kLimit);
  memory.resize_reading(0, 800'000);
  CHECK(!memory.exceeded());
  auto body = memory.accept(300'000);
  CHECK(memory.exceeded());
  memory.resize_reading(800'000, 0);
  CHECK(!memory.exceeded());
}

}  // namespace damaskthread::mesh
