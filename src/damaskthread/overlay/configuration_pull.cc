#include "damaskthread/overlay/configuration_pull.h"

#include <algorithm>
#include <random>

namespace damaskthread::overlay {

std::optional<std::string> ConfigurationPull::next_source(std::span<const ConfigurationOffer> offers,
                                                          std::uint64_t version, core::TimePoint now) {
  std::uint64_t newest = version;
  for (const ConfigurationOffer& offer : offers) newest = std::max(newest, offer.version);
  if (newest == version) return std::nullopt;
  if (newest > newest_known_) {
    newest_known_ = newest;
    requested_.clear();
    request_deadline_ = now;
    cross_zone_after_ =
        now + core::Duration(std::uniform_int_distribution<core::Duration::rep>(0, kCrossZoneDelay.count())(random_));
  }
  if (now < request_deadline_) return std::nullopt;
  const auto pick_offer = [&](bool same_zone) {
    std::vector<const ConfigurationOffer*> eligible;
    for (const ConfigurationOffer& offer : offers) {
      const bool already_requested =
          std::find(requested_.begin(), requested_.end(), offer.endpoint) != requested_.end();
      if (offer.version == newest && offer.same_zone == same_zone && !already_requested) eligible.push_back(&offer);
    }
    return eligible.empty() ? nullptr : eligible[random_() % eligible.size()];
  };
  const ConfigurationOffer* selected = pick_offer(true);
  if (selected == nullptr && now < cross_zone_after_) return std::nullopt;
  if (selected == nullptr) selected = pick_offer(false);
  if (selected == nullptr) {
    // All sources were tried; start over after the timeout.
    requested_.clear();
    request_deadline_ = now + kRequestTimeout;
    return std::nullopt;
  }
  requested_.push_back(selected->endpoint);
  request_deadline_ = now + kRequestTimeout;
  return selected->endpoint;
}

}  // namespace damaskthread::overlay
