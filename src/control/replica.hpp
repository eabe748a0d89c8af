// Connects a raft::Node and the configuration's state machine to disk, timers and network. Single-threaded.
//
// All input that arrives within one iteration of the io_context is passed to the node before its Ready is
// taken, so that many commands and replies share one disk sync.
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

/// Makes the state in a Ready durable. Fails with kNoCapacity if the disk is full; the same Ready is then
/// passed again later. Any other error is unrecoverable.
using PersistReady = std::function<core::Result<void>(const raft::Ready&)>;
/// Sends a message to another replica. The message may be lost.
using SendMessage = std::function<void(raft::Message)>;

/// Callbacks to the rest of the control process.
struct ReplicaEvents {
  /// Called at the start, and after commands or a snapshot have changed the configuration.
  std::function<void(const protocol::Configuration&)> configuration_changed;
  /// True: this replica leads and has applied all entries that earlier leaders committed. False: it no longer
  /// leads; called before any entry that a later leader committed is applied.
  std::function<void(bool leading)> leadership_changed;
  /// An unrecoverable disk error: terminate the process.
  std::function<void(const core::Error&)> failed;
};

/// A control replica: a Raft member with its copy of the configuration.
class Replica {
 public:
  Replica(boost::asio::io_context& io, raft::Config config, raft::PersistedState persisted,
          std::uint64_t seed, PersistReady persist, SendMessage send, ReplicaEvents events);
  Replica(const Replica&) = delete;
  Replica& operator=(const Replica&) = delete;

  /// Starts the timers and reports the loaded configuration.
  void start();
  /// Stops processing. Proposals in progress fail with kTimeout and reads with kNotLeader.
  void stop();

  /// Passes a message from another replica to the node. Drops it while the disk is full.
  void receive(raft::Message message);

  /// Proposes a command and waits until it is applied. Fails with kNotLeader, kLeaving, kOverloaded or
  /// kUnavailable if it will not be applied, and with kTimeout if it may be: resend it with the same key.
  boost::asio::awaitable<core::Result<configuration::CommandResult>> propose(configuration::Command command,
                                                                             core::Duration timeout);
  /// Waits until this replica has applied every entry that was committed before the call (a linearizable
  /// read). After an error, such as kNotLeader or kTimeout, the state must not be served as current.
  boost::asio::awaitable<core::Result<void>> read_barrier(core::Duration timeout);
  /// The same at a replica that knows no leader, as far as a majority of the voters shows that nothing newer
  /// was committed.
  boost::asio::awaitable<core::Result<void>> read_barrier_without_leader(core::Duration timeout);
  /// Adds or removes one member. Returns when the change is in the leader's log, before it is committed.
  core::Result<void> change_membership(const raft::MembershipChange& change);
  /// Starts a transfer of leadership.
  core::Result<void> transfer_leadership();

  /// True if this replica leads and has applied all entries that earlier leaders committed.
  [[nodiscard]] bool leading() const { return leading_; }
  [[nodiscard]] const raft::Node& node() const { return node_; }
  [[nodiscard]] const configuration::StateMachine& machine() const { return machine_; }
  /// True while the disk is full. The replica then neither votes nor leads nor accepts messages and
  /// proposals.
  [[nodiscard]] bool disk_full() const { return unpersisted_ready_.has_value(); }
  /// Disk syncs since the process started.
  [[nodiscard]] std::uint64_t syncs() const { return syncs_; }

 private:
  using ProposalCompletion = OneShot<core::Result<configuration::CommandResult>>;
  using ReadCompletion = OneShot<core::Result<void>>;

  using PendingReads = std::map<raft::ReadToken, std::shared_ptr<ReadCompletion>>;

  struct Proposal {
    raft::Term term = 0;
    std::shared_ptr<ProposalCompletion> completion;
  };

  void schedule_processing();
  void process();
  /// Persists, sends and applies a Ready. Returns false if processing must stop for now.
  bool process_ready(raft::Ready ready);
  bool persist(const raft::Ready& ready);
  void defer_ready(raft::Ready ready, const core::Error& error);
  /// Retries the Ready that did not fit on the disk. Returns true if it is processed now or if there was
  /// none.
  bool retry_unpersisted_ready();
  void apply(const raft::Entry& entry);
  void restore(const raft::Snapshot& snapshot);
  /// Tells what earlier lives have left from what they lost.
  void log_state_read() const;
  void detect_leadership_loss();
  void detect_leadership_gain();
  void log_new_candidacy();
  void finish_proposal(const raft::Entry& entry, const configuration::CommandResult& result);
  void finish_confirmed_reads();
  void finish_read(raft::ReadToken token, core::Result<void> result);
  boost::asio::awaitable<core::Result<void>> wait_for_read(raft::ReadToken token, PendingReads& reads,
                                                           core::Duration timeout);
  void fail_pending(const core::Error& error);
  void compact_if_needed();
  void set_timer();
  void set_timer(core::Duration delay);

  boost::asio::io_context& io_;
  boost::asio::steady_timer timer_;
  raft::Node node_;
  configuration::StateMachine machine_;
  PersistReady persist_;
  SendMessage send_;
  ReplicaEvents events_;
  /// Pending asynchronous callbacks hold a weak reference, so that none runs after the replica is destroyed.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  bool running_ = false;
  bool leading_ = false;
  bool processing_scheduled_ = false;
  std::optional<core::Error> restore_error_;  ///< Why a snapshot could not be loaded.
  /// A Ready that did not fit on the full disk. Its messages are sent only after it is durable.
  std::optional<raft::Ready> unpersisted_ready_;
  raft::Index applied_ = 0;
  std::size_t applied_bytes_ = 0;   ///< Size of the commands since the last snapshot, replayed at a restart.
  std::size_t snapshot_bytes_ = 0;  ///< Size of the last snapshot.
  protocol::Revision notified_revision_ = 0;
  std::uint64_t logged_candidacies_ = 0;
  std::uint64_t syncs_ = 0;
  raft::ReadToken next_read_token_ = 1;
  std::map<raft::Index, Proposal> proposals_;
  PendingReads reads_;             ///< Of a leader; they fail with its leadership.
  PendingReads leaderless_reads_;  ///< Of a replica that knows no leader.
  std::multimap<raft::Index, raft::ReadToken> confirmed_reads_;  ///< Finished once their index is applied.
};

/// Size of applied commands after which the log is compacted into a snapshot; bounds the replay at a restart.
/// With 0.15 of a core 92 commands of 300 KB take 1.8 s to read and apply, so 2 MB take about 0.15 s.
inline constexpr std::size_t kCompactAfterBytes = 2UL * 1024 * 1024;

}  // namespace pipitpond::control
