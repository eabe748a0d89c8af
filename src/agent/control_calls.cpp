#include "agent/control_calls.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

#include "wire/codec.hpp"
#include "wire/compact.hpp"

namespace pipitpond::agent {

namespace asio = boost::asio;
using asio::awaitable;
using wire::MessageType;

ControlCalls::ControlCalls(asio::io_context& io, TranslateEndpoint translate, logging::Logger log)
    : io_(io), translate_(std::move(translate)), fetch_log_(std::move(log)) {}

void ControlCalls::close() {
  answers_ = nullptr;
  awaited_.reset();
  channels_.clear();
}

ControlCalls::ChannelPointer ControlCalls::channel(const core::Endpoint& peer) {
  ChannelPointer& channel = channels_[peer];
  if (channel == nullptr) {
    auto push = [weak = weak_from_this(), peer](MessageType type, const std::string& body) {
      const auto self = weak.lock();
      if (self && self->answers_ != nullptr) {
        self->answers_->on_push(peer, type, body);
      }
    };
    channel = wire::Channel::create(io_, translate_ ? translate_(peer) : peer, std::move(push));
  }
  return channel;
}

void ControlCalls::tick(core::Instant now, protocol::Revision revision) {
  give_up_silent_fetch(now);
  fetch_log_.tick(now, revision, received_bytes());
}

std::uint64_t ControlCalls::bytes() const {
  std::uint64_t sent = 0;
  for (const auto& [peer, channel] : channels_) {
    sent += channel->bytes_sent();
  }
  return sent + received_bytes();
}

std::uint64_t ControlCalls::received_bytes() const {
  std::uint64_t bytes = 0;
  for (const auto& [peer, channel] : channels_) {
    bytes += channel->bytes_received();
  }
  return bytes;
}

void ControlCalls::watch(core::Duration duration, std::shared_ptr<bool> settled,
                         std::function<void()> overdue) {
  const auto timer = std::make_shared<asio::steady_timer>(io_, duration);
  timer->async_wait([timer, weak = weak_from_this(), settled = std::move(settled),
                     overdue = std::move(overdue)](const boost::system::error_code& cancelled) {
    const auto self = weak.lock();
    if (!cancelled && self && self->answers_ != nullptr && !std::exchange(*settled, true)) {
      overdue();
    }
  });
}

// --- Heartbeats and probes
// -----------------------------------------------------------------------------------

void ControlCalls::send(SendHeartbeat effect) {
  ChannelPointer to = channel(effect.to);
  asio::co_spawn(io_, call_heartbeat(weak_from_this(), std::move(to), std::move(effect)), asio::detached);
}

awaitable<void> ControlCalls::call_heartbeat(Weak weak, ChannelPointer channel, SendHeartbeat effect) {
  const auto settled = std::make_shared<bool>(false);
  if (const auto self = weak.lock()) {
    self->watch(effect.timeout, settled,
                [calls = self.get(), channel, to = effect.to, sequence = effect.heartbeat.sequence] {
                  channel->check_alive();
                  calls->answers_->on_heartbeat_failed(to, sequence);
                });
  }
  std::string body = wire::pack(effect.heartbeat);
  const auto answer = co_await channel->call(MessageType::kHeartbeat, std::move(body), kLateAnswerLimit);
  const bool was_overdue = std::exchange(*settled, true);
  const auto self = weak.lock();
  if (!self || self->answers_ == nullptr) {
    co_return;
  }
  const auto reply = answer ? wire::unpack<protocol::HeartbeatReply>(answer.value())
                            : core::Result<protocol::HeartbeatReply>(answer.error());
  if (reply) {
    self->answers_->on_heartbeat_reply(effect.to, reply.value());
  } else if (!was_overdue) {
    self->answers_->on_heartbeat_failed(effect.to, effect.heartbeat.sequence);
  }
}

void ControlCalls::probe(SendFetch effect) {
  ChannelPointer to = channel(effect.to);
  asio::co_spawn(io_, call_probe(weak_from_this(), std::move(to), std::move(effect)), asio::detached);
}

awaitable<void> ControlCalls::call_probe(Weak weak, ChannelPointer channel, SendFetch effect) {
  const auto settled = std::make_shared<bool>(false);
  if (const auto self = weak.lock()) {
    self->watch(effect.timeout, settled, [calls = self.get(), channel, to = effect.to] {
      channel->check_alive();
      calls->answers_->on_probe_ended(to, false);
    });
  }
  std::string body = wire::pack(effect.request);
  const auto answer = co_await channel->call(MessageType::kFetch, std::move(body), kLateAnswerLimit);
  const bool was_overdue = std::exchange(*settled, true);
  const auto self = weak.lock();
  if (self && self->answers_ != nullptr && (answer.has_value() || !was_overdue)) {
    self->answers_->on_probe_ended(effect.to, answer.has_value());
  }
}

// --- Fetches
// -----------------------------------------------------------------------------------------------

void ControlCalls::send(SendFetch effect) {
  if (effect.probe) {
    probe(std::move(effect));
    return;
  }
  if (owing_.contains(effect.to)) {
    answers_->on_fetch_failed(effect.to);
    return;
  }
  const core::Instant now = core::BootClock::now();
  const ChannelPointer to = channel(effect.to);
  owing_[effect.to] = ++last_fetch_;
  fetch_log_.on_begun(now);
  awaited_ = Fetch{last_fetch_, std::move(effect), now, now, to->bytes_received()};
  asio::co_spawn(io_, call_fetch(weak_from_this(), to, *awaited_), asio::detached);
}

awaitable<void> ControlCalls::call_fetch(Weak weak, ChannelPointer channel, Fetch fetch) {
  bool goes_on = true;
  while (goes_on) {
    std::string body;
    if (const auto self = weak.lock()) {
      const protocol::FetchRequest& asked = fetch.effect.request;
      body = wire::pack(self->transfer_.request(asked.daemon, asked.after));
    }
    const auto answer = co_await channel->call(MessageType::kFetch, std::move(body), kLatePageLimit);
    const auto self = weak.lock();
    if (!self || self->answers_ == nullptr) {
      co_return;
    }
    goes_on = self->take_answer(fetch, answer);
    if (!goes_on) {
      self->no_longer_owing(fetch);
    }
  }
}

void ControlCalls::no_longer_owing(const Fetch& fetch) {
  const auto owed = owing_.find(fetch.effect.to);
  if (owed != owing_.end() && owed->second == fetch.number) {
    owing_.erase(owed);
  }
}

bool ControlCalls::take_answer(const Fetch& fetch, const core::Result<std::string>& answer) {
  if (!answer) {
    fail(fetch, core::describe(answer.error()));
    return false;
  }
  const auto page = wire::unpack<protocol::FetchPage>(answer.value());
  if (!page) {
    fail(fetch, core::describe(page.error()));
    return false;
  }
  return take_page(fetch, page.value());
}

bool ControlCalls::take_page(const Fetch& fetch, const protocol::FetchPage& page) {
  const bool of_use = transfer_.take(fetch.effect.request.after, page, awaited(fetch));
  const std::optional<std::string> whole = transfer_.take_whole();
  if (whole) {
    deliver(fetch, *whole, page);
    return false;
  }
  if (!of_use) {
    fail(fetch, "The page does not go on with what has come.");
  }
  return of_use && awaited(fetch);
}

void ControlCalls::deliver(const Fetch& fetch, const std::string& packed,
                           const protocol::FetchPage& last_page) {
  auto reply = wire::unpack_compact<protocol::FetchReply>(packed);
  if (!reply) {
    fail(fetch, core::describe(reply.error()));
    return;
  }
  fetch_log_.on_completed(fetch.effect.to, core::BootClock::now() - fetch.begun, packed.size());
  awaited_.reset();
  // Before anything is reported, for the next fetch may be of the same replica.
  no_longer_owing(fetch);
  answers_->on_fetched(fetch.effect.to,
                       FetchedAnswer{std::move(reply.value()), last_page.revision, last_page.newest});
}

void ControlCalls::fail(const Fetch& fetch, const std::string& reason) {
  if (!awaited(fetch)) {
    return;
  }
  awaited_.reset();
  fetch_log_.on_failed(fetch.effect.to, core::BootClock::now() - fetch.begun, reason);
  answers_->on_fetch_failed(fetch.effect.to);
}

void ControlCalls::give_up_silent_fetch(core::Instant now) {
  if (!awaited_) {
    return;
  }
  const ChannelPointer from = channel(awaited_->effect.to);
  const std::uint64_t received = from->bytes_received();
  if (received != awaited_->bytes_before) {
    awaited_->bytes_before = received;
    awaited_->progress_at = now;
    return;
  }
  if (now - awaited_->progress_at >= awaited_->effect.timeout) {
    from->check_alive();
    fail(Fetch(*awaited_), "Nothing came in time.");
  }
}

}  // namespace pipitpond::agent
