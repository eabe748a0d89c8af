// Three control replicas in one process, with disks in memory and links that can be cut.
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

/// Durable state in memory: survives its replica.
class MemoryDisk {
 public:
  explicit MemoryDisk(raft::PersistedState state) : state_(std::move(state)) {}

  core::Result<void> persist(const raft::Ready& ready);
  [[nodiscard]] const raft::PersistedState& state() const { return state_; }
  /// Until it is emptied, it takes nothing.
  void set_full(bool full) { full_ = full; }

 private:
  bool full_ = false;
  raft::PersistedState state_;
};

/// Where operators would reach a replica.
inline core::Endpoint operators_of(const std::string& name) {
  return {name, 8780};
}

/// The replicas "c1" to "c3".
class MemoryCluster {
 public:
  explicit MemoryCluster(boost::asio::io_context& io);
  ~MemoryCluster();
  MemoryCluster(const MemoryCluster&) = delete;
  MemoryCluster& operator=(const MemoryCluster&) = delete;

  /// Starts a replica from its disk.
  void start(const std::string& name);
  /// Ends a replica; its disk stays.
  void stop(const std::string& name);
  /// Cuts a replica from all others, in silence, until `heal`.
  void cut(const std::string& name) { cut_.insert(name); }
  void heal(const std::string& name) { cut_.erase(name); }

  MemoryDisk& disk(const std::string& name) { return disks_.at(name); }
  Replica& replica(const std::string& name) { return *replicas_.at(name); }
  /// Waits for a leader among the replicas that are not cut.
  std::string wait_for_leader();
  [[nodiscard]] std::vector<std::string> names() const { return {"c1", "c2", "c3"}; }

 private:
  void deliver(raft::Message message);
  [[nodiscard]] std::optional<std::string> leader() const;

  boost::asio::io_context& io_;
  std::map<std::string, MemoryDisk> disks_;
  std::map<std::string, std::unique_ptr<Replica>> replicas_;
  std::set<std::string> cut_;
  std::uint64_t seed_ = 1;
};

}  // namespace pipitpond::control
