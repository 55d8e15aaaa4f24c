#include "meshfleet/store.h"

#include <sodium.h>

#include <boost/asio/post.hpp>
#include <nlohmann/json.hpp>
#include <utility>

namespace damaskthread::meshfleet {
namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

std::string query_value(std::string_view target, std::string_view name) {
  const std::size_t at = target.find(std::string(name) + "=");
  if (at == std::string_view::npos) return "";
  const std::string_view rest = target.substr(at + name.size() + 1);
  return std::string(rest.substr(0, rest.find('&')));
}

std::uint64_t parse_number(const std::string& text) { return text.empty() ? 0 : std::stoull(text); }

std::string big_endian(std::uint64_t value, int bytes) {
  std::string text;
  for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8) text.push_back(static_cast<char>((value >> shift) & 0xFFU));
  return text;
}

std::string base64(const std::string& bytes) {
  std::string text(sodium_base64_ENCODED_LEN(bytes.size(), sodium_base64_VARIANT_ORIGINAL), '\0');
  sodium_bin2base64(text.data(), text.size(), reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(),
                    sodium_base64_VARIANT_ORIGINAL);
  text.resize(text.size() - 1);
  return text;
}

}  // namespace

Store::Store(boost::asio::io_context& io, std::uint16_t port)
    : listener_(io, {"127.0.0.1", port}, 4096, [this](const auto& request) { handle(request); }), timer_(io) {
  schedule_tick();
}

void Store::schedule_tick() {
  timer_.expires_after(milliseconds(20));
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (error) return;
    answer_pending_reads();
    schedule_tick();
  });
}

void Store::handle(const std::shared_ptr<mesh::CallerRequest>& request) {
  ++calls_;
  const std::string& target = request->request.target;
  if (fault_ == Fault::kRefuse) return answer(request, {503, {}, ""});
  if (fault_ == Fault::kSilent) {
    unanswered_.push_back(request);
    return;
  }
  const std::string topic = query_value(target, "topic");
  if (target.starts_with("/log-append")) {
    const std::string at = query_value(target, "at");
    const std::size_t end = topics_[topic].records.size();
    if (!at.empty() && parse_number(at) != end) return answer(request, {412, {}, Json{{"end", end}}.dump()});
    append(topic, request->request.body);
    if (fault_ == Fault::kLoseAnswers) {
      unanswered_.push_back(request);
    } else {
      answer(request, {200, {}, "{}"});
    }
  } else if (target.starts_with("/log-newest")) {
    answer(request, newest(topic));
  } else if (target.starts_with("/log-read")) {
    const milliseconds wait(parse_number(query_value(target, "wait_ms")));
    pending_reads_.push_back({request, topic, parse_number(query_value(target, "from")), Clock::now() + wait});
    answer_pending_reads();
  } else {
    answer(request, {404, {}, ""});
  }
}

void Store::append(const std::string& topic, std::string_view body) {
  while (body.size() > 4) {
    std::size_t length = 0;
    for (int i = 0; i < 4; ++i) length = (length << 8U) | static_cast<unsigned char>(body[i]);
    const std::string_view content = body.substr(4, length);
    const auto key_length = static_cast<unsigned char>(content[0]);
    topics_[topic].records.push_back(
        {std::string(content.substr(1, key_length)), std::string(content.substr(1 + key_length))});
    body.remove_prefix(4 + length);
  }
}

void Store::write_as_operator(const std::string& key, const std::string& value) {
  topics_["keyed.op"].records.push_back({key, value});
}

void Store::write_member(const std::string& key, const std::string& value) {
  topics_["keyed.members"].records.push_back({key, value});
}

void Store::forget_history() {
  for (auto& [name, topic] : topics_) topic.first = topic.records.size();
}

void Store::restore() {
  topics_ = backup_;
  ++era_;
}

std::string Store::member(const std::string& key) const {
  std::string value;
  const auto topic = topics_.find("keyed.members");
  if (topic == topics_.end()) return value;
  for (const Record& record : topic->second.records) {
    if (record.key == key) value = record.value;
  }
  return value;
}

void Store::answer(const std::shared_ptr<mesh::CallerRequest>& request, http::Response response) const {
  response.headers.push_back({"Store-Era", std::to_string(era_)});
  request->answer(response);
}

http::Response Store::newest(const std::string& topic) {
  const Topic& records = topics_[topic];
  std::map<std::string, std::string> values;
  for (const Record& record : records.records) values[record.key] = record.value;
  Json items = Json::array();
  for (const auto& [key, value] : values) items.push_back({{"key", key}, {"value", base64(value)}, {"offset", 0}});
  return {200, {}, Json{{"items", items}, {"more", false}, {"end", records.records.size()}}.dump()};
}

http::Response Store::changes(const std::string& topic, std::uint64_t from) {
  const Topic& records = topics_[topic];
  if (from < records.first || from > records.records.size()) return {410, {}, Json{{"first", records.first}}.dump()};
  std::string body = big_endian(records.records.size(), 8) + big_endian(records.first, 8);
  for (std::size_t i = from; i < records.records.size(); ++i) {
    const Record& record = records.records[i];
    body += big_endian(1 + record.key.size() + record.value.size(), 4) + static_cast<char>(record.key.size()) +
            record.key + record.value;
  }
  return {200, {}, std::move(body)};
}

void Store::answer_pending_reads() {
  if (fault_ == Fault::kSilent) return;
  std::vector<PendingRead> ready;
  std::erase_if(pending_reads_, [&](const PendingRead& pending) {
    if (pending.request->done()) return true;
    const Topic& topic = topics_[pending.topic];
    if (pending.from >= topic.records.size() && pending.until > Clock::now()) return false;
    ready.push_back(pending);
    return true;
  });
  for (const PendingRead& pending : ready) answer(pending.request, changes(pending.topic, pending.from));
  if (fault_ == Fault::kNone) unanswered_.clear();
}

}  // namespace damaskthread::meshfleet
