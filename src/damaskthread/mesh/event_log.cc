#include "damaskthread/mesh/event_log.h"

#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <chrono>
#include <nlohmann/json.hpp>

#include "damaskthread/mesh/clock.h"

namespace damaskthread::mesh {
namespace {

using Json = nlohmann::ordered_json;

// Lines are written in batches, since waking the writer costs more than writing a line.
constexpr auto kWriteInterval = std::chrono::milliseconds(200);

log4cplus::Logger logger() { return log4cplus::Logger::getInstance("damaskthread.mesh"); }

}  // namespace

EventLog::EventLog(std::string name, const Options& options)
    : name_(std::move(name)), options_(options), writer_([this] { run_writer(); }) {}

EventLog::~EventLog() { finish(); }

void EventLog::finish() {
  if (!writer_.joinable()) return;
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  wake_.notify_one();
  writer_.join();
}

bool EventLog::within_rate_limit(LogClass log_class, core::TimePoint now) {
  if (now - rate_window_start_ >= std::chrono::seconds(1)) {
    rate_window_start_ = now;
    failed_in_window_ = 0;
    served_in_window_ = 0;
  }
  if (log_class == LogClass::kFailedRequest) return ++failed_in_window_ <= options_.failed_lines_per_second;
  if (log_class == LogClass::kServedRequest) return ++served_in_window_ <= options_.served_lines_per_second;
  return true;
}

void EventLog::line(LogClass log_class, std::string_view event, std::initializer_list<LogField> fields) {
  const core::TimePoint time = now();
  if (!within_rate_limit(log_class, time)) {
    ++dropped_lines_;
    return;
  }
  Json object;
  const auto wall = std::chrono::system_clock::now().time_since_epoch();
  object["time_ms"] = std::chrono::duration_cast<std::chrono::milliseconds>(wall).count();
  object["node"] = name_;
  object["event"] = event;
  for (const LogField& field : fields) {
    std::visit([&object, &field](const auto& value) { object[std::string(field.name)] = value; }, field.value);
  }
  if (dropped_lines_ > 0) object["lines_dropped"] = dropped_lines_;
  // Callers supply identifiers, which may contain invalid UTF-8.
  std::string text = object.dump(-1, ' ', false, Json::error_handler_t::replace);
  const std::lock_guard lock(mutex_);
  if (lines_.size() >= options_.max_buffered_lines) {
    ++dropped_lines_;
    return;
  }
  dropped_lines_ = 0;
  lines_.push_back(std::move(text));
  if (lines_.size() == 1) wake_.notify_one();
}

void EventLog::run_writer() {
  std::unique_lock lock(mutex_);
  for (;;) {
    wake_.wait(lock, [this] { return stopping_ || !lines_.empty(); });
    if (lines_.empty()) return;
    wake_.wait_for(lock, kWriteInterval, [this] { return stopping_; });
    std::string batch;
    for (const std::string& line : lines_) batch.append(batch.empty() ? "" : "\n").append(line);
    lines_.clear();
    lock.unlock();
    LOG4CPLUS_INFO(logger(), batch);
    lock.lock();
  }
}

}  // namespace damaskthread::mesh
