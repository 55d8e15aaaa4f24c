#include "damaskthread/mesh/store_client.h"

#include <algorithm>
#include <boost/leaf/handle_errors.hpp>
#include <charconv>
#include <optional>
#include <random>
#include <utility>

#include "damaskthread/core/error.h"
#include "damaskthread/mesh/clock.h"

namespace damaskthread::mesh {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr StreamTimeouts kStoreTimeouts{milliseconds{800}, seconds{2}};
constexpr core::Duration kInitialBackoff = milliseconds{100};
constexpr double kMinBackoffShare = 0.6;
// A configuration change must take effect within seconds after the store recovers.
constexpr core::Duration kMaxWatchBackoff = milliseconds{800};
// Retried less often: the entry of a member matters only for its next incarnation.
constexpr core::Duration kMaxMembersBackoff = milliseconds{2400};
// A connection to the store can die silently. The poll timeout bounds how long that stays undetected; a shorter one
// costs more calls.
constexpr milliseconds kWatchWait{4000};
constexpr core::Duration kWatchTimeoutMargin = milliseconds{1000};
constexpr core::Duration kCallTimeout = milliseconds{1500};
// New daemons connect to the listed ones, so that rereading the list only finds daemons that both sides missed.
constexpr core::Duration kMembersReadInterval = std::chrono::minutes{4};
// Time in which daemons that start simultaneously discover each other.
constexpr core::Duration kMemberDiscoveryDelay = milliseconds{100};
// Daemons that notice a restored store at the same moment read the member list spread over this time.
constexpr core::Duration kMaxRereadDelay = milliseconds{1000};
constexpr int kOk = 200;

template <typename Value>
std::optional<Value> value_or_log_error(boost::leaf::result<Value>&& result, EventLog& log,
                                        std::string_view call_name) {
  return boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<std::optional<Value>> {
        BOOST_LEAF_AUTO(value, std::move(result));
        return std::optional<Value>(std::move(value));
      },
      [&](const core::Error& error) {
        log.line(LogClass::kStateChange, "store_answer_unreadable", {{"call", call_name}, {"reason", error.message}});
        return std::optional<Value>();
      },
      [&] {
        log.line(LogClass::kStateChange, "store_answer_unreadable", {{"call", call_name}});
        return std::optional<Value>();
      });
}

}  // namespace

StoreCall::StoreCall(boost::asio::io_context& io, http::Endpoint endpoint)
    : io_(io), endpoint_(std::move(endpoint)), timer_(io), backoff_(kInitialBackoff), random_(std::random_device{}()) {}

StoreCall::~StoreCall() { close(); }

void StoreCall::call(const http::Request& request, core::Duration timeout, const Callback& callback) {
  if (connection_ != nullptr && !connection_->usable(now())) connection_.reset();
  if (connection_ == nullptr) connection_ = std::make_shared<HttpConnection>(io_, endpoint_, kStoreTimeouts);
  http::Request message = request;
  http::set(message.headers, "Host", http::to_string(endpoint_));
  timer_.expires_after(std::chrono::duration_cast<std::chrono::steady_clock::duration>(timeout));
  timer_.async_wait([this, callback](const boost::system::error_code& error) {
    if (error) return;
    close();
    callback({0, {}, {}});
  });
  connection_->send(message, [this, callback](const ExchangeResult& exchange) {
    timer_.cancel();
    const bool completed = exchange.outcome == ExchangeOutcome::kCompleted;
    if (!completed || !http::find(exchange.response.headers, "Connection").empty()) {
      // The connection is not reused; releasing it is deferred until its callback has returned.
      boost::asio::post(io_, [connection = std::exchange(connection_, nullptr)] {});
    }
    callback(completed ? exchange.response : http::Response{0, {}, {}});
  });
}

void StoreCall::retry_after_backoff(core::Duration max_backoff, std::function<void()> next) {
  // Random jitter keeps daemons that failed together from retrying together.
  const auto delay = std::chrono::duration_cast<core::Duration>(
      backoff_ * std::uniform_real_distribution<double>(kMinBackoffShare, 1)(random_));
  backoff_ = std::min(2 * backoff_, max_backoff);
  schedule(delay, std::move(next));
}

void StoreCall::schedule(core::Duration delay, std::function<void()> next) {
  timer_.expires_after(std::chrono::duration_cast<std::chrono::steady_clock::duration>(delay));
  timer_.async_wait([next = std::move(next)](const boost::system::error_code& error) {
    if (!error) next();
  });
}

void StoreCall::reset_backoff() noexcept { backoff_ = kInitialBackoff; }

void StoreCall::close() {
  timer_.cancel();
  if (connection_ != nullptr) connection_->close();
  connection_.reset();
}

StoreClient::StoreClient(boost::asio::io_context& io, const Adapter& adapter, const http::Endpoint& store,
                         EventLog& log, Hooks hooks)
    : adapter_(adapter),
      log_(log),
      hooks_(std::move(hooks)),
      watch_(io, store),
      members_(io, store),
      writes_(io, store),
      random_(std::random_device{}()) {}

void StoreClient::start() {
  read_configuration();
  read_members("", {});
}

void StoreClient::set_watch_enabled(bool enabled) {
  if (enabled == watch_enabled_) return;
  watch_enabled_ = enabled;
  if (enabled && watch_idle_) read_configuration();
}

void StoreClient::refresh_configuration() {
  watch_.close();
  read_configuration();
}

void StoreClient::on_watch_failure() {
  last_watch_succeeded_ = false;
  // Without a configuration the daemon cannot serve requests, so it keeps trying even if others watch.
  if (!watch_enabled_ && hooks_.has_configuration()) {
    watch_idle_ = true;
    return;
  }
  watch_.retry_after_backoff(kMaxWatchBackoff, [this] { read_configuration(); });
}

