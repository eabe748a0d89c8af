#include "simulation_group/database_link.hpp"

#include <algorithm>
#include <utility>
#include <variant>

#include "protocol/tunables.hpp"

namespace pipitpond::simulation::group {
namespace {

using core::ErrorKind;
using core::Outcome;

constexpr core::Duration kOpenTimeout = std::chrono::milliseconds(500);
constexpr core::Duration kOpenBackoff = std::chrono::milliseconds(100);
constexpr core::Duration kMaxQueueWait = std::chrono::milliseconds(300);
/// The end of a connection's stream is sent again after this, then after twice as long, as TCP does.
constexpr core::Duration kFirstRetransmission = std::chrono::milliseconds(200);

protocol::ForwardReply failure(Outcome outcome, ErrorKind kind, const std::string& message) {
  protocol::ForwardReply reply;
  reply.outcome = outcome;
  reply.error = core::Error{kind, message, "Try again.", 0};
  return reply;
}

protocol::ForwardReply from_key_answer(const database::KeyAnswer& answer) {
  protocol::ForwardReply reply;
  reply.outcome = answer.outcome;
  reply.position = answer.position;
  reply.result = answer.result.dump();
  reply.error.kind = answer.outcome == Outcome::kNotRun ? ErrorKind::kKeySettled : ErrorKind::kNotFound;
  return reply;
}

}  // namespace

protocol::ForwardReply to_reply(const standin::Response& response, const core::DatabaseId& database) {
  protocol::ForwardReply reply;
  if (const auto* done = std::get_if<database::ExecuteAnswer>(&response)) {
    reply.outcome = Outcome::kDone;
    reply.position = done->position;
    reply.applied = done->applied;
    reply.replayed = done->replayed;
    reply.result = done->result.dump();
  } else if (const auto* key = std::get_if<database::KeyAnswer>(&response)) {
    reply = from_key_answer(*key);
  } else if (const auto* error = std::get_if<database::DatabaseError>(&response)) {
    reply = failure(error->outcome, core::error_kind_from(error->kind), error->message);
    reply.applied = error->applied;
  }
  reply.database = database;
  return reply;
}

DatabaseLink::DatabaseLink(Fabric& fabric, Host& daemon, DatabaseNode& database, HeldChanged changed)
    : fabric_(fabric),
      daemon_(daemon),
      database_(database),
      changed_(std::move(changed)),
      monitor_(daemon.now(), database.id()) {}

void DatabaseLink::set_budget(const ownership::Budget& budget, bool may_open) {
  budget_ = budget;
  may_open_ = may_open;
  shrink();
}

void DatabaseLink::set_expectation(core::Term term, bool primary) {
  monitor_.set_expectation(term, primary);
  std::vector<standin::ConnectionId> outdated;
  for (const auto& [id, connection] : connections_) {
    if (connection.call && connection.call->term != 0 && connection.call->term < term) {
      outdated.push_back(id);
    }
  }
  for (const standin::ConnectionId id : outdated) {
    lost(id);
  }
}

void DatabaseLink::on_probe_failed(bool refused) {
  monitor_.on_probe_failed(daemon_.now(), refused);
  closing_.on_no_answer(refused);
}

void DatabaseLink::observe_status(core::Instant asked_at, const database::StatusAnswer& status) {
  monitor_.on_status(daemon_.now(), status);
  closing_.on_status(asked_at, daemon_.now(), status.connections, surely_counted(asked_at));
  report_held();
  const std::uint32_t room =
      status.connection_limit > status.connections ? status.connection_limit - status.connections : 0;
  // Connects in progress may or may not be counted by that status; assume not, which errs towards fewer.
  room_ = room > opening() ? room - opening() : 0;
}

void DatabaseLink::break_off_calls() {
  std::vector<standin::ConnectionId> in_use;
  for (const auto& [id, connection] : connections_) {
    if (connection.call) {
      in_use.push_back(id);
    }
  }
  for (const standin::ConnectionId id : in_use) {
    lost(id);
  }
}

void DatabaseLink::close() {
  closed_ = true;
  for (const auto& call : std::exchange(queue_, {})) {
    call->done(failure(Outcome::kNotRun, ErrorKind::kUnavailable, "This daemon owns it no longer."));
  }
  budget_ = {};
  shrink();
}

void DatabaseLink::reopen() {
  monitor_ = failover::DatabaseMonitor(daemon_.now(), database_.id());
  closed_ = false;
}

void DatabaseLink::tick() {
  const core::Instant now = daemon_.now();
  std::vector<standin::ConnectionId> idle;
  for (const auto& [id, connection] : connections_) {
    if (connection.open && !connection.call && now - connection.last_used >= protocol::kPoolKeepAlive) {
      idle.push_back(id);
    }
  }
  for (const standin::ConnectionId id : idle) {
    keep_alive(id);
  }
  while (!queue_.empty() && queue_.front()->deadline <= now) {
    const auto call = queue_.front();
    queue_.pop_front();
    call->done(failure(Outcome::kNotRun, ErrorKind::kNoCapacity, "No connection came free."));
  }
  report_held();
  grow();
}

void DatabaseLink::grow() {
  const bool may = may_open_ && !closed_ && daemon_.now() >= open_again_at_;
  if (may && held() + closing_.inherited() < budget_.connections && room_ >= room_needed()) {
    room_ = room_ > 0 ? room_ - 1 : 0;
    open_one();
  }
}

std::uint32_t DatabaseLink::room_needed() const {
  return fabric_.switches.on(Mechanism::kBudgetLeases) ? 1 : 0;
}

void DatabaseLink::open_one() {
  const standin::ConnectionId id = fabric_.random.fork() | 1U;
  connections_[id] = Connection{};
  report_held();
  const auto self = shared_from_this();
  call<bool>(
      fabric_, daemon_, database_.host(), kOpenTimeout,
      [self, id](const std::function<void(const bool&)>& reply) {
        if (!self->connections_.contains(id)) {
          return;  // Given up while it was on its way, as a TCP connection would be.
        }
        const auto tell_closed = [self, id] {
          self->fabric_.network.send(self->database_.host(), self->daemon_,
                                     [self, id] { self->closed_by_database(id); });
        };
        self->database_.watch_connection(id, tell_closed);
        self->database_.handle(id, database::ConnectRequest{self->daemon_.name()},
                               [reply](const standin::Response& response) {
                                 reply(std::holds_alternative<database::StatusAnswer>(response));
                               });
      },
      [self, id](const CallEnd<bool>& end) { self->opened(id, end.answer.value_or(false)); });
}

void DatabaseLink::opened(standin::ConnectionId id, bool accepted) {
  const auto found = connections_.find(id);
  if (found == connections_.end()) {
    return;
  }
  if (!accepted) {
    fabric_.trace.line(daemon_.name(), "got no connection to {}: holds {} of {}, {} closing",
                       database_.host().name(), live() - 1, budget_.connections, closing_.count());
    open_again_at_ = daemon_.now() + kOpenBackoff;
    drop(id);
    return;
  }
  found->second.open = true;
  found->second.last_used = daemon_.now();
  shrink();
  serve_queue();
}

void DatabaseLink::execute(LinkCall call) {
  const auto shared = std::make_shared<LinkCall>(std::move(call));
  if (closed_ || budget_.slots == 0) {
    shared->done(failure(Outcome::kNotRun, ErrorKind::kUnavailable, "This daemon does not own it."));
    return;
  }
  shared->deadline = std::min(shared->deadline, daemon_.now() + kMaxQueueWait);
  queue_.push_back(shared);
  serve_queue();
}

std::uint32_t DatabaseLink::busy() const {
  return static_cast<std::uint32_t>(std::count_if(
      connections_.begin(), connections_.end(), [](const auto& one) { return one.second.call != nullptr; }));
}

std::uint32_t DatabaseLink::surely_counted(core::Instant asked_at) const {
  return static_cast<std::uint32_t>(
      std::count_if(connections_.begin(), connections_.end(), [asked_at](const auto& one) {
        const Connection& connection = one.second;
        const core::Duration unused = asked_at - connection.last_used;
        return connection.open && !connection.call && unused > core::Duration::zero() &&
               unused < protocol::kLongestTrustedIdle;
      }));
}

std::uint32_t DatabaseLink::opening() const {
  return static_cast<std::uint32_t>(std::count_if(connections_.begin(), connections_.end(),
                                                  [](const auto& one) { return !one.second.open; }));
}

void DatabaseLink::serve_queue() {
  for (auto& [id, connection] : connections_) {
    if (queue_.empty() || busy() >= budget_.slots) {
      return;
    }
    if (connection.open && !connection.doomed && !connection.call) {
      const auto call = queue_.front();
      queue_.pop_front();
      start(id, call);
    }
  }
}

void DatabaseLink::start(standin::ConnectionId id, const std::shared_ptr<LinkCall>& call) {
  constexpr core::Duration kLongestCall = std::chrono::seconds(2);
  connections_[id].call = call;
  const auto self = shared_from_this();
  const auto serve = [self, id, call](const DatabaseNode::Reply& reply) {
    self->database_.handle(id, call->request, reply);
  };
  const auto done = [self, id, call](const CallEnd<standin::Response>& end) {
    if (end.answer) {
      self->answered(id, call, *end.answer);
      return;
    }
    const auto found = self->connections_.find(id);
    if (found != self->connections_.end() && found->second.call == call) {
      self->lost(id);
    }
  };
  simulation::group::call<standin::Response>(fabric_, daemon_, database_.host(), kLongestCall, serve, done);
}

void DatabaseLink::answered(standin::ConnectionId id, const std::shared_ptr<LinkCall>& call,
                            const standin::Response& response) {
  const auto found = connections_.find(id);
  if (found == connections_.end() || found->second.call != call) {
    return;  // The connection was given up: its answer comes too late to be read.
  }
  found->second.call.reset();
  found->second.last_used = daemon_.now();
  monitor_.on_data_answer(daemon_.now());
  if (found->second.doomed) {
    drop(id);
  }
  call->done(to_reply(response, database_.id()));
  shrink();
  serve_queue();
}

void DatabaseLink::lost(standin::ConnectionId id) {
  const auto found = connections_.find(id);
  if (found == connections_.end()) {
    return;
  }
  const std::shared_ptr<LinkCall> call = found->second.call;
  drop(id);
  if (call) {
    monitor_.on_data_failure(daemon_.now());
    protocol::ForwardReply reply =
        failure(Outcome::kUnknown, ErrorKind::kConnectionLost, "The connection broke during the call.");
    reply.database = database_.id();
    call->done(reply);
  }
}

void DatabaseLink::closed_by_database(standin::ConnectionId id) {
  lost(id);
  closing_.on_closed(id);
  report_held();
}

void DatabaseLink::drop(standin::ConnectionId id) {
  const bool acknowledged = connections_.at(id).open;
  connections_.erase(id);
  if (fabric_.switches.on(Mechanism::kClosingConnections)) {
    closing_.give_up(id, daemon_.now(), acknowledged);
  }
  report_held();
  tell_close(id, kFirstRetransmission);
}

/// The kernel's part: it goes on while the daemon is frozen or has ended, but not without its machine.
void DatabaseLink::tell_close(standin::ConnectionId id, core::Duration wait) {
  const auto self = shared_from_this();
  const auto answered = std::make_shared<bool>(false);
  fabric_.network.send(daemon_, database_.host(), [self, id, answered] {
    self->database_.connection_closed(id);
    self->fabric_.network.send(self->database_.host(), self->daemon_, [self, id, answered] {
      *answered = true;
      self->closing_.on_closed(id);
      self->report_held();
    });
  });
  fabric_.scheduler.after(wait, [self, id, wait, answered] {
    if (!*answered && !self->machine_lost_) {
      self->tell_close(id, 2 * wait);
    }
  });
}

void DatabaseLink::report_held() {
  changed_(live() + closing_.count_recent(daemon_.now()));
}

void DatabaseLink::shrink() {
  std::vector<standin::ConnectionId> idle;
  std::uint32_t over = live() > budget_.connections ? live() - budget_.connections : 0;
  for (auto& [id, connection] : connections_) {
    if (over == 0) {
      break;
    }
    --over;
    if (connection.call || !connection.open) {
      connection.doomed = true;
    } else {
      idle.push_back(id);
    }
  }
  for (const standin::ConnectionId id : idle) {
    drop(id);
  }
}

void DatabaseLink::keep_alive(standin::ConnectionId id) {
  const auto call = std::make_shared<LinkCall>();
  call->request = database::RollbackRequest{};
  call->done = [](const protocol::ForwardReply&) {};
  start(id, call);
}

}  // namespace pipitpond::simulation::group
