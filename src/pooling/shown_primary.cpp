#include "pooling/shown_primary.hpp"

#include "pooling/reported_age.hpp"

namespace pipitpond::pooling {
namespace {

/// Upper bound on the time from `moment` to the arrival of the request; 0: it came after it.
std::uint32_t age_at(core::Instant arrived, core::Instant moment) {
  return moment >= arrived ? 0 : reported_age_ms(arrived - moment);
}

std::optional<FailoverExclusion> exclusion_from_reply(const ShownPrimaryReply& reply, core::Instant asked) {
  if (!reply.excludes_failover) {
    return std::nullopt;
  }
  FailoverExclusion exclusion{asked - std::chrono::milliseconds(reply.exclusion_age_ms), std::nullopt};
  if (reply.exclusion_led_term > 0) {
    exclusion.led_term = reply.exclusion_led_term;
  }
  return exclusion;
}

}  // namespace

core::Instant earliest_round_start(const ShownPrimaryRequest& request, core::Instant arrived) {
  const core::Duration oldest = max_reportable_age(std::chrono::milliseconds(request.max_age_ms));
  return oldest > core::Duration::zero() ? arrived - oldest : arrived;
}

ShownPrimaryReply make_reply(const ShownPrimary& shown, core::Term term, core::Instant arrived) {
  ShownPrimaryReply reply{shown.primary, term, shown.position, age_at(arrived, shown.begun)};
  if (shown.failover_exclusion) {
    reply.excludes_failover = true;
    reply.exclusion_age_ms = age_at(arrived, shown.failover_exclusion->at);
    reply.exclusion_led_term = shown.failover_exclusion->led_term.value_or(0);
  }
  return reply;
}

std::optional<ShownPrimary> proof_from_reply(const ShownPrimaryReply& reply, const PresumedPrimary& presumed,
                                             core::Instant asked) {
  if (reply.primary != presumed.database || reply.term != presumed.term) {
    return std::nullopt;
  }
  return ShownPrimary{reply.primary, asked - std::chrono::milliseconds(reply.age_ms), reply.position,
                      exclusion_from_reply(reply, asked)};
}

}  // namespace pipitpond::pooling
