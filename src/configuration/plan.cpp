#include "configuration/plan.hpp"

#include <algorithm>
#include <iterator>
#include <set>
#include <string>
#include <utility>

#include "configuration/database_notice_plan.hpp"
#include "configuration/plan_steps.hpp"
#include "configuration/registry_plan.hpp"
#include "configuration/validation.hpp"

namespace pipitpond::configuration {
namespace {

using protocol::Change;
using protocol::Control;
using protocol::Daemon;
using protocol::Database;
using protocol::Group;
using protocol::Policy;
using protocol::Revision;
using protocol::TermStart;
using protocol::Zone;

/// A refusal when the operator saw another revision than the current one.
std::optional<Plan> conflict(const PlanContext& context, const std::string& what, Revision current) {
  if (context.expected_revision == current) {
    return std::nullopt;
  }
  const std::string state = current == 0 ? " does not exist" : " is at revision " + std::to_string(current);
  return refused(core::ErrorKind::kConflict,
                 what + state + ", not at " + std::to_string(context.expected_revision) + ".",
                 "Read it again, merge your change and send it with revision " + std::to_string(current) +
                     " and a new key.",
                 current);
}

Plan plan_one(const PlanContext& context, const PutZone& put) {
  if (auto error = check_name("zone", put.name.value())) {
    return Plan{error, 0, std::nullopt};
  }
  if (auto error = check_name("region", put.region.value())) {
    return Plan{error, 0, std::nullopt};
  }
  const Zone* current = find(context.configuration.zones, put.name);
  const Revision revision = current == nullptr ? 0 : current->revision;
  if (auto refusal = conflict(context, "Zone " + put.name.value(), revision)) {
    return *refusal;
  }
  if (current != nullptr && current->region == put.region) {
    return unchanged(revision);
  }
  Change change = next_change(context.configuration);
  change.zones.push_back(Zone{put.name, put.region, change.revision});
  return Plan{std::nullopt, revision, std::move(change)};
}

Plan plan_one(const PlanContext& context, const PutPolicy& put) {
  if (auto error = check_name("policy", put.name.value())) {
    return Plan{error, 0, std::nullopt};
  }
  if (put.source.empty() || put.source.size() > kMaxPolicyBytes) {
    return refused(core::ErrorKind::kInvalidArgument,
                   "Policy " + put.name.value() + " has " + std::to_string(put.source.size()) + " bytes.",
                   "Send a program of 1 to " + std::to_string(kMaxPolicyBytes) + " bytes.");
  }
  const Policy* current = find(context.configuration.policies, put.name);
  const Revision revision = current == nullptr ? 0 : current->revision;
  if (auto refusal = conflict(context, "Policy " + put.name.value(), revision)) {
    return *refusal;
  }
  if (current != nullptr && current->source == put.source) {
    return unchanged(revision);
  }
  Change change = next_change(context.configuration);
  change.policies.push_back(Policy{put.name, put.source, change.revision});
  return Plan{std::nullopt, revision, std::move(change)};
}

bool same_declaration(const Database& left, const Database& right) {
  return left.id == right.id && left.endpoint == right.endpoint && left.zone == right.zone &&
         left.connection_limit == right.connection_limit && left.slots == right.slots;
}

bool same_declaration(const Group& group, const PutGroup& put) {
  return group.policy == put.policy &&
         std::equal(
             group.databases.begin(), group.databases.end(), put.databases.begin(), put.databases.end(),
             [](const Database& left, const Database& right) { return same_declaration(left, right); });
}

/// The declared databases, each draining as it was.
std::vector<Database> keep_draining(std::vector<Database> declared, const Group* current) {
  for (Database& database : declared) {
    database.draining = false;
    if (current == nullptr) {
      continue;
    }
    for (const Database& before : current->databases) {
      if (before.id == database.id) {
        database.draining = before.draining;
      }
    }
  }
  return declared;
}

Plan plan_one(const PlanContext& context, const PutGroup& put) {
  if (auto error = check_name("group", put.name.value())) {
    return Plan{error, 0, std::nullopt};
  }
  const Group* current = find(context.configuration.groups, put.name);
  const Revision revision = current == nullptr ? 0 : current->revision;
  if (auto refusal = conflict(context, "Group " + put.name.value(), revision)) {
    return *refusal;
  }
  if (auto error = check_group(context.configuration, put)) {
    return Plan{error, revision, std::nullopt};
  }
  if (current != nullptr) {
    if (auto error = check_membership(*current, put, context.promoted_members)) {
      return Plan{error, revision, std::nullopt};
    }
    if (same_declaration(*current, put)) {
      return unchanged(revision);
    }
  }
  Change change = next_change(context.configuration);
  Group group = current == nullptr ? Group{} : *current;  // Keeps the history of terms.
  group.name = put.name;
  group.databases = keep_draining(put.databases, current);
  group.policy = put.policy;
  group.revision = change.revision;
  change.groups.push_back(std::move(group));
  return Plan{std::nullopt, revision, std::move(change)};
}

Plan plan_one(const PlanContext& context, const AdmitDaemon& admit) {
  if (auto error = check_name("daemon", admit.id.value())) {
    return Plan{error, 0, std::nullopt};
  }
  const Daemon* current = find(context.configuration.daemons, admit.id);
  if (current != nullptr && current->incarnation > admit.incarnation) {
    return refused(core::ErrorKind::kConflict,
                   "Daemon " + admit.id.value() + " has started again since as incarnation " +
                       std::to_string(current->incarnation) + ".",
                   "Stop the older process, or give each daemon its own node.id.", current->revision);
  }
  Change change = next_change(context.configuration);
  Daemon daemon{admit.id,        admit.incarnation, admit.zone,
                admit.internal,  admit.callers,     protocol::DaemonState::kLive,
                change.revision, change.revision};
  if (current != nullptr && current->state == protocol::DaemonState::kLive) {
    daemon.live_since = current->live_since;
  }
  if (current != nullptr && current->incarnation == admit.incarnation) {
    const bool same = current->zone == admit.zone && current->internal == admit.internal &&
                      current->callers == admit.callers;
    if (same) {
      return unchanged(current->revision);
    }
    daemon.state = current->state;
  }
  change.daemons.push_back(std::move(daemon));
  return Plan{std::nullopt, 0, std::move(change)};
}

Plan plan_one(const PlanContext& context, const SetDaemonState& set) {
  const Daemon* current = find(context.configuration.daemons, set.id);
  if (current == nullptr) {
    return refused(core::ErrorKind::kNotFound, "There is no daemon " + set.id.value() + ".",
                   "Name one of the daemons that GET /v1/status lists.");
  }
  if (set.incarnation != 0 && set.incarnation != current->incarnation) {
    return refused(core::ErrorKind::kConflict, "Daemon " + set.id.value() + " has started again since.",
                   "Read the status and decide again.", current->revision);
  }
  if (current->state == set.state) {
    return unchanged(current->revision);
  }
  Change change = next_change(context.configuration);
  Daemon daemon = *current;
  daemon.state = set.state;
  daemon.revision = change.revision;
  change.daemons.push_back(std::move(daemon));
  return Plan{std::nullopt, current->revision, std::move(change)};
}

Plan plan_one(const PlanContext& context, const RemoveDaemon& remove) {
  const Daemon* current = find(context.configuration.daemons, remove.id);
  if (current == nullptr || current->incarnation > remove.incarnation) {
    return unchanged(current == nullptr ? 0 : current->revision);
  }
  Change change = next_change(context.configuration);
  change.removed_daemons.push_back(remove.id);
  return Plan{std::nullopt, current->revision, std::move(change)};
}

Plan plan_one(const PlanContext& context, const SetDatabaseDraining& set) {
  for (const auto& [name, group] : context.configuration.groups) {
    Group revised = group;
    for (Database& database : revised.databases) {
      if (database.id != set.database) {
        continue;
      }
      if (database.draining == set.draining) {
        return unchanged(group.revision);
      }
      database.draining = set.draining;
      Change change = next_change(context.configuration);
      change.groups.push_back(std::move(revised));
      return Plan{std::nullopt, group.revision, std::move(change)};
    }
  }
  return refused(core::ErrorKind::kNotFound, "There is no database " + set.database.value() + ".",
                 "Name one of the databases that GET /v1/groups lists.");
}

Plan unknown_group(const core::GroupName& name) {
  return refused(core::ErrorKind::kNotFound, "There is no group " + name.value() + ".",
                 "Name one of the groups that GET /v1/groups lists.");
}

core::Term current_term(const Group& group) {
  return group.terms.empty() ? 0 : group.terms.back().term;
}

Plan term_conflict(const Group& group) {
  return refused(core::ErrorKind::kConflict,
                 "Group " + group.name.value() + " is at term " + std::to_string(current_term(group)) + ".",
                 "Start again from the current term.", group.revision);
}

bool change_in_progress(const Group& group) {
  return !group.terms.empty() && group.terms.back().primary.empty();
}

Plan plan_one(const PlanContext& context, const BeginPrimaryChange& begin) {
  const Group* group = find(context.configuration.groups, begin.group);
  if (group == nullptr) {
    return unknown_group(begin.group);
  }
  const bool begun = change_in_progress(*group) && current_term(*group) == begin.new_term;
  if (begun) {
    return unchanged(group->revision);
  }
  if (current_term(*group) != begin.expected_term || begin.new_term <= begin.expected_term) {
    return term_conflict(*group);
  }
  Change change = next_change(context.configuration);
  Group revised = *group;
  if (change_in_progress(revised)) {
    revised.terms.pop_back();  // Never completed, so no daemon has sent a write of that term.
  }
  revised.terms.push_back(TermStart{begin.new_term, {}, {}});
  if (revised.terms.size() > protocol::kMaxTermHistory) {
    revised.terms.erase(revised.terms.begin());
  }
  change.groups.push_back(std::move(revised));
  return Plan{std::nullopt, group->revision, std::move(change)};
}

Plan plan_one(const PlanContext& context, const CompletePrimaryChange& complete) {
  const Group* group = find(context.configuration.groups, complete.group);
  if (group == nullptr) {
    return unknown_group(complete.group);
  }
  if (current_term(*group) != complete.term || complete.term == 0) {
    return term_conflict(*group);
  }
  const TermStart& last = group->terms.back();
  if (last.primary == complete.primary && last.start == complete.start) {
    return unchanged(group->revision);
  }
  if (!last.primary.empty()) {
    return term_conflict(*group);
  }
  const bool member = std::any_of(group->databases.begin(), group->databases.end(),
                                  [&](const Database& database) { return database.id == complete.primary; });
  if (!member || complete.start.term >= complete.term) {
    return refused(core::ErrorKind::kInvalidArgument,
                   "Database " + complete.primary.value() + " can't be the primary of group " +
                       group->name.value() + " from that position.",
                   "Promote a database of the group at the term that was begun.", group->revision);
  }
  Change change = next_change(context.configuration);
  Group revised = *group;
  revised.terms.back() = TermStart{complete.term, complete.primary, complete.start};
  change.groups.push_back(std::move(revised));
  return Plan{std::nullopt, group->revision, std::move(change)};
}

Plan plan_one(const PlanContext& context, const RecordControl& record) {
  if (auto error = check_control_id(record.id)) {
    return Plan{error, 0, std::nullopt};
  }
  const Control* current = find(context.configuration.controls, record.id);
  if (current != nullptr && current->internal == record.internal && current->operators == record.operators) {
    return unchanged(current->revision);
  }
  Change change = next_change(context.configuration);
  const bool leaving = current != nullptr && current->leaving;
  change.controls.push_back(Control{record.id, record.internal, record.operators, leaving, change.revision});
  return Plan{std::nullopt, 0, std::move(change)};
}

Plan plan_one(const PlanContext& context, const SetControlLeaving& set) {
  const Control* current = find(context.configuration.controls, set.id);
  if (current == nullptr) {
    return refused(core::ErrorKind::kNotFound, "There is no control replica " + set.id.value() + ".",
                   "Name one of the replicas that GET /v1/status lists.");
  }
  if (current->leaving == set.leaving) {
    return unchanged(current->revision);
  }
  Change change = next_change(context.configuration);
  Control control = *current;
  control.leaving = set.leaving;
  control.revision = change.revision;
  change.controls.push_back(std::move(control));
  return Plan{std::nullopt, current->revision, std::move(change)};
}

Plan plan_one(const PlanContext& context, const RemoveControl& remove) {
  const Control* current = find(context.configuration.controls, remove.id);
  if (current == nullptr) {
    return unchanged(0);
  }
  Change change = next_change(context.configuration);
  change.removed_controls.push_back(remove.id);
  return Plan{std::nullopt, current->revision, std::move(change)};
}

/// Plans several changes of daemons against the same configuration, as one change.
class DaemonPlans {
 public:
  explicit DaemonPlans(const PlanContext& context) : context_(context) {}

