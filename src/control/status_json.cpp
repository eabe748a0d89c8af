#include "control/status_json.hpp"

#include "control/operator_json.hpp"
#include "ownership/owner_table.hpp"

namespace pipitpond::control {
namespace {

using nlohmann::json;

json replica_json(const raft::Member& member, const Replica& replica, core::Instant now) {
  json out = {{"id", member.id},
              {"internal", member.internal},
              {"operators", member.operators},
              {"role", member.role == raft::MemberRole::kVoter ? "voter" : "learner"}};
  const bool self = member.id == replica.node().config().id;
  const auto contact = replica.node().last_contact(member.id);
  if (self) {
    out["last_contact_ms"] = 0;
  } else if (contact) {
    out["last_contact_ms"] = core::to_millis(now - *contact);
  } else {
    out["last_contact_ms"] = nullptr;
  }
  const auto& controls = replica.machine().configuration().controls;
  const auto recorded = controls.find(member.id);
  out["leaving"] = recorded != controls.end() && recorded->second.leaving;
  return out;
}

json group_json(const ownership::OwnerTable& owners, const protocol::Group& group) {
  const auto primary = protocol::current_primary(group);
  json databases = json::array();
  for (const protocol::Database& database : group.databases) {
    databases.push_back({{"id", database.id},
                         {"zone", database.zone},
                         {"endpoint", database.endpoint},
                         {"draining", database.draining},
                         {"departed", database.departed},
                         {"born", database.born},
                         {"log_unproven", database.log_unproven},
                         {"primary", primary && primary->primary == database.id},
                         {"owners", owners.owners(database.id)}});
  }
  return {{"name", group.name},
          {"revision", group.revision},
          {"term", group.terms.empty() ? 0 : group.terms.back().term},
          {"primary", primary ? json(primary->primary) : json(nullptr)},
          {"databases", std::move(databases)}};
}

json daemon_json(const protocol::Daemon& daemon, const LeaderDuties& duties, core::Instant now) {
  json out = to_json(daemon);
  const auto found = duties.reports().find(daemon.id);
  if (found == duties.reports().end()) {
    out["revision"] = nullptr;  // No heartbeat since this replica became the leader.
    return out;
  }
  const DaemonReport& report = found->second;
  json suspicions = json::array();
  for (const protocol::SuspicionReport& suspicion : report.suspicions) {
    suspicions.push_back({{"database", suspicion.database},
                          {"suspicion", to_string(suspicion.suspicion)},
                          {"lasted_ms", suspicion.lasted_ms}});
  }
  out["revision"] = report.applied;
  out["settled"] = report.settled;
  out["heard_ms"] = core::to_millis(now - report.heard);
  out["suspicions"] = std::move(suspicions);
  return out;
}

}  // namespace

json status_json(const Replica& replica, const LeaderDuties& duties, core::Instant now) {
  const protocol::Configuration& configuration = replica.machine().configuration();
  json replicas = json::array();
  for (const raft::Member& member : replica.node().membership().members) {
    replicas.push_back(replica_json(member, replica, now));
  }
  json groups = json::array();
  for (const auto& [name, group] : configuration.groups) {
    groups.push_back(group_json(duties.owner_table(), group));
  }
  json daemons = json::array();
  for (const auto& [id, daemon] : configuration.daemons) {
    daemons.push_back(daemon_json(daemon, duties, now));
  }
  return {{"leader", replica.node().config().id},
          {"term", replica.node().term()},
          {"commit_index", replica.node().commit_index()},
          {"revision", configuration.revision},
          {"settled_everywhere", duties.settled_everywhere()},
          {"replicas", std::move(replicas)},
          {"groups", std::move(groups)},
          {"daemons", std::move(daemons)}};
}

}  // namespace pipitpond::control
