#include "damaskthread/mesh/clock.h"

#include <ctime>

namespace damaskthread::mesh {

core::TimePoint now() noexcept {
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return core::TimePoint(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

}  // namespace damaskthread::mesh
