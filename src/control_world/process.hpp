// The process of a control machine: drives raft::Node as the daemon does (one message, one disk, one timer at
// a time), with simulated time for syncs.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "configuration/state_machine.hpp"
#include "control_world/fleet.hpp"
#include "control_world/messages.hpp"
#include "failover/daemon_leases.hpp"
#include "protocol/control_messages.hpp"
#include "raft/node.hpp"
#include "simulation/host.hpp"
#include "simulation/scheduler.hpp"
#include "storage/raft_storage.hpp"

namespace pipitpond::control_world {

/// Longest time of one sync of a healthy disk.
inline constexpr core::Duration kUsualSyncTime = std::chrono::milliseconds(5);

/// Where a process runs and as whom.
struct ProcessPlace {
  simulation::Host& host;
  const core::Endpoint& endpoint;
  std::string cluster;
  core::ControlId identity;
  const core::Duration& sync_time;  ///< Longest time of one sync, as it is at the moment.
  simulation::Action on_write;      ///< A sync begins.
};

class ControlProcess {
 public:
  ControlProcess(Fleet& fleet, ProcessPlace place, storage::RaftStorage storage);

  void start();
  /// Writes what a sync was to make durable, as far as the failing disk lets it.
  void write_unfinished();

  void receive(const raft::Message& message, const core::Endpoint& from);
  void change(const configuration::Command& command, AnswerChange answer);
  void read(AnswerRead answer);
  core::Result<void> change_membership(const raft::MembershipChange& change);
  void transfer_leadership();
  void heartbeat(const protocol::Heartbeat& heartbeat, const AnswerHeartbeat& answer);
  [[nodiscard]] protocol::FetchReply fetch(const protocol::FetchRequest& request) const;

  [[nodiscard]] const raft::Node& node() const { return node_; }
  [[nodiscard]] const configuration::StateMachine& machine() const { return machine_; }
  /// Leads, and has applied all that earlier leaders committed.
  [[nodiscard]] bool leading() const { return leading_; }

 private:
  struct Received {
    raft::Message message;
    core::Endpoint from;
  };
  struct Proposal {
    raft::Term term = 0;
    AnswerChange answer;
  };

  // Driving the node (process.cpp).
  void work();
  void note_role();
  void begin(raft::Ready ready);
  void finish(const raft::Ready& ready);
  void send(const std::vector<raft::Message>& messages);
  void apply(const raft::Entry& entry);
  void restore(const raft::Snapshot& snapshot);
  void answer_reads(const raft::Ready& ready);
  void compact_if_long();
  void set_timer();
  void ask_to_join();
  /// As control::Joiner does: the seeds, whom others have named, and who has called here.
  [[nodiscard]] std::set<core::Endpoint> whom_to_ask() const;
  [[nodiscard]] raft::Config make_config() const;

  // Leading and requests (process_requests.cpp).
  void note_leadership_loss();
  void note_leadership_gain();
  void finish_proposal(const raft::Entry& entry, const configuration::CommandResult& result);
  void finish_reads();
  void fail_pending();
  void on_configuration();
  void leader_tick();
  /// Keeps the configuration's list of control replicas like the membership, as control::LeaderDuties does.
  void align_controls();
  void propose_own(configuration::Operation operation);
  /// Answers a heartbeat once a majority has shown what is complete, or can't.
  void answer_when_complete(const protocol::HeartbeatReply& reply, const AnswerHeartbeat& answer);
  void answer_heartbeat_as_leader(const protocol::Heartbeat& heartbeat, protocol::HeartbeatReply& reply);
  configuration::Command as_proposed(configuration::Command command) const;
  configuration::Command as_applied(configuration::Command command) const;
  [[nodiscard]] std::optional<core::Endpoint> leader_endpoint() const;

  Fleet& fleet_;
  ProcessPlace place_;
  storage::RaftStorage storage_;
  raft::PersistedState initial_;
  raft::Node node_;
  configuration::StateMachine machine_;
  failover::DaemonLeases leases_;

  std::deque<Received> inbox_;  ///< Waits while a sync runs.
  std::map<core::ControlId, core::Endpoint> heard_at_;
  std::optional<raft::Ready> writing_;
  std::optional<core::Instant> timer_;
  bool leading_ = false;
  raft::Term told_term_ = 0;  ///< Last own leadership that the oracle knows of.
  raft::Index applied_ = 0;
  protocol::Revision told_revision_ = 0;
  raft::ReadToken next_read_ = 1;
  std::map<raft::Index, Proposal> proposals_;
  std::map<raft::ReadToken, AnswerRead> reads_;
  std::multimap<raft::Index, raft::ReadToken> confirmed_reads_;
};

}  // namespace pipitpond::control_world
