#include "damaskthread/mesh/lease_client.h"

#include <algorithm>
#include <boost/leaf/handle_errors.hpp>
#include <chrono>
#include <optional>
#include <string>

#include "damaskthread/core/error.h"
#include "damaskthread/mesh/clock.h"

namespace damaskthread::mesh {
namespace {

constexpr core::Duration kCallTimeout = std::chrono::milliseconds{1500};
constexpr std::string_view kLeaseKey = "quotas";
constexpr int kOk = 200;

}  // namespace

LeaseClient::LeaseClient(boost::asio::io_context& io, const Adapter& adapter, const http::Endpoint& store,
                         EventLog& log, const std::string& self)
    : adapter_(adapter), log_(log), lease_(self), call_(io, store) {}

void LeaseClient::tick(bool wanted, core::TimePoint now) {
  lease_.set_wanted(wanted);
  const bool held = lease_.held(now);
  if (held != logged_held_) {
    logged_held_ = held;
    log_.line(LogClass::kStateChange, "quota_lease", {{"held", held}});
  }
  switch (lease_.next_step(now)) {
    case quota::Lease::Step::kNone:
      return;
    case quota::Lease::Step::kRead:
      return read(now);
    case quota::Lease::Step::kWrite:
      return write(now);
  }
}

void LeaseClient::read(core::TimePoint now) {
  lease_.on_started(now);
  call_.call(adapter_.newest(Topic::kLeases, ""), kCallTimeout, [this](const http::Response& response) {
    const core::TimePoint time = mesh::now();
    if (response.status != kOk) return lease_.on_failed(time);
    boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<void> {
          BOOST_LEAF_AUTO(page, adapter_.parse_newest(response));
          const auto record = std::find_if(page.records.begin(), page.records.end(),
                                           [](const KeyedRecord& candidate) { return candidate.key == kLeaseKey; });
          std::optional<std::string> holder;
          if (record != page.records.end()) holder = record->value;
          lease_.on_read(holder, page.end, time);
          return {};
        },
        [&](const core::Error& error) {
          log_.line(LogClass::kStateChange, "store_answer_unreadable", {{"call", "lease"}, {"reason", error.message}});
          lease_.on_failed(time);
        },
        [&] { lease_.on_failed(time); });
  });
}

void LeaseClient::write(core::TimePoint now) {
  lease_.on_started(now);
  call_.call(adapter_.put_at(Topic::kLeases, kLeaseKey, lease_.self(), lease_.end()), kCallTimeout,
             [this](const http::Response& response) {
               if (response.status == kOk) return lease_.on_written();
               lease_.on_failed(mesh::now());
             });
}

}  // namespace damaskthread::mesh
