#include "pooling/statement_forwarder.hpp"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <iterator>
#include <utility>

#include "logging/logging.hpp"
#include "ownership/owner_choice.hpp"
#include "pooling/owner_preference.hpp"
#include "pooling/primary_proof_requests.hpp"
#include "wire/codec.hpp"

namespace pipitpond::pooling {

using boost::asio::awaitable;

namespace {

/// An owner that can't reach a database itself is not asked for it again for this long: a few of a database's
/// usual times, so that a cut is noticed to have ended soon and costs little while it lasts.
constexpr core::Duration kAvoidUnreached = std::chrono::milliseconds(250);
/// An owner that takes no new work is left alone for this long.
constexpr core::Duration kAvoidLeaving = std::chrono::milliseconds(1000);

std::uint32_t millis(core::Duration duration) {
  return static_cast<std::uint32_t>(std::max<std::int64_t>(core::to_millis(duration), 0));
}

core::Error not_run(const std::string& why) {
  return core::Error{core::ErrorKind::kConnectionRefused, why, "Choose another database, or try again.", 100};
}

/// Only these kinds say that the statement was not run.
bool may_have_run(const core::Error& error) {
  return error.kind != core::ErrorKind::kConnectionRefused && error.kind != core::ErrorKind::kUnavailable &&
         error.kind != core::ErrorKind::kNoCapacity && error.kind != core::ErrorKind::kLeaving;
}

/// Answers of any kind show that the owner lives.
void note_sign_of_life(OwnerLink& link, BatchNumber number, const core::Result<std::string>& reply) {
  const core::Instant now = core::BootClock::now();
  const core::ErrorKind kind = reply ? core::ErrorKind::kUnavailable : reply.error().kind;
  const bool unreached = kind == core::ErrorKind::kConnectionLost || kind == core::ErrorKind::kTimeout ||
                         kind == core::ErrorKind::kConnectionRefused;
  if (unreached) {
    link.health.on_abandoned(now, number, kind != core::ErrorKind::kTimeout);
  } else {
    link.health.on_answered(now, number);
  }
}

/// The part of a session's state that the statement needs.
SessionState state_for(const SessionState& session, const Statement& statement) {
  SessionState needed;
  needed.values = session.values;
  const auto shape = session.prepared.find(statement.name);
  if (statement.kind == StatementKind::kExecute && shape != session.prepared.end()) {
    needed.prepared.insert(*shape);
  }
  return needed;
}

}  // namespace

/// A connection at an owner, chosen when the first statement is sent.
class ForwardedLease : public StatementLease {
 public:
  ForwardedLease(StatementForwarder& forwarder, std::shared_ptr<BackendPool> pool,
                 std::vector<core::DaemonId> owners, const ConnectionRequest& request)
      : forwarder_(forwarder), pool_(std::move(pool)), owners_(std::move(owners)), request_(request) {}
  ~ForwardedLease() override { discard(); }
  ForwardedLease(const ForwardedLease&) = delete;
  ForwardedLease& operator=(const ForwardedLease&) = delete;

  awaitable<core::Result<StatementReply>> run(const SessionState& session, BackendStatement statement,
                                              core::Duration timeout) override {
    ForwardedStatement message;
    message.database = pool_->address().database;
    message.session = state_for(session, statement.statement);
    message.statement = std::move(statement.statement);
    message.after = statement.after;
    message.priority = request_.priority;
    message.tenant = request_.tenant.value_or(core::TenantName());
    const core::Instant give_up = core::BootClock::now() + timeout;
    if (transaction_ != 0) {
      co_return co_await run_in_transaction(std::move(message), give_up);
    }
    co_return co_await offer_to_owners(std::move(message), give_up);
  }

  void discard() override {
    if (transaction_ != 0) {
      link_->channel->notify(wire::MessageType::kTransactionEnd, wire::pack(ForwardedEnd{transaction_}));
      transaction_ = 0;
    }
  }

  [[nodiscard]] core::Duration max_connection_wait() const override {
    return transaction_ != 0 ? core::Duration::zero() : kMaxForwardWait;
  }

 private:
  /// Only owners that did not run the statement are followed by another one, and only within
  /// max_connection_wait: the position that a read must reach was chosen for no longer. After it, whoever
  /// asked chooses anew.
  awaitable<core::Result<StatementReply>> offer_to_owners(ForwardedStatement message, core::Instant give_up) {
    const core::Instant stop_offering =
        std::min(give_up, core::BootClock::now() + kFirstOwnersMaxWait * (kMaxOwnersTried - 1));
    std::vector<core::DaemonId> tried;
    core::Error last = not_run("No daemon that owns connections to the database can be reached.");
    while (std::ssize(tried) < kMaxOwnersTried) {
      const core::Instant now = core::BootClock::now();
      link_ = forwarder_.choose(owners_, tried, *pool_, message.tenant, now);
      if (!link_ || now > stop_offering) {
        break;
      }
      tried.push_back(link_->daemon);
      const bool last_one = std::ssize(tried) == kMaxOwnersTried || tried.size() == owners_.size();
      message.wait_ms = millis(last_one ? kLastOwnerMaxWait : kFirstOwnersMaxWait);
      auto answer = co_await ask(message, give_up);
      if (answer || may_have_run(answer.error())) {
        co_return answer;
      }
      last = answer.error();
      if (last.kind == core::ErrorKind::kUnavailable) {
        link_->unreached[pool_->address().database] = core::BootClock::now() + kAvoidUnreached;
      }
    }
    co_return not_run(last.message);
  }

