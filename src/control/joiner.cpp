#include "control/joiner.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <string>
#include <utility>

#include "logging/logging.hpp"

namespace pipitpond::control {
namespace {

using boost::asio::awaitable;

/// Between requests to join: a third of the shortest election timeout, so that a leader that is just elected
/// hears one soon. A request is some 100 bytes to each known replica.
constexpr core::Duration kJoinInterval = std::chrono::milliseconds(100);
constexpr core::Duration kLineInterval = std::chrono::seconds(1);

std::string describe(const std::vector<core::Endpoint>& endpoints) {
  std::string text;
  for (const core::Endpoint& endpoint : endpoints) {
    text += (text.empty() ? "" : ",") + core::to_string(endpoint);
  }
  return logging::field(text);
}

}  // namespace

Joiner::Joiner(boost::asio::io_context& io, const raft::Node& node, PeerChannels& peers, Peer self,
               std::vector<Peer> configured)
    : io_(io), node_(node), peers_(peers), self_(std::move(self)), configured_(std::move(configured)) {}

awaitable<void> Joiner::run() {
  while (!stopped_) {
    if (node_.wants_to_join()) {
      ask();
    } else {
      asking_since_.reset();
    }
    boost::system::error_code ignored;
    boost::asio::steady_timer timer(io_, kJoinInterval);
    co_await timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
  }
}

void Joiner::ask() {
  const raft::Member member{
      node_.config().id, self_.internal, self_.operators, raft::MemberRole::kLearner, {}};
  const raft::Message request = node_.join_request(member);
  std::vector<core::Endpoint> asked;
  for (const Peer& peer : configured_) {
    if (peer.internal != self_.internal) {
      asked.push_back(peer.internal);
    }
  }
  for (const core::Endpoint& replica : asked) {
    peers_.send(replica, request);
  }
  log_request(core::BootClock::now(), asked);
}

void Joiner::log_request(core::Instant now, const std::vector<core::Endpoint>& asked) {
  if (!asking_since_) {
    asking_since_ = now;
    next_line_ = now;
  }
  if (now < next_line_) {
    return;
  }
  next_line_ = now + kLineInterval;
  logging::logger("control")->info("event=asks_to_join identity={} for_ms={} asked={}",
                                   logging::field(node_.config().id.value()),
                                   core::to_millis(now - *asking_since_), describe(asked));
}

}  // namespace pipitpond::control
