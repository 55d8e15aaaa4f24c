#include "damaskthread/retry/call_progress.h"

#include <doctest/doctest.h>

namespace damaskthread::retry {

TEST_CASE("the remaining calls follow from the calls of earlier runs of the same kind") {
  CallProgress progress;
  CHECK(progress.calls_left("index", 0) == 1);  // Nothing is known yet.
  progress.record_run("index", 4);
  CHECK(progress.calls_left("index", 0) == 4);
  CHECK(progress.calls_left("index", 3) == 1);
  CHECK(progress.calls_left("lookup", 0) == 1);
}

TEST_CASE("a call that exceeds the usual number is the last one") {
  CallProgress progress;
  progress.record_run("index", 2);
  CHECK(progress.calls_left("index", 5) == 1);
}

TEST_CASE("the number of calls follows a change of the callers") {
  CallProgress progress;
  progress.record_run("index", 4);
  for (int i = 0; i < 50; ++i) progress.record_run("index", 1);
  CHECK(progress.calls_left("index", 0) == 1);
}

}  // namespace damaskthread::retry
