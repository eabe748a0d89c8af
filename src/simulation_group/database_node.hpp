// A simulated database: the stand-in's engine with a disk that loses in a crash what was not synced, and
// replication over the simulated network.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "core/ids.hpp"
#include "simulation_group/fabric.hpp"
#include "standin/engine.hpp"
#include "standin/types.hpp"

namespace pipitpond::simulation::group {

class DatabaseNode {
 public:
  using Reply = std::function<void(const standin::Response&)>;
  using Closed = std::function<void()>;

  DatabaseNode(Fabric& fabric, standin::EngineOptions options, ClockDrift drift);

  void set_peers(std::vector<DatabaseNode*> peers) { peers_ = std::move(peers); }
  void start();
  /// The process ends: of what was not synced, a random part survives.
  void crash();

  /// Takes a request of the published protocol; call in the database's own process. `connection` is 0 for
  /// calls that need none.
  void handle(standin::ConnectionId connection, const standin::Request& request, Reply reply);
  /// Where to tell that the database has closed a connection.
  void watch_connection(standin::ConnectionId connection, Closed closed);
  void connection_closed(standin::ConnectionId connection);

  [[nodiscard]] Host& host() { return host_; }
  [[nodiscard]] const core::DatabaseId& id() const { return options_.database; }
  /// Engine of the running or last life.
  [[nodiscard]] const standin::Engine& engine() const { return *engine_; }
  /// Connections refused over the limit, in all lives.
  [[nodiscard]] std::uint64_t refused_connections() const;
  /// How long a replica's lag is from now on.
  void set_apply_lag(core::Duration lag);

 private:
  struct Unsynced {
    std::uint64_t sequence = 0;
    std::vector<standin::DiskRecord> records;
  };

  [[nodiscard]] standin::Now now() const;
  void pump();
  void write(std::vector<standin::DiskRecord> records, std::uint64_t sequence);
  void answer_at_once(const database::LogEntry& entry);
  void synced();
  void send(const standin::ReplicateMessage& message);
  void answer(const standin::Answer& answer);
  void close(standin::ConnectionId connection);
  void wake_when_due();
  DatabaseNode* peer(const core::DatabaseId& id);

  Fabric& fabric_;
  standin::EngineOptions options_;
  Host host_;
  std::unique_ptr<standin::Engine> engine_;
  std::vector<DatabaseNode*> peers_;
  standin::DurableState durable_;
  std::deque<Unsynced> unsynced_;
  std::map<standin::CallId, Reply> replies_;
  std::map<core::RequestId, standin::CallId> executions_;
  std::map<standin::ConnectionId, Closed> connections_;
  standin::CallId last_call_ = 0;
  std::optional<core::Instant> wake_at_;
  std::uint64_t refused_before_ = 0;
};

}  // namespace pipitpond::simulation::group
