// Three control replicas in one process, with in-memory disks and simulated network partitions.
#pragma once

#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "control/replica.hpp"
#include "raft/types.hpp"

namespace pipitpond::control {

/// Durable state in memory. It outlives its replica, as a disk does.
class MemoryDisk {
 public:
  explicit MemoryDisk(raft::PersistedState state) : state_(std::move(state)) {}

  core::Result<void> persist(const raft::Ready& ready);
  [[nodiscard]] const raft::PersistedState& state() const { return state_; }
  /// While it is full, writes that need a sync fail with kNoCapacity.
  void set_full(bool full) { full_ = full; }

 private:
  bool full_ = false;
  raft::PersistedState state_;
};

/// Endpoint of a replica's operator API. Nothing listens there.
inline core::Endpoint operator_endpoint(const std::string& name) {
  return {name, 8780};
}

/// A cluster of the replicas "c1" to "c3".
class MemoryCluster {
 public:
  explicit MemoryCluster(boost::asio::io_context& io);
  ~MemoryCluster();
  MemoryCluster(const MemoryCluster&) = delete;
  MemoryCluster& operator=(const MemoryCluster&) = delete;

  /// Starts a replica with the state on its disk.
  void start(const std::string& name);
  /// Stops a replica and keeps its disk.
  void stop(const std::string& name);
  /// Drops all messages between a replica and the others until `heal`.
  void partition(const std::string& name) { partitioned_.insert(name); }
  void heal(const std::string& name) { partitioned_.erase(name); }

  MemoryDisk& disk(const std::string& name) { return disks_.at(name); }
  Replica& replica(const std::string& name) { return *replicas_.at(name); }
  /// Waits until one of the replicas that are not partitioned leads, and returns its name.
  std::string wait_for_leader();
  [[nodiscard]] std::vector<std::string> names() const { return {"c1", "c2", "c3"}; }

 private:
  void deliver(raft::Message message);
  [[nodiscard]] std::optional<std::string> leader() const;

  boost::asio::io_context& io_;
  std::map<std::string, MemoryDisk> disks_;
  std::map<std::string, std::unique_ptr<Replica>> replicas_;
  std::set<std::string> partitioned_;
  std::uint64_t seed_ = 1;
};

}  // namespace pipitpond::control
