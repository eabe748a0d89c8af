#include "proxy/owner_loads.hpp"

#include <algorithm>
#include <cmath>

namespace pipitpond::proxy {
namespace {

/// Time constant with which what was seen fades, so that an owner that was busy is tried again soon.
constexpr double kMemoryUs = 200'000.0;
/// Weight of a new observation in the averages.
constexpr double kWeight = 0.5;
/// A refusal counts as this time in the queue: about the longest that a request with a short deadline may
/// wait.
constexpr double kRefusedUs = 250'000.0;
/// How often, in requests, faded entries are looked for, and when they are forgotten.
constexpr std::uint32_t kForgetInterval = 1024;
constexpr double kForgotten = 0.01;

bool is_refused_by_queue(const protocol::ForwardReply& reply) {
  return reply.outcome == core::Outcome::kNotRun && reply.error.kind == core::ErrorKind::kOverloaded;
}

void blend(double& average, double seen) {
  average += (seen - average) * kWeight;
}

}  // namespace

double OwnerLoads::fading(const Entry& entry, core::Instant now) {
  const core::Duration elapsed = std::max(core::Duration(0), now - entry.faded_at);
  return std::exp(-static_cast<double>(elapsed.count()) / kMemoryUs);
}

void OwnerLoads::fade(Entry& entry, core::Instant now) {
  const double factor = fading(entry, now);
  entry.sent *= factor;
  entry.queued_us *= factor;
  entry.faded_at = now;
}

void OwnerLoads::begin(const OwnerLoadKey& key, core::Instant now) {
  if (++begun_ % kForgetInterval == 0) {
    forget_faded(now);
  }
  Entry& entry = entries_[key];
  fade(entry, now);
  ++entry.outstanding;
  entry.sent += 1.0;
}

void OwnerLoads::end(const OwnerLoadKey& key, const protocol::ForwardReply& reply, core::Instant sent_at,
                     core::Instant now) {
  const auto found = entries_.find(key);
  if (found == entries_.end()) {
    return;
  }
  Entry& entry = found->second;
  fade(entry, now);
  --entry.outstanding;
  if (is_refused_by_queue(reply)) {
    blend(entry.queued_us, kRefusedUs);
  } else if (reply.outcome == core::Outcome::kDone) {
    blend(entry.queued_us, reply.queued_us);
    const auto took = static_cast<double>((now - sent_at).count());
    blend(entry.service_us, std::max(0.0, took - reply.queued_us));
  }
}

TenantLoad OwnerLoads::load(const OwnerLoadKey& key, std::uint32_t slots, core::Instant now) const {
  const auto found = entries_.find(key);
  if (found == entries_.end()) {
    return {};
  }
  const Entry& entry = found->second;
  const double factor = fading(entry, now);
  const double ahead = entry.outstanding * entry.service_us / std::max(slots, 1U);
  const double wait = entry.queued_us * factor + ahead;
  return {core::Duration(static_cast<core::Duration::rep>(wait)), entry.sent * factor};
}

void OwnerLoads::forget_faded(core::Instant now) {
  std::erase_if(entries_, [now](const auto& item) {
    const Entry& entry = item.second;
    return entry.outstanding == 0 && entry.sent * fading(entry, now) < kForgotten;
  });
}

}  // namespace pipitpond::proxy
