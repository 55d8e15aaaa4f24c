#include "damaskthread/http/disconnect_monitor.h"

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <system_error>

namespace damaskthread::http::internal {
namespace {

constexpr std::uint64_t kWakeEventId = 0;

}  // namespace

DisconnectMonitor::DisconnectMonitor()
    : epoll_(::epoll_create1(EPOLL_CLOEXEC)), wake_event_(::eventfd(0, EFD_CLOEXEC)) {
  if (epoll_ < 0 || wake_event_ < 0)
    throw std::system_error(errno, std::generic_category(), "cannot create the connection monitor");
  epoll_event event{};
  event.events = EPOLLIN;
  event.data.u64 = kWakeEventId;
  ::epoll_ctl(epoll_, EPOLL_CTL_ADD, wake_event_, &event);
  thread_ = std::thread([this] { run(); });
}

DisconnectMonitor::~DisconnectMonitor() {
  const std::uint64_t one = 1;
  [[maybe_unused]] const ssize_t written = ::write(wake_event_, &one, sizeof(one));
  thread_.join();
  ::close(wake_event_);
  ::close(epoll_);
}

std::uint64_t DisconnectMonitor::add(int descriptor, Cancellation& cancellation) {
  const std::lock_guard lock(mutex_);
  const std::uint64_t id = next_id_++;
  registrations_.emplace(id, &cancellation);
  epoll_event event{};
  event.events = EPOLLRDHUP | EPOLLONESHOT;
  event.data.u64 = id;
  if (::epoll_ctl(epoll_, EPOLL_CTL_ADD, descriptor, &event) != 0) registrations_.erase(id);
  return id;
}

void DisconnectMonitor::remove(int descriptor, std::uint64_t id) {
  const std::lock_guard lock(mutex_);
  ::epoll_ctl(epoll_, EPOLL_CTL_DEL, descriptor, nullptr);
  registrations_.erase(id);
}

void DisconnectMonitor::run() {
  std::array<epoll_event, 64> events{};
  for (;;) {
    const int count = ::epoll_wait(epoll_, events.data(), static_cast<int>(events.size()), -1);
    if (count < 0 && errno != EINTR) return;
    for (int i = 0; i < count; ++i) {
      if (events[i].data.u64 == kWakeEventId) return;
      const std::lock_guard lock(mutex_);
      const auto found = registrations_.find(events[i].data.u64);
      if (found == registrations_.end()) continue;
      found->second->cancel();
    }
  }
}

DisconnectMonitor::Registration::Registration(DisconnectMonitor* monitor, int descriptor, Cancellation& cancellation)
    : monitor_(descriptor < 0 ? nullptr : monitor), descriptor_(descriptor) {
  if (monitor_ != nullptr) id_ = monitor_->add(descriptor_, cancellation);
}

DisconnectMonitor::Registration::~Registration() {
  if (monitor_ != nullptr) monitor_->remove(descriptor_, id_);
}

}  // namespace damaskthread::http::internal
