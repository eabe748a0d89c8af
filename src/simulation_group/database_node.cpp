#include "simulation_group/database_node.hpp"

#include <algorithm>
#include <utility>
#include <variant>

namespace pipitpond::simulation::group {
namespace {

constexpr core::Duration kSyncMin = std::chrono::microseconds(200);
constexpr core::Duration kSyncMax = std::chrono::milliseconds(4);
constexpr core::Duration kLeastWait = std::chrono::microseconds(100);
/// Wall clock at the start of the simulation, milliseconds.
constexpr core::UnixMillis kWallStart = 1'790'000'000'000;

}  // namespace

DatabaseNode::DatabaseNode(Fabric& fabric, standin::EngineOptions options, ClockDrift drift)
    : fabric_(fabric),
      options_(std::move(options)),
      host_(fabric.scheduler, options_.database.value(), drift) {}

standin::Now DatabaseNode::now() const {
  return {host_.now(), kWallStart + core::to_millis(host_.now().time_since_epoch())};
}

void DatabaseNode::start() {
  host_.start();
  engine_ = std::make_unique<standin::Engine>(options_, durable_, now());
  wake_at_.reset();
  pump();
}

void DatabaseNode::crash() {
  fabric_.trace.line(host_.name(), "crashes with {} unsynced writes", unsynced_.size());
  refused_before_ += engine_->counters().connections_over_limit;
  const auto kept = fabric_.random.below(unsynced_.size() + 1);
  for (std::uint64_t number = 0; number < kept; ++number) {
    for (const standin::DiskRecord& record : unsynced_[number].records) {
      standin::replay(durable_, record);
    }
  }
  unsynced_.clear();
  replies_.clear();
  executions_.clear();
  host_.stop();
  for (const auto& [connection, closed] : std::exchange(connections_, {})) {
    closed();
  }
}

void DatabaseNode::handle(standin::ConnectionId connection, const standin::Request& request, Reply reply) {
  const standin::CallId call = ++last_call_;
  replies_[call] = std::move(reply);
  if (const auto* execute = std::get_if<database::ExecuteRequest>(&request)) {
    executions_[execute->request] = call;
  }
  engine_->handle(now(), call, connection, request);
  pump();
}

void DatabaseNode::watch_connection(standin::ConnectionId connection, Closed closed) {
  connections_[connection] = std::move(closed);
}

void DatabaseNode::connection_closed(standin::ConnectionId connection) {
  connections_.erase(connection);
  engine_->connection_closed(now(), connection);
  pump();
}

std::uint64_t DatabaseNode::refused_connections() const {
  return refused_before_ + (host_.up() ? engine_->counters().connections_over_limit : 0);
}

void DatabaseNode::set_apply_lag(core::Duration lag) {
  options_.apply_lag = lag;
  engine_->options().apply_lag = lag;
}

void DatabaseNode::pump() {
  standin::Effects effects = engine_->take_effects();
  if (!effects.disk.empty()) {
    write(std::move(effects.disk), effects.disk_sequence);
  }
  for (const standin::ReplicateMessage& message : effects.replicate) {
    send(message);
  }
  for (const standin::Answer& one : effects.answers) {
    answer(one);
  }
  for (const standin::ConnectionId connection : effects.close) {
    close(connection);
  }
  wake_when_due();
}

void DatabaseNode::write(std::vector<standin::DiskRecord> records, std::uint64_t sequence) {
  if (!fabric_.switches.on(Mechanism::kMajorityAcknowledgement)) {
    for (const standin::DiskRecord& record : records) {
      if (const auto* entry = std::get_if<database::LogEntry>(&record)) {
        answer_at_once(*entry);
      }
    }
  }
  unsynced_.push_back({sequence, std::move(records)});
  host_.after(fabric_.random.between(kSyncMin, kSyncMax), [this, sequence] {
    if (!unsynced_.empty() && unsynced_.front().sequence <= sequence) {
      while (!unsynced_.empty() && unsynced_.front().sequence <= sequence) {
        synced();
      }
      engine_->synced(now(), sequence);
      pump();
    }
  });
}

void DatabaseNode::answer_at_once(const database::LogEntry& entry) {
  const auto found = executions_.find(entry.request);
  if (found == executions_.end()) {
    return;
  }
  const standin::CallId call = found->second;
  answer({call, database::ExecuteAnswer{entry.request, id(), entry.result, entry.position, entry.position,
                                        false, false}});
}

void DatabaseNode::synced() {
  for (const standin::DiskRecord& record : unsynced_.front().records) {
    standin::replay(durable_, record);
  }
  unsynced_.pop_front();
}

void DatabaseNode::send(const standin::ReplicateMessage& message) {
  DatabaseNode* to = peer(message.peer.database);
  const core::DatabaseId peer_id = message.peer.database;
  const std::uint64_t sequence = message.sequence;
  call<standin::Response>(
      fabric_, host_, to->host(), standin::kReplicationTimeout,
      [to, request = message.request](const Reply& reply) { to->handle(0, request, reply); },
      [this, peer_id, sequence](const CallEnd<standin::Response>& end) {
        if (end.answer) {
          engine_->replicate_answered(now(), peer_id, sequence, *end.answer);
        } else {
          engine_->replicate_failed(now(), peer_id, sequence);
        }
        pump();
      });
}

void DatabaseNode::answer(const standin::Answer& answer) {
  const auto found = replies_.find(answer.call);
  if (found == replies_.end()) {
    return;
  }
  const Reply reply = std::move(found->second);
  replies_.erase(found);
  std::erase_if(executions_, [&](const auto& one) { return one.second == answer.call; });
  reply(answer.response);
}

void DatabaseNode::close(standin::ConnectionId connection) {
  const auto found = connections_.find(connection);
  if (found == connections_.end()) {
    return;
  }
  const Closed closed = std::move(found->second);
  connections_.erase(found);
  closed();
}

void DatabaseNode::wake_when_due() {
  const auto next = engine_->next_wakeup();
  if (!next) {
    return;
  }
  const core::Instant at = std::max(*next, host_.now() + kLeastWait);
  if (wake_at_ && *wake_at_ <= at && *wake_at_ > host_.now()) {
    return;
  }
  wake_at_ = at;
  host_.at(at, [this, at] {
    if (wake_at_ == at) {
      wake_at_.reset();
      engine_->tick(now());
      pump();
    }
  });
}

DatabaseNode* DatabaseNode::peer(const core::DatabaseId& id) {
  const auto found =
      std::find_if(peers_.begin(), peers_.end(), [&](const DatabaseNode* one) { return one->id() == id; });
  return *found;
}

}  // namespace pipitpond::simulation::group