  awaitable<core::Result<StatementReply>> run_in_transaction(ForwardedStatement message,
                                                             core::Instant give_up) {
    message.transaction = transaction_;
    auto answer = co_await ask(message, give_up);
    if (!answer && !may_have_run(answer.error())) {
      co_return not_run(answer.error().message);
    }
    co_return answer;
  }

  awaitable<core::Result<StatementReply>> ask(const ForwardedStatement& asked, core::Instant give_up) {
    const std::shared_ptr<OwnerLink> link = link_;
    const core::Instant sent = core::BootClock::now();
    ForwardedStatement message = asked;
    message.timeout_ms = millis(give_up - sent);
    message.goal_ms = millis(std::min(give_up, request_.goal) - sent);
    message.waited_ms = millis(sent - request_.since.value_or(sent));
    ++forwarder_.counters_.sent;
    ++link->outstanding;
    const BatchNumber number = link->health.on_sent(sent, false);
    std::string body = wire::pack(message);
    const auto reply = co_await link->channel->call(wire::MessageType::kStatement, std::move(body),
                                                    std::max(give_up - sent, core::Duration::zero()));
    --link->outstanding;
    const core::Instant now = core::BootClock::now();
    note(*link, number, reply, now);
    if (!reply) {
      co_return reply.error();
    }
    auto answer = wire::unpack<ForwardedAnswer>(reply.value());
    if (!answer) {
      co_return core::fail(core::ErrorKind::kConnectionLost, answer.error().message, answer.error().remedy);
    }
    pool_->note_latency(now - sent);
    transaction_ = answer.value().transaction;
    co_return std::move(answer.value().reply);
  }

  /// Answers of any kind show that the owner lives; what it says of the database is not held against it.
  void note(OwnerLink& link, BatchNumber number, const core::Result<std::string>& reply, core::Instant now) {
    note_sign_of_life(link, number, reply);
    if (reply) {
      return;
    }
    if (reply.error().kind == core::ErrorKind::kLeaving) {
      link.avoided_until = now + kAvoidLeaving;
    }
    ++(may_have_run(reply.error()) ? forwarder_.counters_.lost : forwarder_.counters_.not_run);
  }