  template <typename DaemonOperation>
  void add(const std::vector<DaemonOperation>& operations) {
    for (const DaemonOperation& operation : operations) {
      if (planned_.insert(operation.id).second) {
        merge(plan_one(context_, operation));
      }
    }
  }

  /// One change of all that was accepted. If nothing was, the first refusal.
  Plan take() { return change_ ? Plan{std::nullopt, 0, std::move(change_)} : Plan{error_, 0, std::nullopt}; }

 private:
  void merge(Plan plan) {
    if (plan.error) {
      error_ = error_ ? error_ : plan.error;
      return;
    }
    if (!plan.change) {
      return;
    }
    if (!change_) {
      change_ = next_change(context_.configuration);
    }
    std::move(plan.change->daemons.begin(), plan.change->daemons.end(), std::back_inserter(change_->daemons));
    std::move(plan.change->removed_daemons.begin(), plan.change->removed_daemons.end(),
              std::back_inserter(change_->removed_daemons));
  }

  const PlanContext& context_;
  std::set<core::DaemonId> planned_;
  std::optional<core::Error> error_;
  std::optional<Change> change_;
};

Plan plan_one(const PlanContext& context, const ChangeDaemons& changes) {
  DaemonPlans plans(context);
  plans.add(changes.admit);
  plans.add(changes.set_state);
  plans.add(changes.remove);
  return plans.take();
}

}  // namespace

Plan plan(const PlanContext& context, const Operation& operation) {
  return std::visit([&context](const auto& value) { return plan_one(context, value); }, operation);
}

}  // namespace pipitpond::configuration
