// A daemon's calls to control: heartbeats, probes and fetches, over one channel to each replica.
//
// Each call is overdue after a while: the session is told so and turns to another replica. The call itself
// goes on, and an answer that comes late is handed over all the same. Time limits that dropped late answers
// kept daemons behind a slow link without a configuration and without a lease for good.
#pragma once

#include <utility>  // Before Asio's coroutine headers, which lack it.
//
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "agent/fetch_log.hpp"
#include "agent/fetch_transfer.hpp"
#include "agent/session.hpp"
#include "core/endpoint.hpp"
#include "core/error.hpp"
#include "protocol/control_messages.hpp"
#include "wire/channel.hpp"

namespace pipitpond::agent {

/// Where to connect to for an endpoint that control names. Empty: the endpoint itself.
using TranslateEndpoint = std::function<core::Endpoint(const core::Endpoint&)>;

/// An answer to a fetch that came whole.
struct FetchedAnswer {
  protocol::FetchReply reply;
  protocol::Revision leads_to = 0;  ///< The replica's revision when the answer was packed.
  protocol::Revision newest = 0;    ///< The same when the last page was sent.
};

/// What came of the calls.
class ControlAnswers {
 public:
  virtual ~ControlAnswers() = default;
  virtual void on_heartbeat_reply(const core::Endpoint& from, const protocol::HeartbeatReply& reply) = 0;
  virtual void on_heartbeat_failed(const core::Endpoint& from, std::uint64_t sequence) = 0;
  virtual void on_probe_ended(const core::Endpoint& from, bool answered) = 0;
  virtual void on_fetched(const core::Endpoint& from, FetchedAnswer answer) = 0;
  virtual void on_fetch_failed(const core::Endpoint& from) = 0;
  virtual void on_push(const core::Endpoint& from, wire::MessageType type, const std::string& body) = 0;
};

/// Carries out what the session decides. Hold it by shared_ptr: running calls refer to it weakly.
class ControlCalls : public std::enable_shared_from_this<ControlCalls> {
 public:
  ControlCalls(boost::asio::io_context& io, TranslateEndpoint translate, logging::Logger log);

  /// To be called before the first call. `answers` is used until close().
  void set_answers(ControlAnswers* answers) { answers_ = answers; }
  /// Ends all calls; nothing is reported any more.
  void close();

  void send(SendHeartbeat effect);
  void send(SendFetch effect);
  /// For calls of other messages.
  std::shared_ptr<wire::Channel> channel(const core::Endpoint& peer);
  /// Call with each tick of the session.
  void tick(core::Instant now, protocol::Revision revision);

  /// Bytes exchanged with control since start, both directions, frames included.
  [[nodiscard]] std::uint64_t bytes() const;
  [[nodiscard]] const FetchCounters& fetch_counters() const { return fetch_log_.counters(); }

 private:
  using Weak = std::weak_ptr<ControlCalls>;
  using ChannelPointer = std::shared_ptr<wire::Channel>;
  /// One fetch: the pages that are asked of one replica, one after the other.
  struct Fetch {
    std::uint64_t number = 0;
    SendFetch effect;
    core::Instant begun;
    core::Instant progress_at;       ///< When bytes came last.
    std::uint64_t bytes_before = 0;  ///< That the channel had received then.
  };

  void probe(SendFetch effect);
  static boost::asio::awaitable<void> call_heartbeat(Weak weak, ChannelPointer channel, SendHeartbeat effect);
  static boost::asio::awaitable<void> call_probe(Weak weak, ChannelPointer channel, SendFetch effect);
  static boost::asio::awaitable<void> call_fetch(Weak weak, ChannelPointer channel, Fetch fetch);
  /// Runs `overdue` and sets `settled` after the duration, unless it is set by then.
  void watch(core::Duration duration, std::shared_ptr<bool> settled, std::function<void()> overdue);

  /// True when the fetch goes on with the next page.
  bool take_answer(const Fetch& fetch, const core::Result<std::string>& answer);
  bool take_page(const Fetch& fetch, const protocol::FetchPage& page);
  void deliver(const Fetch& fetch, const std::string& packed, const protocol::FetchPage& last_page);
  void no_longer_owing(const Fetch& fetch);
  void fail(const Fetch& fetch, const std::string& reason);
  /// Gives the awaited fetch up once its channel has been silent for too long.
  void give_up_silent_fetch(core::Instant now);
  [[nodiscard]] bool awaited(const Fetch& fetch) const {
    return awaited_ && awaited_->number == fetch.number;
  }
  [[nodiscard]] std::uint64_t received_bytes() const;

  boost::asio::io_context& io_;
  TranslateEndpoint translate_;
  ControlAnswers* answers_ = nullptr;
  FetchLog fetch_log_;
  std::map<core::Endpoint, ChannelPointer> channels_;
  FetchTransfer transfer_;
  std::optional<Fetch> awaited_;  ///< The fetch that the session waits for.
  std::uint64_t last_fetch_ = 0;
  /// Replicas that owe a page, and for which fetch: one each, so that late pages are bounded.
  std::map<core::Endpoint, std::uint64_t> owing_;
};

/// How long an answer may come after the call was overdue.
inline constexpr core::Duration kLateAnswerLimit = protocol::kDaemonLease;
/// The same for a page. A replica that is gone is found out much earlier, by its silence.
inline constexpr core::Duration kLatePageLimit = std::chrono::seconds(60);

}  // namespace pipitpond::agent
