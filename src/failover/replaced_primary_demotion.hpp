// Decides which replaced primaries are demoted outside a change of primary.
//
// A primary that was unreachable while it was replaced was not fenced. It may return before the promotion of
// its successor takes effect: it leads on then, and goes on for as long as it can't reach its successor. A
// replica that has started since the fences may follow it, and its receipts let it acknowledge writes that
// its successor lacks. So each former primary is asked, after each change and in each of its lives, until it
// has said that it is a replica; one that says that it leads is demoted.
//
// An order to demote can't be taken back and may come late. It names the term in which the present primary
// was seen to lead, as the databases count their terms: only a primary of an earlier term obeys it, never the
// present one or one that is promoted later. It sets no hold, for the replica is to follow the present
// primary.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "core/clock.hpp"
#include "failover/effects.hpp"
#include "protocol/configuration.hpp"
#include "protocol/tunables.hpp"

namespace pipitpond::failover {

/// Tracks the members of one semi-synchronous group that may lead although another one was promoted.
class ReplacedPrimaryDemotion {
 public:
  /// Takes over the committed group. `failed_candidates`: databases whose promotion was ordered during the
  /// current change without being seen to take effect.
  void set_group(core::Instant now, const protocol::Group& group,
                 const std::set<core::DatabaseId>& failed_candidates);
  /// Clears what members have said, when a leadership begins.
  void reset(core::Instant now);

  void on_probe_answer(core::Instant now, const database::StatusAnswer& status);
  void on_probe_failed(const core::DatabaseId& database);

  /// Appends the probes that are due of members that may still lead, and of the present primary until its
  /// term is known. Not needed while all members are probed.
  void probe(core::Instant now, std::vector<Effect>& effects);
  /// Appends a demotion for each member that leads an earlier term than the present primary.
  void tick(core::Instant now, std::vector<Effect>& effects);

 private:
  struct Member {
    core::Endpoint endpoint;
    std::uint64_t born = 0;
    bool may_lead = false;  ///< It led an earlier term, or its promotion failed.
    /// Until then, the answer of a replica may be from before the present term or this life.
    core::Instant replica_counts_from;
    bool is_replica = false;
    std::optional<core::Term> leads;  ///< Its own term, if it said last that it leads.
    std::optional<core::Instant> asked;
    bool awaits_answer = false;
    std::optional<core::Instant> demoted;
  };

  void set_members(core::Instant now, const protocol::Group& group);
  void find_former_primaries(const protocol::Group& group);
  [[nodiscard]] bool is_replaced(const core::DatabaseId& database, const Member& member) const;
  void ask(core::Instant now, const core::DatabaseId& database, Member& member,
           std::vector<Effect>& effects) const;

  core::GroupName group_;
  core::Term term_ = 0;       ///< Last term of the group, as control counts them.
  core::DatabaseId primary_;  ///< Of the last term; empty if it has none.
  std::set<core::DatabaseId> failed_candidates_;
  std::map<core::DatabaseId, Member> members_;
};

/// Time before a demotion is ordered again.
inline constexpr core::Duration kDemotionRetryInterval = protocol::kProbeInterval;

}  // namespace pipitpond::failover
