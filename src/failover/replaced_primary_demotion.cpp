#include "failover/replaced_primary_demotion.hpp"

#include <utility>

#include "failover/member_probes.hpp"

namespace pipitpond::failover {

void ReplacedPrimaryDemotion::set_group(core::Instant now, const protocol::Group& group,
                                        const std::set<core::DatabaseId>& failed_candidates) {
  group_ = group.name;
  set_members(now, group);
  const protocol::TermStart last = group.terms.empty() ? protocol::TermStart{} : group.terms.back();
  if (last.term != term_ || last.primary != primary_) {
    term_ = last.term;
    primary_ = last.primary;
    failed_candidates_ = failed_candidates;
    reset(now);
  }
  find_former_primaries(group);
}

void ReplacedPrimaryDemotion::set_members(core::Instant now, const protocol::Group& group) {
  std::map<core::DatabaseId, Member> members;
  for (const protocol::Database& database : group.databases) {
    const auto known = members_.find(database.id);
    const bool is_same_life = known != members_.end() && known->second.born == database.born &&
                              known->second.endpoint == database.endpoint;
    Member& member = members[database.id];
    if (is_same_life) {
      member = std::move(known->second);
    } else {
      member.replica_counts_from = now + kLongestProbe;
    }
    member.endpoint = database.endpoint;
    member.born = database.born;
  }
  members_ = std::move(members);
}

void ReplacedPrimaryDemotion::find_former_primaries(const protocol::Group& group) {
  std::set<core::DatabaseId> former = failed_candidates_;
  for (const protocol::TermStart& term : group.terms) {
    former.insert(term.primary);
  }
  for (auto& [id, member] : members_) {
    member.may_lead = former.contains(id);
  }
}

void ReplacedPrimaryDemotion::reset(core::Instant now) {
  for (auto& [id, member] : members_) {
    member.replica_counts_from = now + kLongestProbe;
    member.is_replica = false;
    member.leads.reset();
    member.asked.reset();
    member.awaits_answer = false;
    member.demoted.reset();
  }
}

void ReplacedPrimaryDemotion::on_probe_answer(core::Instant now, const database::StatusAnswer& status) {
  const auto found = members_.find(status.database);
  if (found == members_.end()) {
    return;
  }
  Member& member = found->second;
  member.awaits_answer = false;
  if (status.role == database::Role::kPrimary) {
    member.leads = status.term;
    member.is_replica = false;
  } else if (now >= member.replica_counts_from) {
    member.leads.reset();
    member.is_replica = true;
  }
}

void ReplacedPrimaryDemotion::on_probe_failed(const core::DatabaseId& database) {
  const auto found = members_.find(database);
  if (found != members_.end()) {
    found->second.awaits_answer = false;
  }
}

bool ReplacedPrimaryDemotion::is_replaced(const core::DatabaseId& database, const Member& member) const {
  return database != primary_ && !member.is_replica && (member.may_lead || member.leads.has_value());
}

void ReplacedPrimaryDemotion::ask(core::Instant now, const core::DatabaseId& database, Member& member,
                                  std::vector<Effect>& effects) const {
  const core::Duration pause = member.awaits_answer ? kLongestProbe : protocol::kProbeInterval;
  if (member.asked.has_value() && now - *member.asked < pause) {
    return;
  }
  member.asked = now;
  member.awaits_answer = true;
  effects.emplace_back(ProbeDatabase{database, member.endpoint, group_});
}

void ReplacedPrimaryDemotion::probe(core::Instant now, std::vector<Effect>& effects) {
  bool some_leads = false;
  for (auto& [id, member] : members_) {
    if (is_replaced(id, member)) {
      ask(now, id, member, effects);
      some_leads = some_leads || member.leads.has_value();
    }
  }
  const auto present = members_.find(primary_);
  if (some_leads && present != members_.end() && !present->second.leads.has_value()) {
    ask(now, present->first, present->second, effects);
  }
}

void ReplacedPrimaryDemotion::tick(core::Instant now, std::vector<Effect>& effects) {
  const auto present = members_.find(primary_);
  if (present == members_.end() || !present->second.leads.has_value()) {
    return;
  }
  const core::Term present_term = *present->second.leads;
  for (auto& [id, member] : members_) {
    const bool leads_earlier_term =
        is_replaced(id, member) && member.leads.value_or(present_term) < present_term;
    const bool is_ordered = member.demoted.has_value() && now - *member.demoted < kDemotionRetryInterval;
    if (leads_earlier_term && !is_ordered) {
      member.demoted = now;
      effects.emplace_back(DemoteDatabase{group_, id, member.endpoint, present_term});
    }
  }
}

}  // namespace pipitpond::failover
