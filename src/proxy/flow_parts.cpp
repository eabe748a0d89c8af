#include "proxy/flow_parts.hpp"

#include <algorithm>
#include <utility>
#include <variant>

#include "proxy/waiter.hpp"

namespace pipitpond::proxy {
namespace {

using protocol::ForwardReply;
using protocol::ForwardRequest;

/// Longest that settling a key or confirming a term may go on after the caller's deadline: the answer is
/// worth more than its punctuality only by this much.
constexpr core::Duration kResolveTimeout = std::chrono::milliseconds(1000);

/// How often an answer of an unknown term looks whether the daemon has learnt of the term.
constexpr core::Duration kConfigurationPoll = std::chrono::milliseconds(5);

core::Error unheard_change_error() {
  return {
      core::ErrorKind::kUnavailable,
      "A database answered at a term that this daemon has not heard of, so the session's position can't be "
      "checked.",
      "Send the read again, or through another daemon.", 100};
}

core::Instant resolve_deadline(const ActiveRequest& request) {
  return std::min(request.deadline, core::BootClock::now() + kResolveTimeout);
}

/// True when the primary answered the question about the key, whatever the answer is.
bool question_was_answered(const ForwardReply& reply) {
  if (reply.outcome == core::Outcome::kDone) {
    return true;
  }
  const core::ErrorKind kind = reply.error.kind;
  return kind == core::ErrorKind::kKeySettled || kind == core::ErrorKind::kKeyExpired ||
         kind == core::ErrorKind::kNotFound;
}

boost::asio::awaitable<retry::SettleReport> ask_for_key(FlowParts& parts,
                                                        std::shared_ptr<ActiveRequest> request) {
  ForwardRequest question;
  question.request = request->id;
  question.operation = protocol::Operation::kResolveKey;
  question.group = request->group;
  question.tenant = request->tenant;
  question.kind = core::StatementKind::kWrite;
  question.key = request->key;
  question.settle = request->settle;
  const core::Instant deadline = resolve_deadline(*request);
  const retry::AttemptReport attempt =
      co_await attempt_at_primary(parts, request, std::move(question), deadline);
  retry::SettleReport report;
  report.result = attempt.result;
  report.term = attempt.term;
  report.error = attempt.error;
  report.group_is_lost = attempt.group_is_lost;
  const bool answered =
      attempt.result != retry::AttemptResult::kNothingSent && question_was_answered(request->reply);
  if (answered) {
    report.result = retry::AttemptResult::kDone;
    report.outcome = request->reply.outcome;
  }
  co_return report;
}

boost::asio::awaitable<bool> confirm_term(FlowParts& parts, std::shared_ptr<ActiveRequest> request,
                                          core::Term term) {
  const protocol::Group* group = find_group(parts, request->group);
  if (group == nullptr) {
    co_return false;
  }
  protocol::Group copy = *group;
  const core::Instant deadline = resolve_deadline(*request);
  co_return co_await parts.confirmation.confirm(std::move(copy), term, deadline);
}

}  // namespace

core::RequestId next_request_id(FlowParts& parts) {
  return core::RequestId(parts.request_prefix + std::to_string(++parts.last_request));
}

const protocol::Group* find_group(const FlowParts& parts, const core::GroupName& name) {
  const auto& groups = parts.agent.configuration().groups;
  const auto found = groups.find(name);
  return found == groups.end() ? nullptr : &found->second;
}

core::Error unknown_group(const core::GroupName& name) {
  return {core::ErrorKind::kNotFound, "There is no group " + name.value() + ".",
          "Name a group that operators have created.", 0};
}

policy::RequestFacts facts_of(const FlowParts& parts, const ActiveRequest& request, bool repeatable) {
  policy::RequestFacts facts;
  facts.group = request.group;
  facts.tenant = request.tenant;
  facts.zone = parts.zone;
  facts.kind = request.kind;
  facts.has_session = request.token.position(request.group).term != 0;
  facts.key = request.key;
  facts.repeatable = repeatable;
  return facts;
}

core::Result<std::shared_ptr<ActiveRequest>> start_request(FlowParts& parts, core::RequestId id,
                                                           core::GroupName group, const std::string& session,
                                                           std::uint32_t deadline_ms) {
  const protocol::Group* declared = find_group(parts, group);
  if (declared == nullptr) {
    return core::outcome::failure(unknown_group(group));
  }
  auto token = session::SessionToken::decode(session, parts.fleet_key);
  if (!token) {
    return core::outcome::failure(token.error());
  }
  const core::LogPosition position = token.value().position(group);
  if (session::check(position, *declared) == session::PositionCheck::kLost) {
    return core::outcome::failure(session::position_lost(group, position));
  }
  auto room = token.value().ensure_room(group);
  if (!room) {
    return core::outcome::failure(room.error());
  }
  auto request = std::make_shared<ActiveRequest>();
  request->id = std::move(id);
  request->started = core::BootClock::now();
  request->deadline = request->started + std::chrono::milliseconds(deadline_ms);
  request->group = std::move(group);
  request->token = std::move(token).value();
  parts.explanations.start(request->id, request->started);
  return request;
}

retry::Standing standing_of(const FlowParts& parts, const core::GroupName& group) {
  retry::Standing standing;
  standing.lease_valid = parts.agent.lease_valid(core::BootClock::now());
  const protocol::Group* declared = find_group(parts, group);
  if (declared != nullptr && !declared->terms.empty()) {
    standing.latest_term = declared->terms.back().term;
  }
  return standing;
}

void explain(FlowParts& parts, const core::RequestId& request, const core::DatabaseId& database,
             std::string decision, std::string detail) {
  parts.explanations.add(request, core::BootClock::now(), database, std::move(decision), std::move(detail));
}

bool position_is_lost(const FlowParts& parts, const ActiveRequest& request) {
  const protocol::Group* group = find_group(parts, request.group);
  const core::LogPosition position = request.token.position(request.group);
  return group != nullptr && session::check(position, *group) == session::PositionCheck::kLost;
}

bool group_is_lost(const FlowParts& parts, const core::GroupName& name) {
  const protocol::Group* group = find_group(parts, name);
  return group != nullptr && !routing::reaches_majority(parts.views.view(parts.agent.configuration(), *group,
                                                                         core::BootClock::now()));
}

retry::AttemptReport lost_position_report(const ActiveRequest& request) {
  retry::AttemptReport report;
  report.result = retry::AttemptResult::kRejected;
  report.database = request.reply.database;
  report.error = session::position_lost(request.group, request.token.position(request.group));
  return report;
}

boost::asio::awaitable<void> check_read_position(FlowParts& parts, std::shared_ptr<ActiveRequest> request,
                                                 retry::AttemptReport& report) {
  const core::LogPosition position = request->token.position(request->group);
  const core::Instant give_up = resolve_deadline(*request);
  while (true) {
    const protocol::Group* group = find_group(parts, request->group);
    const auto check = group == nullptr ? session::PositionCheck::kUnknown
                                        : session::check_answer(position, request->reply.position, *group);
    if (check == session::PositionCheck::kSurvived) {
      co_return;
    }
    if (check == session::PositionCheck::kLost) {
      report = lost_position_report(*request);
      co_return;
    }
    if (core::BootClock::now() >= give_up) {
      report.result = retry::AttemptResult::kNotRun;
      report.error = unheard_change_error();
      co_return;
    }
    co_await sleep_for(parts.io, kConfigurationPoll);
  }
}

boost::asio::awaitable<retry::AttemptReport> attempt_at_primary(FlowParts& parts,
                                                                std::shared_ptr<ActiveRequest> request,
                                                                ForwardRequest forward,
                                                                core::Instant deadline) {
  retry::AttemptReport report;
  report.result = retry::AttemptResult::kNothingSent;
  const protocol::Group* group = find_group(parts, request->group);
  if (group == nullptr) {
    report.error = {core::ErrorKind::kNotFound, "The group has been removed.", "Name another group.", 0};
    co_return report;
  }
  const routing::GroupView view =
      parts.views.view(parts.agent.configuration(), *group, core::BootClock::now());
  report.term = view.term;
  const bool begins = forward.operation == protocol::Operation::kBegin;
  auto primary = begins ? routing::choose_begin(view) : routing::choose_write(view);
  if (!primary) {
    report.error = primary.error();
    report.group_is_lost = !routing::reaches_majority(view);
    parts.progress_questions.ask_about(view, core::BootClock::now());
    explain(parts, request->id, view.primary, "no_primary", report.error.message);
    co_return report;
  }
  forward.database = primary.value();
  forward.term = view.term;
  report.database = forward.database;
  request->reply = co_await parts.dispatcher.attempt(std::move(forward), deadline);
  report.result = retry::classify(request->reply);
  report.error = request->reply.error;
  explain(parts, request->id, report.database, std::string(retry::to_string(report.result)),
          report.error.message);
  co_return report;
}

boost::asio::awaitable<retry::NextStep> resolve_steps(FlowParts& parts,
                                                      std::shared_ptr<ActiveRequest> request,
                                                      retry::NextStep step) {
  while (true) {
    if (const auto* settle = std::get_if<retry::SettleStep>(&step)) {
      co_await sleep_for(parts.io, settle->backoff);
      const retry::SettleReport report = co_await ask_for_key(parts, request);
      step =
          request->decider->after_settle(report, standing_of(parts, request->group), core::BootClock::now());
      continue;
    }
    if (const auto* confirm = std::get_if<retry::ConfirmTermStep>(&step)) {
      const bool confirmed = co_await confirm_term(parts, request, confirm->term);
      explain(parts, request->id, {}, "confirm_term", confirmed ? "a majority agrees" : "no majority agrees");
      step = request->decider->after_confirmation(confirmed, core::BootClock::now());
      continue;
    }
    co_return step;
  }
}

CallerAnswer make_answer(FlowParts& parts, ActiveRequest& request, const retry::AnswerStep& step) {
  CallerAnswer answer;
  answer.request = request.id;
  answer.outcome = step.outcome;
  answer.error = step.error;
  answer.attempts = request.decider ? request.decider->attempts() : 0;
  answer.database = request.reply.database;
  const protocol::Group* group = find_group(parts, request.group);
  if (group != nullptr && !group->terms.empty()) {
    answer.served_by_primary = group->terms.back().primary == answer.database;
  }
  if (step.outcome == core::Outcome::kDone) {
    answer.result = std::move(request.reply.result);
    answer.position = request.reply.position;
    answer.replayed = request.reply.replayed;
    // A position that was lost meanwhile stays in the token, so that the next request is told.
    if (!position_is_lost(parts, request)) {
      // Room for the group was made sure of at the start.
      const auto advanced = request.token.advance(request.group, answer.position);
      static_cast<void>(advanced);
    }
  }
  answer.session = request.token.encode(parts.fleet_key);
  return answer;
}

}  // namespace pipitpond::proxy
