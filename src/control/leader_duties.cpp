#include "control/leader_duties.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>
#include <variant>

#include "logging/logging.hpp"
#include "ownership/ownership.hpp"

namespace pipitpond::control {
namespace {

constexpr core::Duration kProposalTimeout = std::chrono::seconds(2);
constexpr core::Duration kLeadershipTransferInterval = std::chrono::seconds(1);
/// Time before a rejected command is proposed again: each proposal costs every replica a disk sync.
constexpr core::Duration kRejectionBackoff = std::chrono::milliseconds(200);

}  // namespace

LeaderDuties::LeaderDuties(boost::asio::io_context& io, Replica& replica, core::Duration daemon_lease,
                           const MakeDatabaseCalls& make_calls)
    : io_(io),
      timer_(io),
      replica_(replica),
      leases_(daemon_lease),
      coordinator_([this](core::Instant now, protocol::Revision revision) {
        return leases_.applied_or_lease_expired(now, revision);
      }),
      calls_(make_calls(make_callbacks())),
      daemon_changes_(io, [this](configuration::ChangeDaemons changes) {
        return propose_daemon_changes(std::move(changes));
      }) {}

void LeaderDuties::start() {
  running_ = true;
  schedule_tick();
}

void LeaderDuties::stop() {
  running_ = false;
  timer_.cancel();
}

DatabaseCallCallbacks LeaderDuties::make_callbacks() {
  using core::BootClock;
  DatabaseCallCallbacks callbacks;
  callbacks.status = [this](const database::StatusAnswer& status) {
    coordinator_.on_probe_answer(BootClock::now(), status);
    execute_effects();
  };
  callbacks.status_failed = [this](const core::DatabaseId& id) {
    coordinator_.on_probe_failed(BootClock::now(), id);
    execute_effects();
  };
  callbacks.fenced = [this](const failover::FenceDatabase& call, const database::FenceAnswer& answer) {
    coordinator_.on_fence_answer(BootClock::now(), call, answer);
    execute_effects();
  };
  callbacks.fence_failed = [this](const failover::FenceDatabase& call) {
    coordinator_.on_fence_failed(BootClock::now(), call.group, call.database, call.term);
    execute_effects();
  };
  callbacks.promoted = [this](const failover::PromoteDatabase& call, const database::PromoteAnswer& answer) {
    coordinator_.on_promote_answer(BootClock::now(), call.group, answer);
    execute_effects();
  };
  callbacks.promote_failed = [this](const failover::PromoteDatabase& call) {
    coordinator_.on_promote_failed(BootClock::now(), call.group, call.database, call.term);
    execute_effects();
  };
  callbacks.promote_without_effect = [this](const failover::PromoteDatabase& call) {
    coordinator_.on_promote_without_effect(BootClock::now(), call.group, call.database, call.term);
    execute_effects();
  };
  callbacks.refused = [this](const core::GroupName& group, const core::DatabaseId& id, core::Term asked,
                             core::Term newer) {
    coordinator_.on_refused(BootClock::now(), group, id, asked, newer);
    execute_effects();
  };
  return callbacks;
}

void LeaderDuties::on_leadership(bool leading) {
  const core::Instant now = core::BootClock::now();
  leading_ = leading;
  reports_.clear();
  daemon_changes_.drop_queued();
  if (leading) {
    const protocol::Configuration& configuration = replica_.machine().configuration();
    leases_.on_configuration(now, configuration);
    coordinator_.on_configuration(now, configuration);
  }
  leases_.on_leadership(now, leading);
  coordinator_.on_leadership(now, leading);
  execute_effects();
}

void LeaderDuties::on_configuration(const protocol::Configuration& configuration) {
  const core::Instant now = core::BootClock::now();
  leases_.on_configuration(now, configuration);
  if (leading_) {
    coordinator_.on_configuration(now, configuration);  // Followers load it when they become the leader.
  }
  std::erase_if(reports_, [&](const auto& report) { return !configuration.daemons.contains(report.first); });
  execute_effects();
}

protocol::HeartbeatReply LeaderDuties::on_heartbeat(const protocol::Heartbeat& heartbeat) {
  const core::Instant now = core::BootClock::now();
  const protocol::Configuration& configuration = replica_.machine().configuration();
  const auto known = configuration.daemons.find(heartbeat.daemon);
  const bool outdated =
      known != configuration.daemons.end() && known->second.incarnation > heartbeat.incarnation;
  if (outdated) {
    protocol::HeartbeatReply refused;
    refused.sequence = heartbeat.sequence;
    // Without a quorum, a newer leader may have committed a newer revision.
    refused.current = replica_.node().has_quorum(now) ? configuration.revision : 0;
    refused.known_incarnation = known->second.incarnation;
    return refused;
  }
  admit(heartbeat);
  reports_[heartbeat.daemon] =
      DaemonReport{heartbeat.incarnation, heartbeat.applied, heartbeat.settled, now, heartbeat.suspicions};
  auto reply = leases_.on_heartbeat(now, heartbeat, replica_.node().has_quorum(now));
  coordinator_.on_suspicions(now, heartbeat.daemon, heartbeat.suspicions);
  drain_leaving_databases(heartbeat);
  execute_effects();
  return reply;
}

void LeaderDuties::admit(const protocol::Heartbeat& heartbeat) {
  if (!leases_.needs_admission(heartbeat)) {
    return;
  }
  const protocol::Daemon wanted = failover::DaemonLeases::daemon_from_heartbeat(heartbeat);
  const auto& daemons = replica_.machine().configuration().daemons;
  const auto known = daemons.find(wanted.id);
  const bool admitted = known != daemons.end() && known->second.incarnation == wanted.incarnation &&
                        known->second.zone == wanted.zone && known->second.internal == wanted.internal &&
                        known->second.callers == wanted.callers;
  if (!admitted) {
    daemon_changes_.add(configuration::AdmitDaemon{wanted.id, wanted.incarnation, wanted.zone,
                                                   wanted.internal, wanted.callers});
  } else if (wanted.state == protocol::DaemonState::kLeaving) {
    daemon_changes_.add(configuration::SetDaemonState{wanted.id, wanted.incarnation, wanted.state});
  }
}

void LeaderDuties::drain_leaving_databases(const protocol::Heartbeat& heartbeat) {
  for (const protocol::SuspicionReport& report : heartbeat.suspicions) {
    if (report.suspicion != protocol::Suspicion::kLeaving) {
      continue;
    }
    const protocol::Database* database =
        protocol::find_database(replica_.machine().configuration(), report.database);
    if (database != nullptr && !database->draining) {
      propose("database " + report.database.value(),
              configuration::SetDatabaseDraining{report.database, true});
    }
  }
}

boost::asio::awaitable<core::Result<void>> LeaderDuties::on_departure(protocol::Departure departure) {
  const core::Instant now = core::BootClock::now();
  leases_.on_departure(now, departure);
  coordinator_.on_daemon_removed(now, departure.daemon);
  const configuration::RemoveDaemon removal{departure.daemon, departure.incarnation};
  auto removed = co_await daemon_changes_.remove(removal, kProposalTimeout);
  co_return removed;
}

boost::asio::awaitable<core::Result<configuration::CommandResult>> LeaderDuties::propose_daemon_changes(
    configuration::ChangeDaemons changes) {
  configuration::Command command;
  command.operation = std::move(changes);
  auto result = co_await replica_.propose(std::move(command), kProposalTimeout);
  co_return result;
}

boost::asio::awaitable<configuration::EndpointAnswer> LeaderDuties::identify(
    const configuration::RegisterDatabase& registration) {
  const protocol::Database& database = registration.database;
  return calls_->identify(failover::ProbeDatabase{database.id, database.endpoint, registration.group});
}

void LeaderDuties::propose(const std::string& subject, configuration::Operation operation) {
  if (!proposals_in_progress_.emplace(subject, true).second) {
    return;
  }
  configuration::Command command;
  command.operation = std::move(operation);
  boost::asio::co_spawn(io_, run_proposal(subject, std::move(command)), boost::asio::detached);
}

boost::asio::awaitable<void> LeaderDuties::run_proposal(std::string subject, configuration::Command command) {
  const auto result = co_await replica_.propose(std::move(command), kProposalTimeout);
  if (result && result.value().error) {
    boost::system::error_code ignored;
    boost::asio::steady_timer backoff(io_, kRejectionBackoff);
    co_await backoff.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
  }
  proposals_in_progress_.erase(subject);
}

void LeaderDuties::schedule_tick() {
  timer_.expires_after(failover::kTickInterval);
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error && running_) {
      tick();
    }
  });
}

