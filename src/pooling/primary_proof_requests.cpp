#include "pooling/primary_proof_requests.hpp"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace pipitpond::pooling {
namespace {

ShownPrimaryRequest request_for(const core::GroupName& group, core::Duration age) {
  ShownPrimaryRequest request;
  request.group = group;
  request.max_age_ms = static_cast<std::uint32_t>(std::max<std::int64_t>(core::to_millis(age), 0));
  request.timeout_ms = static_cast<std::uint32_t>(core::to_millis(kOwnerProofTimeout));
  return request;
}

}  // namespace

bool PrimaryProofRequests::ask(core::Instant now, core::Instant moment, const ProofRequestSubject& subject) {
  std::shared_ptr<GroupState>& state = groups_[subject.group];
  if (!state) {
    state = std::make_shared<GroupState>();
  }
  if (now < state->owners_backoff_until) {
    return false;
  }
  const bool too_soon =
      state->last_begun != core::Instant{} && now - state->last_begun < kProofRequestInterval;
  if (state->in_flight || too_soon) {
    return true;
  }
  state->in_flight = true;
  state->last_begun = now;
  boost::asio::co_spawn(io_, ask_owners(state, moment, subject), boost::asio::detached);
  return true;
}

boost::asio::awaitable<void> PrimaryProofRequests::ask_owners(std::weak_ptr<GroupState> state,
                                                              core::Instant moment,
                                                              ProofRequestSubject subject) {
  std::vector<core::DaemonId> tried;
  while (tried.size() < kMaxOwnersAskedForProof) {
    const core::Instant asked = core::BootClock::now();
    const std::size_t tried_before = tried.size();
    const ShownPrimaryRequest request = request_for(subject.group, asked - moment);
    const auto reply = co_await subject.ask_owner(tried, request);
    const auto group_state = state.lock();
    if (!group_state) {
      co_return;
    }
    if (tried.size() == tried_before) {
      break;  // No owner is left to try.
    }
    ++counters_.asked;
    const auto shown = reply ? proof_from_reply(reply.value(), subject.presumed, asked) : std::nullopt;
    if (shown) {
      ++counters_.answered;
      group_state->in_flight = false;
      callback_(subject.group, *shown);
      co_return;
    }
  }
  const auto group_state = state.lock();
  if (group_state) {
    ++counters_.failed;
    group_state->in_flight = false;
    group_state->owners_backoff_until = core::BootClock::now() + kOwnerProofBackoff;
  }
}

}  // namespace pipitpond::pooling
