#include "proxy/statement_flow.hpp"

#include <utility>
#include <variant>

#include "policy/rules.hpp"
#include "proxy/waiter.hpp"

namespace pipitpond::proxy {
namespace {

using protocol::ForwardRequest;
using retry::AttemptReport;
using retry::NextTarget;

ForwardRequest forward_of(const ActiveRequest& request, StatementRequest statement) {
  ForwardRequest forward;
  forward.request = request.id;
  forward.operation = protocol::Operation::kExecute;
  forward.group = request.group;
  forward.tenant = request.tenant;
  forward.kind = request.kind;
  forward.statement = std::move(statement.statement);
  forward.key = request.key;
  return forward;
}

/// Deadline of one attempt: a write with a key leaves time to settle it.
core::Instant attempt_deadline(const ActiveRequest& request) {
  const bool may_settle = request.kind == core::StatementKind::kWrite && !request.key.empty();
  const bool has_time = request.deadline - request.started > 2 * retry::kSettleReserve;
  return may_settle && has_time ? request.deadline - retry::kSettleReserve : request.deadline;
}

}  // namespace

boost::asio::awaitable<CallerAnswer> StatementFlow::run(core::RequestId id, StatementRequest statement) {
  auto started = start_request(parts_, id, statement.group, statement.session, statement.deadline_ms);
  if (!started) {
    co_return refused(std::move(id), started.error(), earlier_sending(statement));
  }
  const Request request = started.value();
  request->tenant = statement.tenant;
  request->kind = statement.kind;
  request->key = statement.key;
  apply_policy(*request, statement);
  const bool is_write = request->kind == core::StatementKind::kWrite;
  const ForwardRequest forward = forward_of(*request, std::move(statement));
  NextTarget target = NextTarget::kNextReplica;
  while (true) {
    AttemptReport report;
    if (is_write) {
      report = co_await attempt_write(request, forward);
    } else {
      report = co_await attempt_read(request, forward, target);
    }
    retry::NextStep step =
        request->decider->after_attempt(report, standing_of(parts_, request->group), core::BootClock::now());
    step = co_await resolve_steps(parts_, request, std::move(step));
    if (const auto* answer = std::get_if<retry::AnswerStep>(&step)) {
      CallerAnswer told = make_answer(parts_, *request, *answer);
      told.is_plain_read = !is_write;
      co_return told;
    }
    const retry::TryAgainStep again = std::get<retry::TryAgainStep>(step);
    target = again.target;
    co_await sleep_for(parts_.io, again.backoff);
  }
}

boost::asio::awaitable<CallerAnswer> StatementFlow::resolve(core::RequestId id, OutcomeRequest question) {
  auto started = start_request(parts_, id, question.group, question.session, question.deadline_ms);
  if (!started) {
    co_return refused(std::move(id), started.error(), EarlierSending::kPossible);
  }
  const Request request = started.value();
  request->kind = core::StatementKind::kWrite;
  request->key = question.key;
  request->settle = question.settle;
  StatementRequest statement;
  statement.kind = request->kind;
  statement.key = request->key;
  apply_policy(*request, statement);
  retry::NextStep step = request->decider->start_settling(core::BootClock::now());
  step = co_await resolve_steps(parts_, request, std::move(step));
  // A decider that has made no attempt never asks for another one.
  co_return make_answer(parts_, *request, std::get<retry::AnswerStep>(step));
}

void StatementFlow::apply_policy(ActiveRequest& request, const StatementRequest& statement) {
  const policy::RequestFacts facts = facts_of(parts_, request, statement.repeatable);
  const protocol::Group* group = find_group(parts_, request.group);
  policy::Program& program = parts_.policies.of(*group);
  if (request.kind == core::StatementKind::kRead) {
    request.read_rule = program.read(facts);
  }
  retry::RequestTraits traits;
  traits.kind = request.kind;
  traits.repeatable = statement.repeatable;
  traits.key = request.key;
  traits.first = statement.first;
  traits.deadline = request.deadline;
  retry::RetryBudget& budget = parts_.retry_budgets[request.group];
  request.decider.emplace(std::move(traits), program.retry(facts), budget, parts_.random);
}

boost::asio::awaitable<AttemptReport> StatementFlow::attempt_write(Request request, ForwardRequest forward) {
  // Another daemon may have told the session of a position that a change of primary, learnt of since, lost.
  if (position_is_lost(parts_, *request)) {
    co_return lost_position_report(*request);
  }
  const core::Instant deadline = attempt_deadline(*request);
  co_return co_await attempt_at_primary(parts_, std::move(request), std::move(forward), deadline);
}

boost::asio::awaitable<AttemptReport> StatementFlow::attempt_read(Request request, ForwardRequest forward,
                                                                  NextTarget target) {
  AttemptReport report;
  const auto candidate = next_candidate(*request, target);
  if (!candidate) {
    report.result = retry::AttemptResult::kNothingSent;
    report.error = candidate.error();
    report.group_is_lost = group_is_lost(parts_, request->group);
    explain(parts_, request->id, {}, "no_candidate", report.error.message);
    co_return report;
  }
  forward.database = candidate.value().database;
  forward.wait_ms = candidate.value().wait_ms;
  forward.min_position = request->token.position(request->group);
  report.database = forward.database;
  explain(parts_, request->id, forward.database, std::string(routing::to_string(candidate.value().reason)),
          "");
  request->reply = co_await parts_.dispatcher.attempt(std::move(forward), request->deadline);
  report.result = retry::classify(request->reply);
  report.error = request->reply.error;
  if (report.result == retry::AttemptResult::kDone) {
    co_await check_read_position(parts_, request, report);
  }
  if (report.result != retry::AttemptResult::kDone) {
    explain(parts_, request->id, report.database, std::string(retry::to_string(report.result)),
            report.error.message);
  }
  co_return report;
}

core::Result<routing::ReadCandidate> StatementFlow::next_candidate(ActiveRequest& request,
                                                                   NextTarget target) {
  if (target == NextTarget::kPrimary) {
    const protocol::Group* group = find_group(parts_, request.group);
    if (group == nullptr) {
      return core::fail(core::ErrorKind::kNotFound, "The group has been removed.", "Name another group.");
    }
    auto primary = routing::choose_write(
        parts_.views.view(parts_.agent.configuration(), *group, core::BootClock::now()));
    if (!primary) {
      return core::outcome::failure(primary.error());
    }
    return routing::ReadCandidate{primary.value(), routing::ChoiceReason::kPrimaryFallback, 0, true};
  }
  if (request.next_candidate >= request.candidates.size()) {
    auto chosen = choose_candidates(request);
    if (!chosen) {
      return core::outcome::failure(chosen.error());
    }
  }
  return request.candidates[request.next_candidate++];
}

core::Result<void> StatementFlow::choose_candidates(ActiveRequest& request) {
  const protocol::Group* group = find_group(parts_, request.group);
  if (group == nullptr) {
    return core::fail(core::ErrorKind::kNotFound, "The group has been removed.", "Name another group.");
  }
  const core::Instant now = core::BootClock::now();
  const routing::GroupView view = parts_.views.view(parts_.agent.configuration(), *group, now);
  parts_.progress_questions.ask_about(view, now);
  routing::ReadNeed need;
  need.min_position = request.token.position(request.group);
  need.rule = request.read_rule;
  need.time_left = request.deadline - now;
  routing::ReadChoice choice =
      routing::choose_read(view, parts_.views.progress(request.group), need, now, parts_.random);
  for (const routing::Rejection& rejection : choice.rejected) {
    explain(parts_, request.id, rejection.database, std::string(routing::to_string(rejection.reason)), "");
  }
  if (choice.candidates.empty()) {
    return core::outcome::failure(routing::no_candidate(view, choice));
  }
  request.candidates = std::move(choice.candidates);
  request.next_candidate = 0;
  return core::outcome::success();
}

}  // namespace pipitpond::proxy