  StatementForwarder& forwarder_;
  std::shared_ptr<BackendPool> pool_;
  std::vector<core::DaemonId> owners_;
  ConnectionRequest request_;
  std::shared_ptr<OwnerLink> link_;  ///< That has the transaction, or was asked last.
  ForwardedTransaction transaction_ = 0;
};

StatementForwarder::StatementForwarder(boost::asio::io_context& io, core::DaemonId self, core::ZoneName zone)
    : io_(io), self_(std::move(self)), zone_(std::move(zone)) {}

void StatementForwarder::apply(const protocol::Configuration& configuration) {
  std::erase_if(links_, [&configuration](const auto& entry) {
    const auto found = configuration.daemons.find(entry.first);
    return found == configuration.daemons.end() || found->second.internal != entry.second->endpoint ||
           found->second.incarnation != entry.second->incarnation;
  });
  for (const auto& [id, daemon] : configuration.daemons) {
    if (id == self_ || links_.contains(id)) {
      continue;
    }
    auto link = std::make_shared<OwnerLink>();
    link->daemon = id;
    link->endpoint = daemon.internal;
    link->zone = daemon.zone;
    link->incarnation = daemon.incarnation;
    link->preference = ownership::weight_of(self_, id);
    renew_channel(*link);
    links_.emplace(id, std::move(link));
  }
}

void StatementForwarder::renew_channel(OwnerLink& link) {
  link.channel = wire::Channel::create(io_, link.endpoint);
}

bool StatementForwarder::usable(const OwnerLink& link, const core::DatabaseId& database, core::Instant now) {
  const auto unreached = link.unreached.find(database);
  const bool reaches_it = unreached == link.unreached.end() || now >= unreached->second;
  return reaches_it && link.health.usable() && now >= link.avoided_until;
}

bool StatementForwarder::reaches(const std::vector<core::DaemonId>& owners, const core::DatabaseId& database,
                                 core::Instant now) const {
  return std::any_of(owners.begin(), owners.end(), [&](const core::DaemonId& owner) {
    const auto found = links_.find(owner);
    return found != links_.end() && usable(*found->second, database, now);
  });
}

std::unique_ptr<StatementLease> StatementForwarder::lease(const std::shared_ptr<BackendPool>& pool,
                                                          std::vector<core::DaemonId> owners,
                                                          const ConnectionRequest& request) {
  return std::make_unique<ForwardedLease>(*this, pool, std::move(owners), request);
}

awaitable<core::Result<BackendStatus>> StatementForwarder::status(std::shared_ptr<BackendPool> pool,
                                                                  std::vector<core::DaemonId> owners,
                                                                  core::Duration timeout) {
  const LinkPointer link = choose(owners, {}, *pool, {}, core::BootClock::now());
  if (!link) {
    co_return not_run("No daemon that owns connections to the database can be reached.");
  }
  std::string body = wire::pack(ForwardedStatusRequest{pool->address().database, millis(timeout)});
  const auto answer =
      co_await link->channel->call(wire::MessageType::kDatabaseStatus, std::move(body), timeout);
  if (!answer) {
    co_return answer.error();
  }
  co_return wire::unpack<BackendStatus>(answer.value());
}

awaitable<core::Result<PositionReply>> StatementForwarder::positions(std::shared_ptr<BackendPool> primary,
                                                                     std::vector<core::DaemonId> owners,
                                                                     PositionRequest request,
                                                                     core::Duration timeout) {
  const LinkPointer link = choose(owners, {}, *primary, {}, core::BootClock::now());
  if (!link) {
    co_return not_run("No daemon that owns connections to the primary can be reached.");
  }
  ++counters_.positions_asked;
  const auto answer =
      co_await link->channel->call(wire::MessageType::kPrimaryPositions, wire::pack(request), timeout);
  if (!answer) {
    co_return answer.error();
  }
  auto reply = wire::unpack<PositionReply>(answer.value());
  if (reply && !reply.value().positions.empty()) {
    ++counters_.positions_received;
  }
  co_return reply;
}

awaitable<core::Result<ShownPrimaryReply>> StatementForwarder::shown_primary(
    std::shared_ptr<BackendPool> primary, std::vector<core::DaemonId> owners,
    std::vector<core::DaemonId>& tried, ShownPrimaryRequest request) {
  const core::Instant sent = core::BootClock::now();
  const LinkPointer link = choose(owners, tried, *primary, {}, sent);
  if (!link) {
    co_return not_run("No daemon that owns connections to the primary can be reached.");
  }
  tried.push_back(link->daemon);
  const BatchNumber number = link->health.on_sent(sent, false);
  const core::Duration timeout = std::chrono::milliseconds(request.timeout_ms) + kProofRoundTripAllowance;
  const auto answer =
      co_await link->channel->call(wire::MessageType::kShownPrimary, wire::pack(request), timeout);
  note_sign_of_life(*link, number, answer);
  if (!answer) {
    co_return answer.error();
  }
  co_return wire::unpack<ShownPrimaryReply>(answer.value());
}

StatementForwarder::LinkPointer StatementForwarder::choose(const std::vector<core::DaemonId>& owners,
                                                           const std::vector<core::DaemonId>& tried,
                                                           const BackendPool& pool,
                                                           const core::TenantName& tenant,
                                                           core::Instant now) const {
  const OwnerQuery question{tenant, zone_, pool.zone()};
  LinkPointer best;
  OwnerRank least;
  for (const core::DaemonId& owner : owners) {
    const auto found = links_.find(owner);
    const bool offered = std::find(tried.begin(), tried.end(), owner) != tried.end();
    if (found == links_.end() || offered || !usable(*found->second, pool.address().database, now)) {
      continue;
    }
    const LinkPointer& link = found->second;
    const OwnerRank its_rank =
        rank(OwnerCandidate{&link->daemon, &link->zone, link->outstanding, link->preference}, question);
    if (!best || its_rank < least) {
      best = link;
      least = its_rank;
    }
  }
  return best;
}

bool StatementForwarder::prefers_other_owner(const std::vector<core::DaemonId>& owners,
                                             const BackendPool& pool, const core::TenantName& tenant,
                                             core::Instant now) const {
  const LinkPointer best = choose(owners, {}, pool, tenant, now);
  const OwnerQuery question{tenant, zone_, pool.zone()};
  return best && rank(OwnerCandidate{&best->daemon, &best->zone, best->outstanding, best->preference},
                      question) < rank(OwnerCandidate{&self_, &zone_, 0, 0}, question);
}

void StatementForwarder::tick(core::Instant now) {
  for (const auto& [id, link] : links_) {
    if (link->health.take_probe(now)) {
      ++counters_.probes;
      boost::asio::co_spawn(io_, probe(link), boost::asio::detached);
    }
  }
}

awaitable<void> StatementForwarder::probe(LinkPointer link) {
  const bool was_usable = link->health.usable();
  const auto answer =
      co_await link->channel->call(wire::MessageType::kPeerProbe, std::string(), kSuspectProbeTimeout);
  const bool refused = !answer && answer.error().kind != core::ErrorKind::kTimeout;
  link->health.on_probe_result(core::BootClock::now(), answer.has_value(), refused);
  if (was_usable && !link->health.usable()) {
    logging::logger("forward")->warn("event=suspect daemon={} suspicion=unreachable given_up={}",
                                     link->daemon.value(), link->outstanding);
    renew_channel(*link);  // Ends what waits for it.
  } else if (!was_usable && link->health.usable()) {
    logging::logger("forward")->info("event=trust daemon={}", link->daemon.value());
  }
}

}  // namespace pipitpond::pooling
