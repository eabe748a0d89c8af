#include "pooling/primary_rounds.hpp"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "logging/logging.hpp"

namespace pipitpond::pooling {

using boost::asio::awaitable;

/// The state of one round.
struct PrimaryRounds::Round {
  Round(PrimaryRounds& owning_rounds, const RoundSubject& subject, core::Instant begin_time)
      : rounds(owning_rounds),
        group(subject.group),
        primary(subject.primary),
        begun(begin_time),
        outstanding(subject.pools.size()),
        proof(subject.primary, subject.members) {}

  PrimaryRounds& rounds;  ///< Outlives the state of the group.
  core::GroupName group;
  core::DatabaseId primary;
  core::Instant begun;
  std::size_t outstanding;
  PrimaryProof proof;
  bool finished = false;
};

std::shared_ptr<PrimaryRounds::GroupState> PrimaryRounds::state_of(const core::GroupName& group) {
  std::shared_ptr<GroupState>& state = groups_[group];
  if (!state) {
    state = std::make_shared<GroupState>();
  }
  return state;
}

void PrimaryRounds::ask(core::Instant now, const RoundSubject& subject) {
  const std::shared_ptr<GroupState> state = state_of(subject.group);
  const bool too_soon = state->last_begun != core::Instant{} && now - state->last_begun < kRoundInterval;
  if (state->in_flight || too_soon || subject.pools.empty()) {
    return;
  }
  ++counters_.begun;
  state->last_begun = now;
  const auto round = std::make_shared<Round>(*this, subject, now);
  state->in_flight = round;
  for (const std::shared_ptr<BackendPool>& pool : subject.pools) {
    boost::asio::co_spawn(io_, ask_one(state, round, pool), boost::asio::detached);
  }
}

awaitable<void> PrimaryRounds::ask_one(std::weak_ptr<GroupState> state, std::shared_ptr<Round> round,
                                       std::shared_ptr<BackendPool> pool) {
  // Copied: the PrimaryRounds may be destroyed while this waits.
  const AskStatus ask_status = round->rounds.ask_status_;
  const auto status = co_await ask_status(pool, kRoundTimeout);
  const auto group_state = state.lock();
  if (!group_state) {
    co_return;
  }
  --round->outstanding;
  if (status) {
    round->proof.add_status(pool->address().database, status.value(), core::BootClock::now());
    if (round->rounds.reply_callback_) {
      round->rounds.reply_callback_(round->group, round->proof, round->begun);
    }
  }
  round->rounds.finish_if_decided(*group_state, *round);
}

/// A round ends once its outcome is certain or all requests have ended.
void PrimaryRounds::finish_if_decided(GroupState& state, Round& round) {
  const auto position = round.proof.position();
  const bool decided = position || round.proof.refuted() || round.outstanding == 0;
  if (round.finished || !decided) {
    return;
  }
  round.finished = true;
  state.in_flight.reset();
  log_outcome(state, round);
  if (position) {
    ++counters_.shown;
    store_proof(round.group, state, ShownPrimary{round.primary, round.begun, *position, std::nullopt});
  }
  for (boost::asio::steady_timer* timer : state.waiting) {
    timer->cancel();
  }
}

/// A delayed proof never replaces one from a later round.
void PrimaryRounds::store_proof(const core::GroupName& group, GroupState& state, const ShownPrimary& shown) {
  if (!state.shown || state.shown->begun <= shown.begun) {
    state.shown = shown;
  }
  if (callback_) {
    callback_(group, shown);
  }
}

void PrimaryRounds::add_proof(const core::GroupName& group, const ShownPrimary& shown) {
  store_proof(group, *state_of(group), shown);
}

awaitable<std::optional<ShownPrimary>> PrimaryRounds::await_shown(core::GroupName group,
                                                                  RoundSubjectSource subject,
                                                                  core::Instant earliest,
                                                                  core::Instant deadline) {
  const std::shared_ptr<GroupState> state = state_of(group);
  while (true) {
    if (state->shown && state->shown->begun >= earliest) {
      co_return state->shown;
    }
    const core::Instant now = core::BootClock::now();
    const std::optional<RoundSubject> asked = subject(now);
    if (now >= deadline || !asked) {
      co_return std::nullopt;
    }
    ask(now, *asked);
    const core::Instant rest_ends = state->last_begun + kRoundInterval;
    const core::Instant next_try = rest_ends > now ? rest_ends : now + kRoundInterval;
    co_await await_round(io_, state, state->in_flight ? deadline : std::min(deadline, next_try));
  }
}

/// Waits until the current round ends, at most until the deadline.
awaitable<void> PrimaryRounds::await_round(boost::asio::io_context& io, std::shared_ptr<GroupState> state,
                                           core::Instant deadline) {
  boost::asio::steady_timer timer(io, deadline - core::BootClock::now());
  boost::system::error_code ignored;
  state->waiting.insert(&timer);
  co_await timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
  state->waiting.erase(&timer);
}

/// Logs the outcome only when it differs from that of the last round.
void PrimaryRounds::log_outcome(GroupState& state, const Round& round) {
  const bool succeeded = round.proof.position().has_value();
  if (state.last_succeeded == succeeded) {
    return;
  }
  state.last_succeeded = succeeded;
  const auto log = logging::logger("backends");
  if (succeeded) {
    log->info("event=primary_shown_by_databases group={} database={}", round.group.value(),
              round.primary.value());
  } else {
    log->warn("event=primary_not_shown group={} database={} contradicted={}", round.group.value(),
              round.primary.value(), round.proof.refuted());
  }
}

const ShownPrimary* PrimaryRounds::shown(const core::GroupName& group) const {
  const auto found = groups_.find(group);
  return found == groups_.end() || !found->second->shown ? nullptr : &*found->second->shown;
}

}  // namespace pipitpond::pooling
