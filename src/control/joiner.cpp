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

/// Interval between join requests: initially a third of the minimum election timeout, so that a newly elected
/// leader receives one soon. A request sends about 100 bytes to each known replica. The interval grows with
/// the time since the first request.
constexpr core::Duration kMinJoinInterval = std::chrono::milliseconds(100);
constexpr core::Duration kMaxJoinInterval = std::chrono::milliseconds(400);
constexpr int kJoinIntervalDivisor = 8;
constexpr core::Duration kLogInterval = std::chrono::seconds(1);

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
               SendToConnectedReplicas send_to_connected_replicas, Peer self,
               std::vector<Peer> configured_peers)
    : io_(io),
      node_(node),
      peers_(peers),
      send_to_connected_replicas_(std::move(send_to_connected_replicas)),
      self_(std::move(self)),
      configured_peers_(std::move(configured_peers)) {}

awaitable<void> Joiner::run() {
  while (!stopped_) {
    const core::Instant now = core::BootClock::now();
    if (node_.wants_to_join()) {
      send_requests(now);
    } else {
      first_request_at_.reset();
    }
    boost::system::error_code ignored;
    boost::asio::steady_timer timer(io_, interval(now));
    co_await timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
  }
}

core::Duration Joiner::interval(core::Instant now) const {
  const core::Duration elapsed = first_request_at_ ? now - *first_request_at_ : core::Duration::zero();
  return std::clamp(elapsed / kJoinIntervalDivisor, kMinJoinInterval, kMaxJoinInterval);
}

std::vector<core::Endpoint> Joiner::targets() const {
  std::vector<core::Endpoint> targets = node_.join_endpoints();
  for (const Peer& peer : configured_peers_) {
    if (std::find(targets.begin(), targets.end(), peer.internal) == targets.end()) {
      targets.push_back(peer.internal);
    }
  }
  std::erase(targets, self_.internal);
  return targets;
}

void Joiner::send_requests(core::Instant now) {
  const raft::Member member{
      node_.config().id, self_.internal, self_.operators, raft::MemberRole::kLearner, {}};
  const raft::Message request = node_.join_request(member);
  const std::vector<core::Endpoint> recipients = targets();
  for (const core::Endpoint& replica : recipients) {
    peers_.send(replica, request);
  }
  send_to_connected_replicas_(request);
  log_request(now, recipients);
}

void Joiner::log_request(core::Instant now, const std::vector<core::Endpoint>& recipients) {
  if (!first_request_at_) {
    first_request_at_ = now;
    next_log_at_ = now;
  }
  if (now < next_log_at_) {
    return;
  }
  next_log_at_ = now + kLogInterval;
  const std::optional<raft::LastJoinReply>& answer = node_.last_join_reply();
  const bool answered = answer && answer->at >= *first_request_at_;
  logging::logger("control")->info(
      "event=asks_to_join identity={} for_ms={} asked={} answered_by={} refusal={} leader={}",
      logging::field(node_.config().id.value()), core::to_millis(now - *first_request_at_),
      describe(recipients), logging::field(answered ? answer->from.value() : ""),
      answered ? name_of(answer->refusal) : "-", logging::field(answered ? answer->leader.value() : ""));
}

}  // namespace pipitpond::control
