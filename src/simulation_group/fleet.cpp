#include "simulation_group/fleet.hpp"

#include <algorithm>
#include <string>

namespace pipitpond::simulation::group {
namespace {

constexpr std::size_t kDatabasesPerGroup = 3;
const std::vector<std::string> kZones = {"z1", "z2", "z3"};
constexpr core::Duration kMaxAhead = std::chrono::seconds(30);

std::string zone(std::size_t number) {
  return kZones[number % kZones.size()];
}

}  // namespace

Fleet::Fleet(Fabric& fabric, const FleetOptions& options) : fabric_(fabric), options_(options) {
  control_ = std::make_unique<ControlNode>(fabric_, drift());
  directory_.control = control_.get();
  for (const std::string& name : kZones) {
    control_->prepare(configuration::PutZone{core::ZoneName(name), core::RegionName("r")});
  }
  for (std::size_t number = 0; number < options_.groups; ++number) {
    add_group(number);
  }
  add_daemons();
  add_callers();
  if (options_.admitted) {
    admit_daemons();
  }
  control_->set_release_by_owners(options_.release_by_owners);
}

void Fleet::admit_daemons() {
  for (const DaemonNode& daemon : daemons_) {
    control_->prepare(daemon.admission());
  }
  for (DaemonNode& daemon : daemons_) {
    daemon.preset(control_->configuration());
  }
}

ClockDrift Fleet::drift() {
  ClockDrift drift;
  drift.ahead = fabric_.random.between({}, kMaxAhead);
  const auto span = 2 * static_cast<std::uint64_t>(options_.max_drift_ppm) + 1;
  drift.rate_ppm = static_cast<std::int32_t>(fabric_.random.below(span)) - options_.max_drift_ppm;
  return drift;
}

core::GroupName Fleet::group_name(std::size_t group) {
  return core::GroupName("g" + std::to_string(group));
}

void Fleet::add_group(std::size_t number) {
  configuration::PutGroup put;
  put.name = group_name(number);
  for (std::size_t member = 0; member < kDatabasesPerGroup; ++member) {
    standin::EngineOptions engine;
    engine.database =
        core::DatabaseId(put.name.value() + "-" + std::string(1, static_cast<char>('a' + member)));
    engine.group = put.name;
    engine.connection_limit = options_.connection_limit;
    engine.slots = options_.slots;
    engine.connection_cost = options_.connection_cost;
    engine.work = options_.work;
    engine.apply_lag = options_.apply_lag;
    engine.seed = fabric_.random.fork();
    // Keys are compared with the wall clock, which a real database keeps right; its boot clock drifts alone.
    DatabaseNode& node = databases_.emplace_back(fabric_, engine, drift());
    protocol::Database declared;
    declared.id = engine.database;
    declared.endpoint =
        core::Endpoint{"10.1." + std::to_string(number) + "." + std::to_string(member + 1), 1};
    declared.zone = core::ZoneName(zone(member));
    declared.connection_limit = engine.connection_limit;
    declared.slots = engine.slots;
    put.databases.push_back(declared);
    directory_.databases[engine.database] = &node;
    control_->add_database(node);
  }
  control_->prepare(put);
}

void Fleet::add_daemons() {
  for (std::size_t number = 0; number < options_.daemons; ++number) {
    const core::DaemonId id("d" + std::to_string(number));
    DaemonNode& node = daemons_.emplace_back(fabric_, directory_, id, core::ZoneName(zone(number)), drift());
    directory_.daemons[id] = &node;
  }
}

void Fleet::add_callers() {
  std::vector<DaemonNode*> daemons;
  for (DaemonNode& daemon : daemons_) {
    daemons.push_back(&daemon);
  }
  for (std::size_t group = 0; group < options_.groups; ++group) {
    for (std::uint32_t number = 0; number < options_.callers_per_group; ++number) {
      CallerOptions caller = options_.caller;
      caller.group = group_name(group);
      caller.name = caller.group.value() + "-c" + std::to_string(number);
      callers_.emplace_back(fabric_, caller, daemons, history_);
    }
  }
}

void Fleet::start() {
  for (std::size_t number = 0; number < databases_.size(); ++number) {
    databases_[number].set_peers(members(number / kDatabasesPerGroup));
    databases_[number].start();
  }
  control_->start();
  for (DaemonNode& daemon : daemons_) {
    daemon.start();
  }
}

void Fleet::start_callers() {
  for (CallerNode& caller : callers_) {
    caller.start();
  }
}

void Fleet::stop_callers() {
  for (CallerNode& caller : callers_) {
    caller.stop();
  }
}

void Fleet::heal() {
  fabric_.network.heal_all();
  fabric_.network.reset_links();
  for (DatabaseNode& database : databases_) {
    database.host().thaw();
    if (!database.host().up()) {
      database.start();
    }
    database.set_apply_lag(options_.apply_lag);
  }
  for (DaemonNode& daemon : daemons_) {
    daemon.host().thaw();
    if (!daemon.host().up()) {
      daemon.start();
    }
  }
}

std::vector<DatabaseNode*> Fleet::members(std::size_t group) {
  std::vector<DatabaseNode*> found;
  for (std::size_t member = 0; member < kDatabasesPerGroup; ++member) {
    found.push_back(&databases_[group * kDatabasesPerGroup + member]);
  }
  return found;
}

DatabaseNode* Fleet::primary(std::size_t group) {
  const auto current = protocol::current_primary(control_->configuration().groups.at(group_name(group)));
  return current ? directory_.databases.at(current->primary) : nullptr;
}

std::vector<DatabaseNode*> Fleet::replicas(std::size_t group) {
  std::vector<DatabaseNode*> found = members(group);
  std::erase(found, primary(group));
  return found;
}

bool Fleet::writes_landed_since(core::Instant moment) const {
  for (std::size_t group = 0; group < options_.groups; ++group) {
    const bool landed =
        std::any_of(history_.writes.begin(), history_.writes.end(), [&](const WriteRecord& write) {
          return write.group == group_name(group) && write.sent > moment &&
                 write.outcome == core::Outcome::kDone;
        });
    if (!landed) {
      return false;
    }
  }
  return true;
}

Evidence Fleet::evidence(core::Instant faults_ended) {
  Evidence evidence;
  evidence.history = &history_;
  evidence.faults_ended = faults_ended;
  for (std::size_t number = 0; number < options_.groups; ++number) {
    GroupEvidence group;
    group.group = group_name(number);
    group.primaries = control_->primaries(group.group);
    const std::vector<DatabaseNode*> all = members(number);
    DatabaseNode* last = primary(number);
    last = last != nullptr ? last : all.front();
    const standin::Engine& engine = last->engine();
    for (std::uint64_t index = 1; index <= engine.committed(); ++index) {
      group.log.push_back(engine.log().at(index));
    }
    for (const DatabaseNode* one : all) {
      group.copies.push_back({one->id().value(), {}});
      for (std::uint64_t index = 1; index <= one->engine().committed(); ++index) {
        group.copies.back().committed.push_back(one->engine().log().position(index));
      }
    }
    evidence.groups.push_back(std::move(group));
  }
  for (const DatabaseNode& database : databases_) {
    evidence.connections.push_back({database.id().value(), database.engine().counters().greatest_connections,
                                    options_.connection_limit, database.refused_connections()});
  }
  return evidence;
}

}  // namespace pipitpond::simulation::group