void LeaderDuties::tick() {
  schedule_tick();
  if (!leading_) {
    return;
  }
  const core::Instant now = core::BootClock::now();
  coordinator_.tick(now);
  remove_lost_daemons(now);
  reconcile_control_records();
  transfer_leadership_when_leaving(now);
  execute_effects();
}

void LeaderDuties::remove_lost_daemons(core::Instant now) {
  // Safe even if another leader has been elected unnoticed: this proposal can't be committed then.
  for (const failover::RemovableDaemon& lost : leases_.removable(now)) {
    const bool asked = daemon_changes_.add(configuration::RemoveDaemon{lost.daemon, lost.incarnation});
    if (asked) {
      coordinator_.on_daemon_removed(now, lost.daemon);
    }
  }
}

void LeaderDuties::reconcile_control_records() {
  const auto& controls = replica_.machine().configuration().controls;
  const raft::Membership& membership = replica_.node().membership();
  for (const raft::Member& member : membership.members) {
    const auto known = controls.find(member.id);
    const bool recorded = known != controls.end() && known->second.internal == member.internal &&
                          known->second.operators == member.operators;
    if (!recorded) {
      propose("control " + member.id.value(),
              configuration::RecordControl{member.id, member.internal, member.operators});
    }
  }
  for (const auto& [id, control] : controls) {
    if (membership.find(id) == nullptr) {
      propose("control " + id.value(), configuration::RemoveControl{id});
    }
  }
}

