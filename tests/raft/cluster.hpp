// A few raft::Nodes joined by a network that loses nothing unless a link is cut, with virtual time.
#pragma once

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "raft/node.hpp"

namespace pipitpond::raft::testing {

using std::chrono::milliseconds;

inline core::ControlId replica(int number) {
  return core::ControlId("control-" + std::to_string(number));
}

inline Member member(const core::ControlId& id, MemberRole role = MemberRole::kVoter) {
  Member result;
  result.id = id;
  result.internal = core::Endpoint{"127.0.0.1", static_cast<std::uint16_t>(id.value().back())};
  result.role = role;
  return result;
}

inline Membership voters(int count) {
  Membership membership;
  for (int number = 1; number <= count; ++number) membership.members.push_back(member(replica(number)));
  return membership;
}

/// One replica with the durable state that its driver has "synced" and the commands it has applied.
struct Replica {
  Node node;
  PersistedState disk;
  std::vector<std::string> applied;
  std::vector<ReadResult> reads;
};

class Cluster {
 public:
  explicit Cluster(int count, bool open_membership = false, Mechanisms mechanisms = {})
      : open_membership_(open_membership), mechanisms_(mechanisms) {
    for (int number = 1; number <= count; ++number) start(replica(number), bootstrap(voters(count), ""));
  }

  void start(const core::ControlId& id, PersistedState disk) {
    Config config;
    config.id = id;
    config.cluster = "test";
    config.trailing_entries = 2;
    config.open_membership = open_membership_;
    config.min_voters = least_voters_;
    config.mechanisms = mechanisms_;
    const auto seed = ++seed_;
    auto applied = split(disk.snapshot.state);
    replicas_.erase(id);
    replicas_.emplace(id, Replica{Node(config, disk, seed, now), disk, std::move(applied), {}});
  }

  void stop(const core::ControlId& id) { replicas_.erase(id); }
  void restart(const core::ControlId& id) { start(id, replicas_.at(id).disk); }
  Replica& at(const core::ControlId& id) { return replicas_.at(id); }
  Node& node(const core::ControlId& id) { return replicas_.at(id).node; }

  void cut(const core::ControlId& id) { cut_.insert(id); }
  [[nodiscard]] bool is_cut(const core::ControlId& id) const { return cut_.count(id) > 0; }
  /// Restarts all replicas with this setting.
  void set_least_voters(std::size_t min_voters) {
    least_voters_ = min_voters;
    std::vector<core::ControlId> all;
    for (const auto& [id, each] : replicas_) all.push_back(id);
    for (const auto& id : all) restart(id);
  }
  void heal(const core::ControlId& id) { cut_.erase(id); }

  /// Lets time pass in steps of 10 ms until the condition holds; false when it does not in time.
  bool run_until(const std::function<bool()>& condition, milliseconds limit = milliseconds(10000)) {
    const auto end = now + limit;
    while (now < end) {
      settle();
      if (condition()) return true;
      now += milliseconds(10);
      for (auto& [id, each] : replicas_) {
        if (now >= each.node.next_timer()) each.node.tick(now);
      }
    }
    return false;
  }
  void run_for(milliseconds time) {
    run_until([] { return false; }, time);
  }

  /// Delivers a message that names no receiver to whoever runs at a place; a replica that lost its disk runs
  /// at the place of the one that it was.
  void send_to_place(const core::Endpoint& place, const Message& message) {
    for (auto& [id, each] : replicas_) {
      const auto base = core::ControlId(id.value().substr(0, id.value().find('#')));
      if (member(base).internal == place && cut_.count(id) + cut_.count(message.from) == 0) {
        each.node.step(now, message);
      }
    }
  }

