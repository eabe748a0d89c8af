// Drives one raft::Node and the configuration's state machine: disk, timers, messages. Single-threaded.
//
// Everything that arrives within one turn of the io_context is handed to the node before its work is taken,
// so that many commands and answers share one sync.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>

#include "configuration/state_machine.hpp"
#include "control/one_shot.hpp"
#include "core/clock.hpp"
#include "core/error.hpp"
#include "core/ids.hpp"
#include "raft/node.hpp"

namespace pipitpond::control {

/// Makes what a Ready asks for durable. Fails with kNoCapacity when the disk is full: the same Ready is given
/// again later. After any other error the replica must not go on.
using PersistReady = std::function<core::Result<void>(const raft::Ready&)>;
/// Sends a message to another replica; may lose it.
using SendMessage = std::function<void(raft::Message)>;

/// What the replica tells the rest of the daemon.
struct ReplicaEvents {
  /// After commands were applied that changed the configuration, or a snapshot was loaded.
  std::function<void(const protocol::Configuration&)> configuration_changed;
  /// True: this replica leads and has applied all that earlier leaders committed. False: it no longer leads;
  /// told before anything that a later leader committed is applied.
  std::function<void(bool leading)> leadership_changed;
  /// The disk failed: end the process.
  std::function<void(const core::Error&)> failed;
};

/// One control replica.
class Replica {
 public:
  Replica(boost::asio::io_context& io, raft::Config config, raft::PersistedState persisted,
          std::uint64_t seed, PersistReady persist, SendMessage send, ReplicaEvents events);
  Replica(const Replica&) = delete;
  Replica& operator=(const Replica&) = delete;

  /// Begins the timers.
  void start();
  /// Ends them; waiting calls are answered with kUnavailable.
  void stop();

  /// A message from another replica.
  void receive(raft::Message message);

  /// Proposes a command and waits until it is applied. Fails with kNotLeader, kLeaving or kOverloaded (it
  /// will not be applied) or with kTimeout (it may be: resend it with its key).
  boost::asio::awaitable<core::Result<configuration::CommandResult>> propose(configuration::Command command,
                                                                             core::Duration timeout);
  /// Waits until what is applied here is at least what was committed anywhere when this was called. Fails
  /// with kNotLeader or kTimeout; then nothing may be served as current.
  boost::asio::awaitable<core::Result<void>> read_barrier(core::Duration timeout);
  /// Changes the membership by one; returns once it was accepted by the leader's log.
  core::Result<void> change_membership(const raft::MembershipChange& change);
  /// Begins to hand over leadership.
  core::Result<void> transfer_leadership();

  /// Leads, and has applied all that earlier leaders committed.
  [[nodiscard]] bool leading() const { return leading_; }
  [[nodiscard]] const raft::Node& node() const { return node_; }
  [[nodiscard]] const configuration::StateMachine& machine() const { return machine_; }
  /// The disk is full: this replica neither votes, leads nor takes anything up until there is room.
  [[nodiscard]] bool without_room() const { return waiting_for_room_.has_value(); }
  /// Syncs since start, for metrics.
  [[nodiscard]] std::uint64_t syncs() const { return syncs_; }

 private:
  using ProposalDone = OneShot<core::Result<configuration::CommandResult>>;
  using ReadDone = OneShot<core::Result<void>>;

  struct Proposal {
    raft::Term term = 0;
    std::shared_ptr<ProposalDone> done;
  };

  void schedule_work();
  void work();
  /// False when the replica can't go on now.
  bool carry_out(raft::Ready ready);
  bool persist(const raft::Ready& ready);
  void wait_for_room(raft::Ready ready, const core::Error& error);
  /// True when what waited for room is durable and carried out, or nothing waits.
  bool carry_out_what_waited();
  void apply(const raft::Entry& entry);
  void restore(const raft::Snapshot& snapshot);
  void note_leadership_loss();
  void note_leadership_gain();
  void note_candidacy();
  void finish_proposal(const raft::Entry& entry, const configuration::CommandResult& result);
  void finish_confirmed_reads();
  void finish_read(raft::ReadToken token, core::Result<void> result);
  void fail_pending(const core::Error& error);
  void compact_if_long();
  void set_timer();
  void set_timer(core::Duration left);

  boost::asio::io_context& io_;
  boost::asio::steady_timer timer_;
  raft::Node node_;
  configuration::StateMachine machine_;
  PersistReady persist_;
  SendMessage send_;
  ReplicaEvents events_;
  /// Callbacks in flight hold a weak reference, so that none runs after the replica is gone.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  bool running_ = false;
  bool leading_ = false;
  bool work_scheduled_ = false;
  std::optional<core::Error> broken_;  ///< The state could not be loaded.
  /// Could not be made durable because the disk is full. Nothing that it promises is sent before.
  std::optional<raft::Ready> waiting_for_room_;
  raft::Index applied_ = 0;
  std::size_t applied_bytes_ = 0;   ///< Of commands since the last snapshot: what a restart applies again.
  std::size_t snapshot_bytes_ = 0;  ///< Of the last snapshot.
  protocol::Revision told_revision_ = 0;
  std::uint64_t told_candidacies_ = 0;
  std::uint64_t syncs_ = 0;
  raft::ReadToken next_read_ = 1;
  std::map<raft::Index, Proposal> proposals_;
  std::map<raft::ReadToken, std::shared_ptr<ReadDone>> reads_;
  std::multimap<raft::Index, raft::ReadToken> confirmed_reads_;  ///< Wait for their index to be applied.
};

/// Bytes of applied commands after which a snapshot takes the log's place. With 0.15 of a core 92
/// commands of 300 KB took 1.8 s to read and apply (logs of one run); by that, 2 MB take about 0.15 s.
inline constexpr std::size_t kCompactAfterBytes = 2UL * 1024 * 1024;

}  // namespace pipitpond::control
