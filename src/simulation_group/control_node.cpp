#include "simulation_group/control_node.hpp"

#include <algorithm>
#include <utility>
#include <variant>

#include "configuration/command.hpp"
#include "ownership/ownership.hpp"
#include "protocol/tunables.hpp"

namespace pipitpond::simulation::group {
namespace {

constexpr core::Duration kCommitMin = std::chrono::milliseconds(1);
constexpr core::Duration kCommitMax = std::chrono::milliseconds(12);
constexpr core::Duration kDatabaseTimeout = std::chrono::milliseconds(250);
/// A command of a lost leadership is still committed by the next leader in this many of 1000 cases.
constexpr std::uint32_t kCommittedLater = 500;
/// A command that was proposed is committed twice, as when its sender resends it, in this many of 1000 cases.
constexpr std::uint32_t kRepeatedCommand = 50;

}  // namespace

ControlNode::ControlNode(Fabric& fabric, ClockDrift drift)
    : fabric_(fabric),
      host_(fabric.scheduler, "control", drift),
      coordinator_(std::make_unique<failover::Coordinator>()) {}

void ControlNode::add_database(DatabaseNode& database) {
  databases_[database.id()] = &database;
}

void ControlNode::prepare(const configuration::Operation& operation) {
  configuration::Command command;
  command.operation = operation;
  machine_.apply(++log_index_, command);
}

void ControlNode::start() {
  host_.start();
  lead();
  tick();
}

void ControlNode::lead() {
  leading_ = true;
  ++leadership_;
  in_progress_.clear();
  coordinator_ = std::make_unique<failover::Coordinator>();
  leases_ = failover::DaemonLeases();
  const core::Instant now = host_.now();
  leases_.on_configuration(now, configuration());
  coordinator_->on_configuration(now, configuration());
  leases_.on_leadership(now, true);
  coordinator_->on_leadership(now, true);
  carry_out_effects();
}

void ControlNode::change_leader(core::Duration gap) {
  if (!leading_) {
    return;
  }
  fabric_.trace.line("control", "loses its leadership");
  leading_ = false;
  host_.after(gap, [this] { lead(); });
}

void ControlNode::tick() {
  host_.after(failover::kTickInterval, [this] { tick(); });
  if (!leading_) {
    return;
  }
  const core::Instant now = host_.now();
  coordinator_->tick(now);
  for (const failover::RemovableDaemon& lost : leases_.removable(now)) {
    coordinator_->on_daemon_removed(now, lost.daemon);
    propose("daemon " + lost.daemon.value(), configuration::RemoveDaemon{lost.daemon, lost.incarnation});
  }
  carry_out_effects();
  send_released_fences();
}

// --- Daemons -----------------------------------------------------------------------------------------------

protocol::HeartbeatReply ControlNode::on_heartbeat(const protocol::Heartbeat& heartbeat) {
  protocol::HeartbeatReply reply;
  reply.sequence = heartbeat.sequence;
  const auto known = configuration().daemons.find(heartbeat.daemon);
  const bool outdated =
      known != configuration().daemons.end() && known->second.incarnation > heartbeat.incarnation;
  if (!leading_ || outdated) {
    return reply;
  }
  admit(heartbeat);
  heard_[heartbeat.daemon] = host_.now();
  reply = leases_.on_heartbeat(host_.now(), heartbeat, true);
  coordinator_->on_suspicions(host_.now(), heartbeat.daemon, heartbeat.suspicions);
  drain_leaving_databases(heartbeat);
  carry_out_effects();
  return reply;
}

void ControlNode::admit(const protocol::Heartbeat& heartbeat) {
  if (!leases_.needs_admission(heartbeat)) {
    return;
  }
  const protocol::Daemon wanted = failover::DaemonLeases::daemon_from_heartbeat(heartbeat);
  propose("daemon " + wanted.id.value(),
          configuration::AdmitDaemon{wanted.id, wanted.incarnation, wanted.zone, wanted.internal,
                                     wanted.callers});
}

void ControlNode::drain_leaving_databases(const protocol::Heartbeat& heartbeat) {
  for (const protocol::SuspicionReport& report : heartbeat.suspicions) {
    const protocol::Database* database = protocol::find_database(configuration(), report.database);
    const bool leaving = report.suspicion == protocol::Suspicion::kLeaving;
    if (leaving && database != nullptr && !database->draining) {
      propose("database " + report.database.value(),
              configuration::SetDatabaseDraining{report.database, true});
    }
  }
}

protocol::FetchReply ControlNode::on_fetch(const protocol::FetchRequest& request) {
  return machine_.changes_after(request.after);
}

void ControlNode::set_notify(const core::DaemonId& daemon, Host& host, Notify notify) {
  listeners_[daemon] = Listener{&host, std::move(notify)};
}

// --- Commands ----------------------------------------------------------------------------------------------

void ControlNode::propose(const std::string& subject, configuration::Operation operation) {
  if (!in_progress_.insert(subject).second) {
    return;
  }
  configuration::Command command;
  command.operation = std::move(operation);
  const std::uint64_t leadership = leadership_;
  const bool survives = fabric_.random.chance(kCommittedLater);
  const bool twice = fabric_.random.chance(kRepeatedCommand);
  host_.after(fabric_.random.between(kCommitMin, kCommitMax), [=, this] {
    const bool still_leads = leading_ && leadership == leadership_;
    if (still_leads) {
      in_progress_.erase(subject);
    }
    if (still_leads || survives) {
      commit(command);
    }
    if (twice) {
      commit(command);
    }
  });
}

void ControlNode::commit(const configuration::Command& command) {
  const protocol::Revision before = configuration().revision;
  machine_.apply(++log_index_, command);
  if (configuration().revision == before) {
    return;
  }
  note_primaries();
  if (const auto* begin = std::get_if<configuration::BeginPrimaryChange>(&command.operation)) {
    begun_at_[begin->group] = configuration().revision;
  }
  if (leading_) {
    leases_.on_configuration(host_.now(), configuration());
    coordinator_->on_configuration(host_.now(), configuration());
    carry_out_effects();
  }
  for (auto& [daemon, listener] : listeners_) {
    fabric_.network.send(
        host_, *listener.host,
        [notify = listener.notify, revision = configuration().revision] { notify(revision); });
  }
}

void ControlNode::note_primaries() {
  for (const auto& [name, group] : configuration().groups) {
    const auto current = protocol::current_primary(group);
    if (current && !primaries_[name].contains(current->term)) {
      primaries_[name][current->term] = fabric_.scheduler.now();
      fabric_.trace.line("control", "{} leads {} in term {}", current->primary.value(), name.value(),
                         current->term);
    }
  }
}

// --- Databases ---------------------------------------------------------------------------------------------

void ControlNode::carry_out_effects() {
  for (const failover::Effect& effect : coordinator_->take_effects()) {
    std::visit([this](const auto& one) { carry_out(one); }, effect);
  }
}

void ControlNode::ask(DatabaseNode& database, standin::Request request,
                      std::function<void(const CallEnd<standin::Response>&)> done) {
  call<standin::Response>(
      fabric_, host_, database.host(), kDatabaseTimeout,
      [&database, request = std::move(request)](const DatabaseNode::Reply& reply) {
        database.handle(0, request, reply);
      },
      std::move(done));
}

std::function<void(const CallEnd<standin::Response>&)> ControlNode::in_this_leadership(
    std::function<void(const CallEnd<standin::Response>&)> action) {
  return [this, leadership = leadership_, action = std::move(action)](const auto& end) {
    if (leading_ && leadership == leadership_) {
      action(end);
      carry_out_effects();
    }
  };
}

void ControlNode::carry_out(const failover::ProbeDatabase& effect) {
  ask(*databases_.at(effect.database), standin::StatusRequest{},
      in_this_leadership([this, id = effect.database](const CallEnd<standin::Response>& end) {
        if (end.answer) {
          coordinator_->on_probe_answer(host_.now(), std::get<database::StatusAnswer>(*end.answer));
        } else {
          coordinator_->on_probe_failed(host_.now(), id);
        }
      }));
}

void ControlNode::carry_out(const failover::FenceDatabase& effect) {
  if (release_by_owners_ && !released(effect.group)) {
    waiting_fences_[effect.database] = effect;
  } else if (fabric_.switches.on(Mechanism::kFencing)) {
    fence(effect);
  } else {
    pretend_fence(effect);
  }
}

void ControlNode::on_release(const core::DaemonId& daemon, protocol::Revision revision) {
  protocol::Revision& known = releases_[daemon];
  known = std::max(known, revision);
  send_released_fences();
}

bool ControlNode::released(const core::GroupName& group) const {
  const auto begun = begun_at_.find(group);
  if (begun == begun_at_.end()) {
    return true;
  }
  const protocol::Group& declared = configuration().groups.at(group);
  for (const core::DaemonId& owner : ownership::owners(configuration(), declared.databases.front().id)) {
    const auto release = releases_.find(owner);
    const bool has_released = release != releases_.end() && release->second >= begun->second;
    const auto heard = heard_.find(owner);
    const bool lease_over = heard == heard_.end() || host_.now() - heard->second >=
                                                         protocol::kDaemonLease + protocol::kLeaseClockMargin;
    if (!has_released && !lease_over) {
      return false;
    }
  }
  return true;
}

void ControlNode::send_released_fences() {
  for (auto waiting = waiting_fences_.begin(); waiting != waiting_fences_.end();) {
    if (released(waiting->second.group)) {
      fence(waiting->second);
      waiting = waiting_fences_.erase(waiting);
    } else {
      ++waiting;
    }
  }
}

void ControlNode::fence(const failover::FenceDatabase& effect) {
  ask(*databases_.at(effect.database), database::FenceRequest{effect.term},
      in_this_leadership([this, effect](const auto& end) { on_fence_end(effect, end); }));
}

/// Without the mechanism control looks where the databases are, but has nothing promised.
void ControlNode::pretend_fence(const failover::FenceDatabase& effect) {
  const auto done = [this, effect](const CallEnd<standin::Response>& end) {
    if (!end.answer) {
      coordinator_->on_fence_failed(host_.now(), effect.group, effect.database, effect.term);
      return;
    }
    const auto status = std::get<database::StatusAnswer>(*end.answer);
    coordinator_->on_fence_answer(
        host_.now(), effect,
        database::FenceAnswer{effect.database, effect.term, status.received, status.leaving});
  };
  ask(*databases_.at(effect.database), standin::StatusRequest{}, in_this_leadership(done));
}

void ControlNode::on_fence_end(const failover::FenceDatabase& effect, const CallEnd<standin::Response>& end) {
  const core::Instant now = host_.now();
  if (!end.answer) {
    coordinator_->on_fence_failed(now, effect.group, effect.database, effect.term);
    return;
  }
  if (const auto* error = std::get_if<database::DatabaseError>(&*end.answer)) {
    if (error->term > effect.term) {
      coordinator_->on_refused(now, effect.group, effect.database, effect.term, error->term);
    } else {
      coordinator_->on_fence_failed(now, effect.group, effect.database, effect.term);
    }
    return;
  }
  auto answer = std::get<database::FenceAnswer>(*end.answer);
  if (!fabric_.switches.on(Mechanism::kGreatestPosition)) {
    answer.received = {};
  }
  coordinator_->on_fence_answer(now, effect, answer);
}

void ControlNode::carry_out(const failover::PromoteDatabase& effect) {
  if (fabric_.switches.on(Mechanism::kFencing)) {
    promote(effect);
    return;
  }
  ask(*databases_.at(effect.database), database::FenceRequest{effect.term},
      in_this_leadership([this, effect](const auto&) { promote(effect); }));
}

void ControlNode::promote(const failover::PromoteDatabase& effect) {
  ask(*databases_.at(effect.database), database::PromoteRequest{effect.term, effect.members},
      in_this_leadership([this, effect](const auto& end) { on_promote_end(effect, end); }));
}

void ControlNode::on_promote_end(const failover::PromoteDatabase& effect,
                                 const CallEnd<standin::Response>& end) {
  const core::Instant now = host_.now();
  if (!end.answer) {
    coordinator_->on_promote_failed(now, effect.group, effect.database, effect.term);
  } else if (const auto* error = std::get_if<database::DatabaseError>(&*end.answer)) {
    if (error->term > effect.term) {
      coordinator_->on_refused(now, effect.group, effect.database, effect.term, error->term);
    } else {
      coordinator_->on_promote_failed(now, effect.group, effect.database, effect.term);
    }
  } else {
    coordinator_->on_promote_answer(now, effect.group, std::get<database::PromoteAnswer>(*end.answer));
  }
}

void ControlNode::carry_out(const failover::ProposeBeginPrimaryChange& effect) {
  propose("begin " + effect.group.value(),
          configuration::BeginPrimaryChange{effect.group, effect.expected_term, effect.new_term});
}

void ControlNode::carry_out(const failover::ProposeCompletePrimaryChange& effect) {
  propose("complete " + effect.group.value(),
          configuration::CompletePrimaryChange{effect.group, effect.term, effect.primary, effect.start});
}

}  // namespace pipitpond::simulation::group