void LeaderDuties::transfer_leadership_when_leaving(core::Instant now) {
  const auto& controls = replica_.machine().configuration().controls;
  const auto self = controls.find(replica_.node().config().id);
  if (self == controls.end() || !self->second.leaving || now < next_transfer_at_) {
    return;
  }
  next_transfer_at_ = now + kLeadershipTransferInterval;
  (void)replica_.transfer_leadership();
}

void LeaderDuties::execute_effects() {
  for (const failover::Effect& effect : coordinator_.take_effects()) {
    execute(effect);
  }
}

void LeaderDuties::log_change(const failover::Effect& effect) const {
  const auto log = logging::logger("failover");
  if (const auto* promote = std::get_if<failover::PromoteDatabase>(&effect)) {
    log->info("group={} term={} event=promote database={}", promote->group.value(), promote->term,
              promote->database.value());
  } else if (const auto* demote = std::get_if<failover::DemoteDatabase>(&effect)) {
    log->info("group={} term={} event=demote database={}", demote->group.value(), demote->term,
              demote->database.value());
  } else if (const auto* begin = std::get_if<failover::ProposeBeginPrimaryChange>(&effect)) {
    log->info("group={} term={} event=begin_change replaces_term={}", begin->group.value(), begin->new_term,
              begin->expected_term);
  } else if (const auto* complete = std::get_if<failover::ProposeCompletePrimaryChange>(&effect)) {
    log->info("group={} term={} event=complete_change primary={} start={}.{}", complete->group.value(),
              complete->term, complete->primary.value(), complete->start.term, complete->start.index);
  } else if (const auto* adopt = std::get_if<failover::ProposeAdoptPrimary>(&effect)) {
    log->info("group={} term={} event=adopt_primary primary={}", adopt->group.value(), adopt->term,
              adopt->primary.value());
  } else if (const auto* remove = std::get_if<failover::ProposeRemoveDatabase>(&effect)) {
    log->info("event=remove_database database={} born={}", remove->database.value(), remove->born);
  } else if (const auto* prove = std::get_if<failover::ProposeProveDatabaseLog>(&effect)) {
    log->info("event=log_proven database={} born={}", prove->database.value(), prove->born);
  }
}

void LeaderDuties::execute(const failover::Effect& effect) {
  log_change(effect);
  if (const auto* probe = std::get_if<failover::ProbeDatabase>(&effect)) {
    calls_->probe(*probe);
  } else if (const auto* fence = std::get_if<failover::FenceDatabase>(&effect)) {
    calls_->fence(*fence);
  } else if (const auto* promote = std::get_if<failover::PromoteDatabase>(&effect)) {
    calls_->promote(*promote);
  } else if (const auto* demote = std::get_if<failover::DemoteDatabase>(&effect)) {
    calls_->demote(*demote);
  } else if (const auto* begin = std::get_if<failover::ProposeBeginPrimaryChange>(&effect)) {
    propose("begin " + begin->group.value(),
            configuration::BeginPrimaryChange{begin->group, begin->expected_term, begin->new_term});
  } else if (const auto* complete = std::get_if<failover::ProposeCompletePrimaryChange>(&effect)) {
    propose("complete " + complete->group.value(),
            configuration::CompletePrimaryChange{complete->group, complete->term, complete->primary,
                                                 complete->start});
  } else if (const auto* adopt = std::get_if<failover::ProposeAdoptPrimary>(&effect)) {
    propose("adopt " + adopt->group.value(),
            configuration::AdoptPrimary{adopt->group, adopt->term, adopt->primary});
  } else if (const auto* remove = std::get_if<failover::ProposeRemoveDatabase>(&effect)) {
    propose("database " + remove->database.value(),
            configuration::RemoveDatabase{remove->database, remove->born});
  } else if (const auto* prove = std::get_if<failover::ProposeProveDatabaseLog>(&effect)) {
    propose("log of " + prove->database.value(),
            configuration::ProveDatabaseLog{prove->database, prove->born});
  }
}

}  // namespace pipitpond::control
