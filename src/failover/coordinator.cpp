#include "failover/coordinator.hpp"

#include <utility>

#include "failover/group_coordinator.hpp"

namespace pipitpond::failover {

Coordinator::Coordinator(RevisionAppliedCheck revision_applied)
    : revision_applied_(std::move(revision_applied)) {}
Coordinator::~Coordinator() = default;

void Coordinator::on_leadership(core::Instant now, bool leading) {
  leading_ = leading;
  effects_.clear();
  last_heartbeats_.clear();
  reported_groups_.clear();
  for (auto& [name, group] : groups_) {
    group->reset(now);
  }
  if (!leading_) {
    return;
  }
  // Daemons send heartbeats to the former leader until they learn of this one, so missing heartbeats are not
  // counted against them yet.
  for (const auto& [daemon, description] : configuration_.daemons) {
    last_heartbeats_[daemon] = now;
  }
}

void Coordinator::on_configuration(core::Instant now, const protocol::Configuration& configuration) {
  configuration_ = configuration;
  owner_table_.update(configuration_);
  std::erase_if(groups_, [&](const auto& entry) { return !configuration_.groups.contains(entry.first); });
  std::erase_if(last_heartbeats_,
                [&](const auto& entry) { return !configuration_.daemons.contains(entry.first); });
  group_of_.clear();
  for (const auto& [name, group] : configuration_.groups) {
    std::unique_ptr<GroupCoordinator>& coordinator = groups_[name];
    if (coordinator == nullptr) {
      coordinator = std::make_unique<GroupCoordinator>(effects_, revision_applied_);
    }
    for (const protocol::Database& database : group.databases) {
      group_of_[database.id] = name;
    }
    const auto primary = protocol::current_primary(group);
    std::vector<core::DaemonId> owners;
    if (primary.has_value()) {
      owners = owner_table_.owners(primary->primary);
    }
    coordinator->on_configuration(now, group, std::move(owners), configuration_.revision);
  }
}

void Coordinator::on_suspicions(core::Instant now, const core::DaemonId& daemon,
                                const std::vector<protocol::SuspicionReport>& suspicions) {
  if (!leading_) {
    return;
  }
  last_heartbeats_[daemon] = now;
  std::map<core::GroupName, std::vector<protocol::SuspicionReport>> reports_by_group;
  for (const core::GroupName& previously_reported : reported_groups_[daemon]) {
    reports_by_group[previously_reported];
  }
  for (const protocol::SuspicionReport& report : suspicions) {
    const auto group = group_of_.find(report.database);
    if (group != group_of_.end()) {
      reports_by_group[group->second].push_back(report);
    }
  }
  std::vector<core::GroupName>& reported = reported_groups_[daemon];
  reported.clear();
  for (auto& [name, reports] : reports_by_group) {
    if (!reports.empty()) {
      reported.push_back(name);
    }
    if (GroupCoordinator* group = find_group(name)) {
      group->report(daemon, std::move(reports));
      group->tick(now, last_heartbeats_);
    }
  }
}

void Coordinator::on_daemon_removed(core::Instant, const core::DaemonId& daemon) {
  last_heartbeats_.erase(daemon);
  const auto reported = reported_groups_.extract(daemon);
  if (reported.empty()) {
    return;
  }
  for (const core::GroupName& name : reported.mapped()) {
    const auto group = groups_.find(name);
    if (group != groups_.end()) {
      group->second->report(daemon, {});
    }
  }
}

void Coordinator::on_probe_answer(core::Instant now, const database::StatusAnswer& status) {
  const auto group = group_of_.find(status.database);
  if (leading_ && group != group_of_.end()) {
    find_group(group->second)->on_probe_answer(now, status);
  }
}

void Coordinator::on_probe_failed(core::Instant now, const core::DatabaseId& database) {
  const auto group = group_of_.find(database);
  if (leading_ && group != group_of_.end()) {
    find_group(group->second)->on_probe_failed(now, database);
  }
}

void Coordinator::on_fence_answer(core::Instant now, const FenceDatabase& call,
                                  const database::FenceAnswer& answer) {
  if (GroupCoordinator* found = find_group(call.group)) {
    found->on_fence_answer(now, call, answer);
  }
}

void Coordinator::on_fence_failed(core::Instant now, const core::GroupName& group,
                                  const core::DatabaseId& database, core::Term term) {
  if (GroupCoordinator* found = find_group(group)) {
    found->on_fence_failed(now, database, term);
  }
}

void Coordinator::on_promote_answer(core::Instant now, const core::GroupName& group,
                                    const database::PromoteAnswer& answer) {
  if (GroupCoordinator* found = find_group(group)) {
    found->on_promote_answer(now, answer);
  }
}

void Coordinator::on_promote_failed(core::Instant now, const core::GroupName& group,
                                    const core::DatabaseId& database, core::Term term) {
  if (GroupCoordinator* found = find_group(group)) {
    found->on_promote_failed(now, database, term);
  }
}

void Coordinator::on_promote_without_effect(core::Instant now, const core::GroupName& group,
                                            const core::DatabaseId& database, core::Term term) {
  if (GroupCoordinator* found = find_group(group)) {
    found->on_promote_without_effect(now, database, term);
  }
}

void Coordinator::on_refused(core::Instant now, const core::GroupName& group,
                             const core::DatabaseId& database, core::Term term, core::Term newer_term) {
  if (GroupCoordinator* found = find_group(group)) {
    found->on_refused(now, database, term, newer_term);
  }
}

void Coordinator::tick(core::Instant now) {
  if (!leading_) {
    return;
  }
  for (auto& [name, group] : groups_) {
    group->tick(now, last_heartbeats_);
  }
}

std::vector<Effect> Coordinator::take_effects() {
  return std::exchange(effects_, {});
}

GroupCoordinator* Coordinator::find_group(const core::GroupName& group) {
  const auto found = groups_.find(group);
  return leading_ && found != groups_.end() ? found->second.get() : nullptr;
}

}  // namespace pipitpond::failover
