#include "failover/coordinator.hpp"

#include <utility>

#include "failover/group_coordinator.hpp"

namespace pipitpond::failover {

Coordinator::Coordinator(RevisionFollowed revision_followed)
    : revision_followed_(std::move(revision_followed)) {}
Coordinator::~Coordinator() = default;

void Coordinator::on_leadership(core::Instant now, bool leading) {
  leading_ = leading;
  effects_.clear();
  heard_.clear();
  suspected_by_.clear();
  for (auto& [name, group] : groups_) {
    group->reset();
  }
  if (!leading_) {
    return;
  }
  // Their heartbeats go to the former leader until they learn of this one: silence says nothing yet.
  for (const auto& [daemon, description] : configuration_.daemons) {
    heard_[daemon] = now;
  }
}

void Coordinator::on_configuration(core::Instant now, const protocol::Configuration& configuration) {
  configuration_ = configuration;
  owner_table_.update(configuration_);
  std::erase_if(groups_, [&](const auto& entry) { return !configuration_.groups.contains(entry.first); });
  std::erase_if(heard_, [&](const auto& entry) { return !configuration_.daemons.contains(entry.first); });
  group_of_.clear();
  for (const auto& [name, group] : configuration_.groups) {
    std::unique_ptr<GroupCoordinator>& coordinator = groups_[name];
    if (coordinator == nullptr) {
      coordinator = std::make_unique<GroupCoordinator>(effects_, revision_followed_);
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
  heard_[daemon] = now;
  std::map<core::GroupName, std::vector<protocol::SuspicionReport>> by_group;
  for (const core::GroupName& before : suspected_by_[daemon]) {
    by_group[before];
  }
  for (const protocol::SuspicionReport& report : suspicions) {
    const auto group = group_of_.find(report.database);
    if (group != group_of_.end()) {
      by_group[group->second].push_back(report);
    }
  }
  std::vector<core::GroupName>& suspected = suspected_by_[daemon];
  suspected.clear();
  for (auto& [name, reports] : by_group) {
    if (!reports.empty()) {
      suspected.push_back(name);
    }
    if (GroupCoordinator* group = find(name)) {
      group->report(daemon, std::move(reports));
      group->tick(now, heard_);
    }
  }
}

void Coordinator::on_daemon_removed(core::Instant, const core::DaemonId& daemon) {
  heard_.erase(daemon);
  const auto suspected = suspected_by_.extract(daemon);
  if (suspected.empty()) {
    return;
  }
  for (const core::GroupName& name : suspected.mapped()) {
    const auto group = groups_.find(name);
    if (group != groups_.end()) {
      group->second->report(daemon, {});
    }
  }
}

void Coordinator::on_probe_answer(core::Instant now, const database::StatusAnswer& status) {
  const auto group = group_of_.find(status.database);
  if (leading_ && group != group_of_.end()) {
    find(group->second)->on_probe_answer(now, status);
  }
}

void Coordinator::on_probe_failed(core::Instant now, const core::DatabaseId& database) {
  const auto group = group_of_.find(database);
  if (leading_ && group != group_of_.end()) {
    find(group->second)->on_probe_failed(now, database);
  }
}

void Coordinator::on_fence_answer(core::Instant now, const core::GroupName& group,
                                  const database::FenceAnswer& answer) {
  if (GroupCoordinator* found = find(group)) {
    found->on_fence_answer(now, answer);
  }
}

void Coordinator::on_fence_failed(core::Instant now, const core::GroupName& group,
                                  const core::DatabaseId& database, core::Term term) {
  if (GroupCoordinator* found = find(group)) {
    found->on_fence_failed(now, database, term);
  }
}

void Coordinator::on_promote_answer(core::Instant now, const core::GroupName& group,
                                    const database::PromoteAnswer& answer) {
  if (GroupCoordinator* found = find(group)) {
    found->on_promote_answer(now, answer);
  }
}

void Coordinator::on_promote_failed(core::Instant now, const core::GroupName& group,
                                    const core::DatabaseId& database, core::Term term) {
  if (GroupCoordinator* found = find(group)) {
    found->on_promote_failed(now, database, term);
  }
}

void Coordinator::on_refused(core::Instant now, const core::GroupName& group,
                             const core::DatabaseId& database, core::Term term, core::Term newer) {
  if (GroupCoordinator* found = find(group)) {
    found->on_refused(now, database, term, newer);
  }
}

void Coordinator::tick(core::Instant now) {
  if (!leading_) {
    return;
  }
  for (auto& [name, group] : groups_) {
    group->tick(now, heard_);
  }
}

std::vector<Effect> Coordinator::take_effects() {
  return std::exchange(effects_, {});
}

GroupCoordinator* Coordinator::find(const core::GroupName& group) {
  const auto found = groups_.find(group);
  return leading_ && found != groups_.end() ? found->second.get() : nullptr;
}

}  // namespace pipitpond::failover