void StoreClient::log_reachability(bool reachable, int status) {
  if (reachable == reachable_) return;
  reachable_ = reachable;
  log_.line(LogClass::kStateChange, "store", {{"reachable", reachable}, {"status", status}});
}

std::uint64_t StoreClient::observe_era(const http::Response& response) {
  const std::string_view text = http::find(response.headers, adapter_.headers().store_era);
  std::uint64_t era = 0;
  const auto parsed = std::from_chars(text.data(), text.data() + text.size(), era);
  if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size()) return 0;
  observe_era(era);
  return era;
}

void StoreClient::observe_era(std::uint64_t era) {
  if (era <= era_) return;
  const std::uint64_t previous = std::exchange(era_, era);
  if (previous == 0) return;
  log_.line(LogClass::kStateChange, "store_restored",
            {{"era", static_cast<std::int64_t>(era)}, {"previous", static_cast<std::int64_t>(previous)}});
  reread_members();
  hooks_.on_restored();
}

void StoreClient::reread_members() {
  members_outdated_ = true;
  if (reading_members_) return;
  const auto delay =
      core::Duration(std::uniform_int_distribution<core::Duration::rep>(0, kMaxRereadDelay.count())(random_));
  members_.schedule(delay, [this] { read_members("", {}); });
}

void StoreClient::deliver_configuration(const std::vector<KeyedRecord>& records) {
  const auto newest = std::find_if(records.rbegin(), records.rend(),
                                   [](const KeyedRecord& record) { return record.key == kConfigurationKey; });
  if (newest != records.rend() && !newest->value.empty()) hooks_.on_configuration(newest->value);
}

void StoreClient::read_configuration() {
  watch_idle_ = false;
  watch_.call(adapter_.newest(Topic::kConfiguration, ""), kCallTimeout, [this](const http::Response& response) {
    log_reachability(response.status != 0, response.status);
    const std::uint64_t era = observe_era(response);
    const auto page = response.status == kOk
                          ? value_or_log_error(adapter_.parse_newest(response), log_, "newest configuration")
                          : std::nullopt;
    if (!page) return on_watch_failure();
    watch_.reset_backoff();
    last_watch_succeeded_ = true;
    next_offset_ = page->end;
    offset_era_ = era;
    deliver_configuration(page->records);
    watch_configuration();
  });
}

void StoreClient::watch_configuration() {
  if (!watch_enabled_) {
    watch_idle_ = true;
    return;
  }
  watch_.call(adapter_.changes(Topic::kConfiguration, next_offset_, kWatchWait), kWatchWait + kWatchTimeoutMargin,
              [this](const http::Response& response) {
                log_reachability(response.status != 0, response.status);
                // Offsets are assigned again after a restore, so that the records from the former offset on may lack
                // some. The era of the offset counts, not the last one seen: another daemon may have told of it first.
                const std::uint64_t era = observe_era(response);
                if (offset_era_ != 0 && era > offset_era_) return read_configuration();
                const auto changes =
                    value_or_log_error(adapter_.parse_changes(response, next_offset_), log_, "configuration");
                // Truncated changes are recovered by reading the newest records.
                if (!changes || changes->truncated) return on_watch_failure();
                watch_.reset_backoff();
                last_watch_succeeded_ = true;
                next_offset_ = changes->next;
                deliver_configuration(changes->records);
                watch_configuration();
              });
}

void StoreClient::read_members(const std::string& after, std::vector<KeyedRecord> collected) {
  reading_members_ = true;
  members_outdated_ = false;
  members_.call(adapter_.newest(Topic::kMembers, after), kCallTimeout,
                [this, collected = std::move(collected)](const http::Response& response) mutable {
                  observe_era(response);
                  reading_members_ = false;
                  // Pages from before and after a restore do not form one list.
                  if (members_outdated_) return reread_members();
                  const auto page = response.status == kOk
                                        ? value_or_log_error(adapter_.parse_newest(response), log_, "members")
                                        : std::nullopt;
                  if (!page) {
                    members_.retry_after_backoff(kMaxMembersBackoff, [this] { read_members("", {}); });
                    return;
                  }
                  members_.reset_backoff();
                  collected.insert(collected.end(), page->records.begin(), page->records.end());
                  if (page->more && !page->records.empty()) {
                    read_members(page->records.back().key, std::move(collected));
                    return;
                  }
                  hooks_.on_members(collected);
                  members_.schedule(kMembersReadInterval, [this] { read_members("", {}); });
                });
}

void StoreClient::put_member(const std::string& key, const std::string& value) {
  member_key_ = key;
  member_value_ = value;
  if (write_in_progress_) {
    write_pending_ = true;
    return;
  }
  write_member_entry();
}

void StoreClient::write_member_entry() {
  write_in_progress_ = true;
  write_pending_ = false;
  // Setting a key is idempotent, so a lost write can be retried.
  writes_.call(adapter_.put(Topic::kMembers, member_key_, member_value_), kCallTimeout,
               [this](const http::Response& response) {
                 observe_era(response);
                 if (response.status != kOk) {
                   writes_.retry_after_backoff(kMaxMembersBackoff, [this] { write_member_entry(); });
                   return;
                 }
                 writes_.reset_backoff();
                 write_in_progress_ = false;
                 if (write_pending_) {
                   write_member_entry();
                   return;
                 }
                 writes_.schedule(kMemberDiscoveryDelay, [this] {
                   if (hooks_.is_small_fleet() && !reading_members_) read_members("", {});
                 });
               });
}

void StoreClient::close() {
  watch_.close();
  members_.close();
  writes_.close();
}

}  // namespace damaskthread::mesh
