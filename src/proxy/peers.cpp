#include "proxy/peers.hpp"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <utility>

#include "logging/logging.hpp"
#include "protocol/tunables.hpp"
#include "wire/codec.hpp"

namespace pipitpond::proxy {
namespace {

/// A tick that comes this late shows that this process itself stood still.
constexpr core::Duration kStandstill = std::chrono::milliseconds(150);

std::uint32_t retry_after_ms() {
  return static_cast<std::uint32_t>(core::to_millis(protocol::kPeerSilenceRetryAfter));
}

core::Error not_sent_error(const core::DaemonId& daemon) {
  return {core::ErrorKind::kConnectionRefused,
          "Daemon " + daemon.value() + " is silent; nothing was sent to it.",
          "Send the request again; another daemon serves it.", retry_after_ms()};
}

core::Error fell_silent_error(const core::DaemonId& daemon) {
  return {core::ErrorKind::kTimeout, "Daemon " + daemon.value() + " fell silent while it had the request.",
          "Ask for the key's outcome before a retry.", retry_after_ms()};
}

core::Error timed_out_error(const core::DaemonId& daemon) {
  return {core::ErrorKind::kTimeout, "Daemon " + daemon.value() + " did not answer in time.",
          "Ask for the key's outcome before a retry.", 0};
}

bool connection_failed(const core::Error& error) {
  return error.kind == core::ErrorKind::kConnectionRefused || error.kind == core::ErrorKind::kConnectionLost;
}

/// Reads an answer; one that can't be read leaves open what became of the request.
Forwarded read_reply(const core::RequestId& request, const core::Result<std::string>& answer) {
  if (!answer) {
    return core::outcome::failure(answer.error());
  }
  auto reply = wire::unpack<protocol::ForwardReply>(answer.value());
  if (!reply) {
    return core::fail(core::ErrorKind::kConnectionLost, reply.error().message, reply.error().remedy);
  }
  if (reply.value().request != request) {
    return core::fail(core::ErrorKind::kConnectionLost, "A daemon answered another request.",
                      "Ask for the key's outcome.");
  }
  return std::move(reply).value();
}

}  // namespace

Peers::Peers(boost::asio::io_context& io, core::DaemonId self)
    : io_(io), self_(std::move(self)), last_tick_(core::BootClock::now()) {}

void Peers::apply(const protocol::Configuration& configuration) {
  std::erase_if(peers_, [&configuration](const auto& entry) {
    const auto found = configuration.daemons.find(entry.first);
    return found == configuration.daemons.end() || found->second.internal != entry.second->endpoint ||
           found->second.incarnation != entry.second->incarnation;
  });
  for (const auto& [id, daemon] : configuration.daemons) {
    if (id == self_ || peers_.contains(id)) {
      continue;
    }
    auto peer = std::make_shared<Peer>();
    peer->daemon = id;
    peer->endpoint = daemon.internal;
    peer->incarnation = daemon.incarnation;
    peer->channel = wire::Channel::create(io_, daemon.internal);
    peers_.emplace(id, std::move(peer));
  }
}

void Peers::tick(core::Instant now) {
  const bool stood_still = now - last_tick_ > kStandstill;
  last_tick_ = now;
  for (const auto& [id, peer] : peers_) {
    if (stood_still) {
      peer->health.on_standstill(now);  // What came meanwhile has not been read yet.
    }
    check(peer, now);
  }
}

void Peers::check(const PeerPointer& peer, core::Instant now) {
  const std::uint64_t received = peer->channel->bytes_received();
  if (received != peer->bytes_received) {
    // Also a part of a long answer shows that the daemon lives.
    peer->bytes_received = received;
    peer->health.on_heard(now);
  }
  if (peer->health.check(now)) {
    give_up_waiting(*peer);
  }
  if (peer->health.ping_due(now, peer->outstanding > 0)) {
    boost::asio::co_spawn(io_, ping(peer, protocol::kPeerSilenceMax), boost::asio::detached);
  }
}

void Peers::give_up_waiting(Peer& peer) {
  ++counts_.fell_silent;
  counts_.given_up += peer.waiting.size();
  logging::logger("proxy")->warn("Daemon {} is silent; {} requests that it holds are given up.",
                                 peer.daemon.value(), peer.waiting.size());
  for (const auto& waiting : peer.waiting) {
    waiting->provide(Forwarded(core::outcome::failure(fell_silent_error(peer.daemon))));
  }
}

boost::asio::awaitable<void> Peers::ping(PeerPointer peer, core::Duration timeout) {
  protocol::ForwardRequest question;
  question.request = core::RequestId("ping");
  question.operation = protocol::Operation::kPing;
  peer->health.on_ping_sent(core::BootClock::now());
  std::string body = wire::pack(question);
  const auto answer = co_await peer->channel->call(wire::MessageType::kForward, std::move(body), timeout);
  const core::Instant now = core::BootClock::now();
  if (!answer && connection_failed(answer.error())) {
    peer->contacted = false;
    peer->clock.forget();
    peer->health.on_lost(now);
    co_return;
  }
  if (!answer && answer.error().kind == core::ErrorKind::kTimeout) {
    peer->health.on_ping_failed();
    co_return;
  }
  // A daemon of an older version answers with an error, which is a sign of life as well.
  if (answer) {
    const auto reply = wire::unpack<protocol::ForwardReply>(answer.value());
    peer->clock.observe(reply ? reply.value().clock_us : 0, now);
  }
  peer->health.on_ping_answered(now);
  peer->contacted = true;
}

boost::asio::awaitable<void> Peers::call(PeerPointer peer, protocol::ForwardRequest request,
                                         core::Duration timeout, std::shared_ptr<Waiter<Forwarded>> waiting) {
  std::string body = wire::pack(request);
  const auto answer = co_await peer->channel->call(wire::MessageType::kForward, std::move(body), timeout);
  Forwarded reply = read_reply(request.request, answer);
  const core::Instant now = core::BootClock::now();
  if (reply) {
    peer->health.on_heard(now);
    peer->clock.observe(reply.value().clock_us, now);
  } else if (connection_failed(reply.error())) {
    peer->contacted = false;
    peer->clock.forget();
    peer->health.on_lost(now);
  }
  waiting->provide(std::move(reply));
}

boost::asio::awaitable<Forwarded> Peers::forward(core::DaemonId daemon, protocol::ForwardRequest request,
                                                 core::Duration timeout) {
  const auto found = peers_.find(daemon);
  if (found == peers_.end()) {
    co_return core::fail(core::ErrorKind::kConnectionRefused, "Daemon " + daemon.value() + " is not known.",
                         "Send the request again; the fleet's configuration is changing.", 50);
  }
  const PeerPointer peer = found->second;
  ++peer->outstanding;
  Forwarded reply = co_await send(peer, std::move(request), timeout);
  --peer->outstanding;
  co_return reply;
}

boost::asio::awaitable<Forwarded> Peers::send(PeerPointer peer, protocol::ForwardRequest request,
                                              core::Duration timeout) {
  const core::Instant give_up = core::BootClock::now() + timeout;
  // The first request after a connection was made is sent when the daemon has told its clock.
  if (peer->answers() && !peer->contacted) {
    co_await ping(peer, std::min(timeout, peer->health.silence_limit()));
  }
  const core::Duration left = time_left(give_up);
  if (!peer->answers() || !peer->contacted || left == core::Duration::zero()) {
    co_return core::outcome::failure(not_sent_error(peer->daemon));
  }
  const core::Duration pick_up = peer->health.silence_limit() + protocol::kPeerPingInterval;
  request.sent_at_us = peer->clock.reading_at(core::BootClock::now());
  request.pick_up_ms = static_cast<std::uint32_t>(core::to_millis(pick_up));
  request.deadline_ms = std::min(request.deadline_ms, static_cast<std::uint32_t>(core::to_millis(left)));
  auto waiting = std::make_shared<Waiter<Forwarded>>(io_);
  peer->waiting.insert(waiting);
  boost::asio::co_spawn(io_, call(peer, std::move(request), left, waiting), boost::asio::detached);
  std::optional<Forwarded> reply = co_await waiting->wait_until(give_up);
  peer->waiting.erase(waiting);
  if (!reply) {
    co_return core::outcome::failure(timed_out_error(peer->daemon));
  }
  co_return std::move(*reply);
}

const Peer* Peers::find(const core::DaemonId& daemon) const {
  const auto found = peers_.find(daemon);
  return found == peers_.end() ? nullptr : found->second.get();
}

std::size_t Peers::silent() const {
  return static_cast<std::size_t>(std::count_if(peers_.begin(), peers_.end(),
                                                [](const auto& entry) { return !entry.second->answers(); }));
}

}  // namespace pipitpond::proxy
