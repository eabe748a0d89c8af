#include "pooling/shown_primary.hpp"

#include "pooling/reported_age.hpp"

namespace pipitpond::pooling {

core::Instant earliest_round_start(const ShownPrimaryRequest& request, core::Instant arrived) {
  const core::Duration oldest = max_reportable_age(std::chrono::milliseconds(request.max_age_ms));
  return oldest > core::Duration::zero() ? arrived - oldest : arrived;
}

ShownPrimaryReply make_reply(const ShownPrimary& shown, core::Term term, core::Instant arrived) {
  const bool began_after = shown.begun >= arrived;
  return ShownPrimaryReply{shown.primary, term, shown.position,
                           began_after ? 0 : reported_age_ms(arrived - shown.begun)};
}

std::optional<ShownPrimary> proof_from_reply(const ShownPrimaryReply& reply, const PresumedPrimary& presumed,
                                             core::Instant asked) {
  if (reply.primary != presumed.database || reply.term != presumed.term) {
    return std::nullopt;
  }
  return ShownPrimary{reply.primary, asked - std::chrono::milliseconds(reply.age_ms), reply.position};
}

}  // namespace pipitpond::pooling
