#include "simulation_group/request_flow.hpp"

#include <algorithm>
#include <utility>
#include <variant>

#include "policy/rules.hpp"

namespace pipitpond::simulation::group {
namespace {

using core::ErrorKind;
using core::Outcome;

constexpr core::Duration kResolveTimeout = std::chrono::milliseconds(1000);

bool question_was_answered(const protocol::ForwardReply& reply) {
  const ErrorKind kind = reply.error.kind;
  return reply.outcome == Outcome::kDone || kind == ErrorKind::kKeySettled ||
         kind == ErrorKind::kKeyExpired || kind == ErrorKind::kNotFound;
}

}  // namespace

RequestFlow::RequestFlow(DaemonNode& daemon, CallerRequest request, DaemonNode::Answer answer)
    : daemon_(daemon), request_(std::move(request)), answer_(std::move(answer)) {}

void RequestFlow::start() {
  started_ = daemon_.host().now();
  deadline_ = started_ + request_.deadline;
  const protocol::Group* group = daemon_.find_group(request_.group);
  if (group == nullptr) {
    refuse({ErrorKind::kNotFound, "There is no such group.", "Name another.", 0});
    return;
  }
  auto token = session::SessionToken::decode(request_.session, daemon_.fleet_key());
  token_ = std::move(token).value();
  const core::LogPosition position = token_.position(request_.group);
  if (session::check(position, *group) == session::PositionCheck::kLost) {
    refuse(session::position_lost(request_.group, position));
    return;
  }
  retry::RequestTraits traits;
  traits.kind = request_.kind;
  traits.repeatable = request_.repeatable;
  traits.key = request_.key;
  traits.deadline = deadline_;
  decider_.emplace(std::move(traits), policy::kDefaultRetryRule, daemon_.retry_budget(request_.group),
                   daemon_.random());
  attempt();
}

void RequestFlow::refuse(const core::Error& error) {
  CallerReply reply;
  reply.outcome = Outcome::kNotRun;
  reply.error = error;
  reply.session = request_.session;
  answer_(reply);
}

// --- Attempts ----------------------------------------------------------------------------------------------

void RequestFlow::attempt() {
  if (is_write()) {
    attempt_write();
  } else {
    attempt_read();
  }
}

protocol::ForwardRequest RequestFlow::forward() const {
  protocol::ForwardRequest forward;
  forward.group = request_.group;
  forward.kind = request_.kind;
  forward.statement = request_.statement.dump();
  forward.key = request_.key;
  return forward;
}

void RequestFlow::attempt_write() {
  const bool may_settle = !request_.key.empty() && request_.deadline > 2 * retry::kSettleReserve;
  const core::Instant deadline = may_settle ? deadline_ - retry::kSettleReserve : deadline_;
  attempt_at_primary(forward(), deadline,
                     [self = shared_from_this()](const auto& report) { self->after_attempt(report); });
}

void RequestFlow::attempt_at_primary(protocol::ForwardRequest forward, core::Instant deadline,
                                     std::function<void(const retry::AttemptReport&)> done) {
  retry::AttemptReport report;
  report.result = retry::AttemptResult::kNothingSent;
  const protocol::Group* group = daemon_.find_group(request_.group);
  const routing::GroupView view =
      daemon_.views().view(daemon_.session().configuration(), *group, daemon_.host().now());
  report.term = view.term;
  auto primary = routing::choose_write(view);
  if (!primary) {
    report.error = primary.error();
    done(report);
    return;
  }
  forward.database = primary.value();
  forward.term = view.term;
  asked_term_ = view.term;
  report.database = forward.database;
  const auto finish = [self = shared_from_this(), report, done](const protocol::ForwardReply& reply) {
    retry::AttemptReport ended = report;
    self->reply_ = reply;
    ended.result = retry::classify(reply);
    ended.error = reply.error;
    done(ended);
  };
  daemon_.attempt(std::move(forward), deadline, finish);
}

void RequestFlow::attempt_read() {
  retry::AttemptReport report;
  const auto candidate = next_candidate();
  if (!candidate) {
    report.result = retry::AttemptResult::kNothingSent;
    report.error = candidate.error();
    after_attempt(report);
    return;
  }
  protocol::ForwardRequest read = forward();
  read.database = candidate.value().database;
  read.wait_ms = candidate.value().wait_ms;
  read.min_position = token_.position(request_.group);
  report.database = read.database;
  daemon_.attempt(std::move(read), deadline_,
                  [self = shared_from_this(), report](const protocol::ForwardReply& reply) {
                    retry::AttemptReport ended = report;
                    self->reply_ = reply;
                    ended.result = retry::classify(reply);
                    ended.error = reply.error;
                    self->after_attempt(ended);
                  });
}

core::Result<routing::ReadCandidate> RequestFlow::next_candidate() {
  const protocol::Group* group = daemon_.find_group(request_.group);
  const core::Instant now = daemon_.host().now();
  const routing::GroupView view = daemon_.views().view(daemon_.session().configuration(), *group, now);
  if (target_ == retry::NextTarget::kPrimary) {
    auto primary = routing::choose_write(view);
    if (!primary) {
      return core::outcome::failure(primary.error());
    }
    return routing::ReadCandidate{primary.value(), routing::ChoiceReason::kPrimaryFallback, 0, true};
  }
  if (next_candidate_ >= candidates_.size()) {
    routing::ReadNeed need;
    need.min_position = token_.position(request_.group);
    need.rule = policy::kDefaultReadRule;
    need.time_left = deadline_ - now;
    auto choice =
        routing::choose_read(view, daemon_.views().progress(request_.group), need, now, daemon_.random());
    if (choice.candidates.empty()) {
      return core::outcome::failure(routing::no_candidate(view, choice));
    }
    candidates_ = std::move(choice.candidates);
    next_candidate_ = 0;
  }
  return candidates_[next_candidate_++];
}

// --- Decisions ---------------------------------------------------------------------------------------------

void RequestFlow::after_attempt(const retry::AttemptReport& report) {
  take(decider_->after_attempt(report, daemon_.standing(request_.group), daemon_.host().now()));
}

void RequestFlow::take(const retry::NextStep& step) {
  const auto self = shared_from_this();
  if (const auto* done = std::get_if<retry::AnswerStep>(&step)) {
    answer(*done);
  } else if (const auto* again = std::get_if<retry::TryAgainStep>(&step)) {
    target_ = again->target;
    daemon_.host().after(again->backoff, [self] { self->attempt(); });
  } else if (const auto* settle = std::get_if<retry::SettleStep>(&step)) {
    daemon_.host().after(settle->backoff, [self] { self->settle(); });
  } else {
    confirm(std::get<retry::ConfirmTermStep>(step).term);
  }
}

core::Instant RequestFlow::resolve_deadline() const {
  return std::min(deadline_, daemon_.host().now() + kResolveTimeout);
}

void RequestFlow::settle() {
  ++daemon_.counters().settlements;
  protocol::ForwardRequest question = forward();
  question.operation = protocol::Operation::kResolveKey;
  question.settle = daemon_.fabric().switches.on(Mechanism::kKeySettlement);
  attempt_at_primary(std::move(question), resolve_deadline(),
                     [self = shared_from_this()](const auto& report) { self->after_settle(report); });
}

void RequestFlow::after_settle(const retry::AttemptReport& attempt) {
  retry::SettleReport report;
  report.result = attempt.result;
  report.term = attempt.term;
  report.error = attempt.error;
  if (attempt.result != retry::AttemptResult::kNothingSent && question_was_answered(reply_)) {
    report.result = retry::AttemptResult::kDone;
    report.outcome = reply_.outcome;
    const bool seen_nothing = reply_.error.kind == ErrorKind::kNotFound && reply_.outcome != Outcome::kDone;
    if (seen_nothing && !daemon_.fabric().switches.on(Mechanism::kKeySettlement)) {
      report.outcome = Outcome::kNotRun;  // What has not run so far is taken for what never runs.
    }
  }
  take(decider_->after_settle(report, daemon_.standing(request_.group), daemon_.host().now()));
}

void RequestFlow::confirm(core::Term term) {
  const protocol::Group* group = daemon_.find_group(request_.group);
  daemon_.confirm(*group, term, [self = shared_from_this()](bool confirmed) {
    self->take(self->decider_->after_confirmation(confirmed, self->daemon_.host().now()));
  });
}

void RequestFlow::answer(const retry::AnswerStep& step) {
  CallerReply reply;
  reply.outcome = step.outcome;
  reply.error = step.error;
  reply.database = reply_.database;
  if (step.outcome == Outcome::kDone) {
    reply.result = reply_.result;
    reply.position = reply_.position;
    const auto advanced = token_.advance(request_.group, reply.position);
    static_cast<void>(advanced);
    const protocol::Group* group = daemon_.find_group(request_.group);
    reply.by_replica = !group->terms.empty() && group->terms.back().primary != reply.database;
  }
  reply.session = token_.encode(daemon_.fleet_key());
  reply.by_term = asked_term_;
  reply.decided = daemon_.fabric().scheduler.now();
  answer_(reply);
}

}  // namespace pipitpond::simulation::group
