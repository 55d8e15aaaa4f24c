#include "damaskthread/quota/lease.h"

#include <utility>

namespace damaskthread::quota {

Lease::Lease(std::string self, const LeaseOptions& options) : self_(std::move(self)), options_(options) {}

Lease::Step Lease::next_step(core::TimePoint now) const noexcept {
  if (!wanted_ || calling_ || now < next_call_) return Step::kNone;
  return available_ ? Step::kWrite : Step::kRead;
}

void Lease::on_started(core::TimePoint now) noexcept {
  calling_ = true;
  call_started_ = now;
}

void Lease::on_read(const std::optional<std::string>& holder, std::uint64_t end, core::TimePoint now) {
  calling_ = false;
  end_ = end;
  if (!holder || *holder == self_) {
    available_ = true;
    foreign_end_.reset();
    return;
  }
  if (foreign_end_ != end) {
    foreign_end_ = end;
    foreign_since_ = now;
  }
  available_ = now - foreign_since_ >= options_.lifetime + options_.margin;
  if (!available_) next_call_ = now + options_.poll_interval;
}

void Lease::on_written() {
  calling_ = false;
  ++end_;
  foreign_end_.reset();
  // From the start of the call: the record may be older than its acknowledgement.
  held_until_ = call_started_ + options_.lifetime;
  next_call_ = call_started_ + options_.renewal_interval;
}

void Lease::on_failed(core::TimePoint now) {
  calling_ = false;
  // The record has to be read again, since this write or one of another daemon may have been carried out.
  available_ = false;
  next_call_ = now + options_.poll_interval;
}

}  // namespace damaskthread::quota
