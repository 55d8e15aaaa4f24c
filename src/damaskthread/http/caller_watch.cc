#include "damaskthread/http/caller_watch.h"

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <system_error>

namespace damaskthread::http::internal {
namespace {

constexpr std::uint64_t kWakeId = 0;

}  // namespace

CallerWatch::CallerWatch() : epoll_(::epoll_create1(EPOLL_CLOEXEC)), wake_(::eventfd(0, EFD_CLOEXEC)) {
  if (epoll_ < 0 || wake_ < 0) throw std::system_error(errno, std::generic_category(), "cannot watch connections");
  epoll_event event{};
  event.events = EPOLLIN;
  event.data.u64 = kWakeId;
  ::epoll_ctl(epoll_, EPOLL_CTL_ADD, wake_, &event);
  thread_ = std::thread([this] { run(); });
}

CallerWatch::~CallerWatch() {
  const std::uint64_t one = 1;
  [[maybe_unused]] const ssize_t written = ::write(wake_, &one, sizeof(one));
  thread_.join();
  ::close(wake_);
  ::close(epoll_);
}

std::uint64_t CallerWatch::add(int descriptor, Cancellation& cancellation) {
  const std::lock_guard lock(mutex_);
  const std::uint64_t id = next_id_++;
  watched_.emplace(id, &cancellation);
  epoll_event event{};
  event.events = EPOLLRDHUP | EPOLLONESHOT;
  event.data.u64 = id;
  if (::epoll_ctl(epoll_, EPOLL_CTL_ADD, descriptor, &event) != 0) watched_.erase(id);
  return id;
}

void CallerWatch::remove(int descriptor, std::uint64_t id) {
  const std::lock_guard lock(mutex_);
  ::epoll_ctl(epoll_, EPOLL_CTL_DEL, descriptor, nullptr);
  watched_.erase(id);
}

void CallerWatch::run() {
  std::array<epoll_event, 64> events{};
  for (;;) {
    const int count = ::epoll_wait(epoll_, events.data(), static_cast<int>(events.size()), -1);
    if (count < 0 && errno != EINTR) return;
    for (int i = 0; i < count; ++i) {
      if (events[i].data.u64 == kWakeId) return;
      const std::lock_guard lock(mutex_);
      const auto found = watched_.find(events[i].data.u64);
      if (found == watched_.end()) continue;
      found->second->cancel();
    }
  }
}

CallerWatch::Registration::Registration(CallerWatch* watch, int descriptor, Cancellation& cancellation)
    : watch_(descriptor < 0 ? nullptr : watch), descriptor_(descriptor) {
  if (watch_ != nullptr) id_ = watch_->add(descriptor_, cancellation);
}

CallerWatch::Registration::~Registration() {
  if (watch_ != nullptr) watch_->remove(descriptor_, id_);
}

}  // namespace damaskthread::http::internal