  /// The leader of the greatest term among replicas that are not cut off.
  Node* leader() {
    Node* best = nullptr;
    for (auto& [id, each] : replicas_) {
      if (each.node.role() != Role::kLeader || cut_.count(id) > 0) continue;
      if (best == nullptr || each.node.term() > best->term()) best = &each.node;
    }
    return best;
  }
  Node& elect() {
    run_until([this] { return leader() != nullptr && leader()->has_committed_in_current_term(); });
    return *leader();
  }
  /// Proposes at the leader and waits until it is applied by every replica that is in contact.
  bool commit(const std::string& command) {
    if (elect().propose(now, command).has_failure()) return false;
    return run_until([&] {
      return std::all_of(replicas_.begin(), replicas_.end(), [&](const auto& each) {
        const auto& applied = each.second.applied;
        return cut_.count(each.first) > 0 || std::count(applied.begin(), applied.end(), command) > 0;
      });
    });
  }

  core::Instant now{std::chrono::hours(1)};
  std::size_t entry_bytes_lost = 0;  ///< Of appends and snapshots to or from replicas that are cut off.
  std::vector<core::Instant> snapshots_lost;  ///< When snapshots were sent that were lost.
  bool loses_snapshots = false;               ///< Also of replicas that are not cut off.

 private:
  static std::vector<std::string> split(const std::string& state) {
    std::vector<std::string> words;
    std::string word;
    for (const char letter : state) {
      if (letter != ' ') {
        word += letter;
        continue;
      }
      words.push_back(std::exchange(word, {}));
    }
    return words;
  }

  void settle() {
    bool busy = true;
    while (busy) {
      busy = false;
      for (auto& [id, each] : replicas_) {
        while (each.node.has_ready()) {
          drive(each);
          busy = true;
        }
      }
      while (!network_.empty()) {
        deliver();
        busy = true;
      }
    }
  }

  void drive(Replica& each) {
    auto ready = each.node.take_ready();
    auto& disk = each.disk;
    if (ready.hard_state) disk.hard_state = *ready.hard_state;
    if (ready.snapshot) disk.snapshot = *ready.snapshot;
    if (ready.reset_log) disk.entries.clear();
    for (auto& entry : ready.entries) {
      std::erase_if(disk.entries, [&](const Entry& old) { return old.index >= entry.index; });
      disk.entries.push_back(entry);
    }
    for (auto& message : ready.messages) network_.push_back(std::move(message));
    if (ready.restore) each.applied = split(ready.snapshot->state);
    for (const auto& entry : ready.committed) {
      if (entry.kind == EntryKind::kCommand) each.applied.push_back(entry.command);
    }
    each.reads.insert(each.reads.end(), ready.reads.begin(), ready.reads.end());
    each.node.advance(now);
  }

  void deliver() {
    auto message = std::move(network_.front());
    network_.pop_front();
    const bool snapshot_is_lost = loses_snapshots && std::holds_alternative<SnapshotRequest>(message.body);
    if (snapshot_is_lost || cut_.count(message.from) + cut_.count(message.to) > 0) {
      if (const auto* append = std::get_if<AppendRequest>(&message.body)) {
        entry_bytes_lost += size_of(append->entries);
      } else if (const auto* snapshot = std::get_if<SnapshotRequest>(&message.body)) {
        snapshots_lost.push_back(now);
        entry_bytes_lost += snapshot->snapshot.state.size();
      }
      return;
    }
    const auto receiver = replicas_.find(message.to);
    if (receiver != replicas_.end()) receiver->second.node.step(now, std::move(message));
  }

  std::map<core::ControlId, Replica> replicas_;
  std::deque<Message> network_;
  std::set<core::ControlId> cut_;
  std::uint64_t seed_ = 0;
  bool open_membership_ = false;
  std::size_t least_voters_ = Config().min_voters;
  Mechanisms mechanisms_;
};

/// A command list as a snapshot state.
inline std::string joined(const std::vector<std::string>& commands) {
  std::string state;
  for (const auto& command : commands) state += command + " ";
  return state;
}

}  // namespace pipitpond::raft::testing
