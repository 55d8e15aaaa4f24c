#include "damaskthread/mesh/event_log.h"

#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <chrono>
#include <nlohmann/json.hpp>

#include "damaskthread/mesh/clock.h"

namespace damaskthread::mesh {
namespace {

using Json = nlohmann::ordered_json;

// Lines are written together at this interval: each wake-up of the writer costs more than a line.
constexpr auto kWriteInterval = std::chrono::milliseconds(200);

log4cplus::Logger logger() { return log4cplus::Logger::getInstance("damaskthread.mesh"); }

}  // namespace

EventLog::EventLog(std::string name, const Options& options)
    : name_(std::move(name)), options_(options), writer_([this] { write(); }) {}

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

bool EventLog::allowed(LineClass line_class, core::TimePoint now) {
  if (now - second_begun_ >= std::chrono::seconds(1)) {
    second_begun_ = now;
    failed_in_second_ = 0;
    served_in_second_ = 0;
  }
  if (line_class == LineClass::kFailed) return ++failed_in_second_ <= options_.failed_lines;
  if (line_class == LineClass::kServed) return ++served_in_second_ <= options_.served_lines;
  return true;
}

void EventLog::line(LineClass line_class, std::string_view event, std::initializer_list<LogField> fields) {
  const core::TimePoint time = now();
  if (!allowed(line_class, time)) {
    ++dropped_;
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
  if (dropped_ > 0) object["lines_dropped"] = dropped_;
  // Identifiers come from callers and may hold any bytes.
  std::string text = object.dump(-1, ' ', false, Json::error_handler_t::replace);
  const std::lock_guard lock(mutex_);
  if (lines_.size() >= options_.buffered_lines) {
    ++dropped_;
    return;
  }
  dropped_ = 0;
  lines_.push_back(std::move(text));
  if (lines_.size() == 1) wake_.notify_one();
}

void EventLog::write() {
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
