#include "pooling/primary_questions.hpp"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace pipitpond::pooling {
namespace {

ShownPrimaryRequest request_for(const core::GroupName& group, core::Duration age) {
  ShownPrimaryRequest request;
  request.group = group;
  request.max_age_ms = static_cast<std::uint32_t>(std::max<std::int64_t>(core::to_millis(age), 0));
  request.timeout_ms = static_cast<std::uint32_t>(core::to_millis(kOwnersProofTimeout));
  return request;
}

}  // namespace

bool PrimaryQuestions::ask(core::Instant now, core::Instant moment, const QuestionSubject& subject) {
  std::shared_ptr<GroupState>& state = groups_[subject.group];
  if (!state) {
    state = std::make_shared<GroupState>();
  }
  if (now < state->owners_rest_until) {
    return false;
  }
  const bool resting = state->last_begun != core::Instant{} && now - state->last_begun < kQuestionInterval;
  if (state->under_way || resting) {
    return true;
  }
  state->under_way = true;
  state->last_begun = now;
  boost::asio::co_spawn(io_, ask_owners(state, moment, subject), boost::asio::detached);
  return true;
}

boost::asio::awaitable<void> PrimaryQuestions::ask_owners(std::weak_ptr<GroupState> state,
                                                          core::Instant moment, QuestionSubject subject) {
  std::vector<core::DaemonId> tried;
  while (tried.size() < kOwnersAskedForProof) {
    const core::Instant asked = core::BootClock::now();
    const std::size_t tried_before = tried.size();
    const ShownPrimaryRequest request = request_for(subject.group, asked - moment);
    const auto reply = co_await subject.ask_owner(tried, request);
    const auto alive = state.lock();
    if (!alive) {
      co_return;
    }
    if (tried.size() == tried_before) {
      break;  // No owner is left to try.
    }
    ++counters_.asked;
    const auto shown = reply ? understood(reply.value(), subject.presumed, asked) : std::nullopt;
    if (shown) {
      ++counters_.told;
      alive->under_way = false;
      callback_(subject.group, *shown);
      co_return;
    }
  }
  const auto alive = state.lock();
  if (alive) {
    ++counters_.failed;
    alive->under_way = false;
    alive->owners_rest_until = core::BootClock::now() + kOwnersProofRest;
  }
}

}  // namespace pipitpond::pooling
