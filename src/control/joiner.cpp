#include "control/joiner.hpp"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <string>
#include <utility>

#include "logging/logging.hpp"

namespace pipitpond::control {
namespace {

using boost::asio::awaitable;

/// Between requests to join: at first a third of the shortest election timeout, so that a leader that is just
/// elected hears one soon. A request is some 100 bytes to each known replica. The pause grows with the time
/// that was spent asking.
constexpr core::Duration kJoinInterval = std::chrono::milliseconds(100);
constexpr core::Duration kLongestJoinInterval = std::chrono::milliseconds(400);
constexpr int kPartOfTimeAsking = 8;
constexpr core::Duration kLineInterval = std::chrono::seconds(1);

std::string describe(const std::vector<core::Endpoint>& endpoints) {
  std::string text;
  for (const core::Endpoint& endpoint : endpoints) {
    text += (text.empty() ? "" : ",") + core::to_string(endpoint);
  }
  return logging::field(text);
}

const char* name_of(raft::JoinRefusal refusal) {
  switch (refusal) {
    case raft::JoinRefusal::kNotLeader:
      return "not_leader";
    case raft::JoinRefusal::kChangePending:
      return "change_pending";
    case raft::JoinRefusal::kPlaceIsTaken:
      return "place_is_taken";
    case raft::JoinRefusal::kNotAllowed:
      return "not_allowed";
  }
  return "unknown";
}

}  // namespace

Joiner::Joiner(boost::asio::io_context& io, const raft::Node& node, PeerChannels& peers,
               SendToCallers send_to_callers, Peer self, std::vector<Peer> configured)
    : io_(io),
      node_(node),
      peers_(peers),
      send_to_callers_(std::move(send_to_callers)),
      self_(std::move(self)),
      configured_(std::move(configured)) {}

awaitable<void> Joiner::run() {
  while (!stopped_) {
    const core::Instant now = core::BootClock::now();
    if (node_.wants_to_join()) {
      ask(now);
    } else {
      asking_since_.reset();
    }
    boost::system::error_code ignored;
    boost::asio::steady_timer timer(io_, pause(now));
    co_await timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
  }
}

core::Duration Joiner::pause(core::Instant now) const {
  const core::Duration asking = asking_since_ ? now - *asking_since_ : core::Duration::zero();
  return std::clamp(asking / kPartOfTimeAsking, kJoinInterval, kLongestJoinInterval);
}

std::vector<core::Endpoint> Joiner::targets() const {
  std::vector<core::Endpoint> targets = node_.join_endpoints();
  for (const Peer& peer : configured_) {
    if (std::find(targets.begin(), targets.end(), peer.internal) == targets.end()) {
      targets.push_back(peer.internal);
    }
  }
  std::erase(targets, self_.internal);
  return targets;
}

void Joiner::ask(core::Instant now) {
  const raft::Member member{
      node_.config().id, self_.internal, self_.operators, raft::MemberRole::kLearner, {}};
  const raft::Message request = node_.join_request(member);
  const std::vector<core::Endpoint> asked = targets();
  for (const core::Endpoint& replica : asked) {
    peers_.send(replica, request);
  }
  send_to_callers_(request);
  log_request(now, asked);
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
  const std::optional<raft::LastJoinReply>& answer = node_.last_join_reply();
  const bool answered = answer && answer->at >= *asking_since_;
  logging::logger("control")->info(
      "event=asks_to_join identity={} for_ms={} asked={} answered_by={} refusal={} leader={}",
      logging::field(node_.config().id.value()), core::to_millis(now - *asking_since_), describe(asked),
      logging::field(answered ? answer->from.value() : ""), answered ? name_of(answer->refusal) : "-",
      logging::field(answered ? answer->leader.value() : ""));
}

}  // namespace pipitpond::control
