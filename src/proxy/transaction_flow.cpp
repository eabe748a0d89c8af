#include "proxy/transaction_flow.hpp"

#include <utility>
#include <variant>

#include "proxy/waiter.hpp"

namespace pipitpond::proxy {
namespace {

using protocol::ForwardRequest;
using protocol::Operation;
using retry::AttemptReport;

ForwardRequest forward_of(const ActiveRequest& request, Operation operation) {
  ForwardRequest forward;
  forward.request = request.id;
  forward.operation = operation;
  forward.group = request.group;
  forward.tenant = request.tenant;
  forward.kind = request.kind;
  forward.key = request.key;
  return forward;
}

core::Error owner_unreachable(const core::Error& error) {
  return {core::ErrorKind::kUnavailable,
          "The daemon that holds the transaction can't be reached: " + error.message,
          "Try again; when it stays away, begin a new transaction.", 200};
}

}  // namespace

boost::asio::awaitable<CallerAnswer> TransactionFlow::begin(core::RequestId id,
                                                            BeginTransactionRequest begin) {
  auto started = start_request(parts_, id, begin.group, begin.session, begin.deadline_ms);
  if (!started) {
    co_return refused(std::move(id), started.error(), EarlierSending::kNone);
  }
  const Request request = started.value();
  request->tenant = begin.tenant;
  // Beginning has no effect that lasts, so it may be tried again as a read may.
  request->kind = core::StatementKind::kRead;
  use_decider(*request, false);
  const ForwardRequest forward = forward_of(*request, Operation::kBegin);
  while (true) {
    const AttemptReport report = co_await attempt_at_primary(parts_, request, forward, request->deadline);
    retry::NextStep step =
        request->decider->after_attempt(report, standing_of(parts_, request->group), core::BootClock::now());
    step = co_await resolve_steps(parts_, request, std::move(step));
    if (const auto* answer = std::get_if<retry::AnswerStep>(&step)) {
      request->reply.position = {};  // Nothing was read or written.
      CallerAnswer told = make_answer(parts_, *request, *answer);
      told.transaction = request->reply.transaction;
      if (told.outcome == core::Outcome::kDone) {
        open_.begin(told.transaction, core::BootClock::now());
      }
      co_return told;
    }
    const core::Duration backoff = std::get<retry::TryAgainStep>(step).backoff;
    co_await sleep_for(parts_.io, backoff);
  }
}

boost::asio::awaitable<CallerAnswer> TransactionFlow::run(core::RequestId id, StatementRequest statement) {
  const auto address = read_address(statement.transaction);
  if (!address) {
    co_return refused(std::move(id), address.error(), EarlierSending::kNone);
  }
  if (address.value().group != statement.group) {
    co_return refused(std::move(id),
                      {core::ErrorKind::kInvalidArgument,
                       "The transaction belongs to group " + address.value().group.value() + ".",
                       "Name the group in which the transaction was begun.", 0},
                      EarlierSending::kNone);
  }
  auto started = start_request(parts_, id, statement.group, statement.session, statement.deadline_ms);
  if (!started) {
    co_return refused(std::move(id), started.error(), EarlierSending::kNone);
  }
  const Request request = started.value();
  request->tenant = statement.tenant;
  request->kind = statement.kind;
  use_decider(*request, true);
  ForwardRequest forward = forward_of(*request, Operation::kExecute);
  forward.statement = std::move(statement.statement);
  forward.transaction = statement.transaction;
  if (request->kind == core::StatementKind::kRead) {
    forward.min_position = request->token.position(request->group);
  }
  const bool is_write = request->kind == core::StatementKind::kWrite;
  AttemptReport report = co_await attempt_in_transaction(request, address.value(), std::move(forward));
  if (!is_write && report.result == retry::AttemptResult::kDone) {
    co_await check_read_position(parts_, request, report);
  }
  retry::AnswerStep answer;
  answer.error = report.error;
  if (report.result == retry::AttemptResult::kDone) {
    answer.outcome = core::Outcome::kDone;
  } else if (retry::proves_not_run(report.result)) {
    answer.outcome = core::Outcome::kNotRun;
  }
  if (is_write) {
    request->reply.position = {};  // Nothing is committed yet.
  }
  co_return make_answer(parts_, *request, answer);
}

boost::asio::awaitable<CallerAnswer> TransactionFlow::commit(core::RequestId id,
                                                             EndTransactionRequest commit) {
  const auto address = read_address(commit.transaction);
  if (!address) {
    co_return refused(std::move(id), address.error(), EarlierSending::kPossible);
  }
  auto started = start_request(parts_, id, address.value().group, commit.session, commit.deadline_ms);
  if (!started) {
    co_return refused(std::move(id), started.error(), EarlierSending::kPossible);
  }
  const Request request = started.value();
  request->kind = core::StatementKind::kWrite;
  request->key = commit.key;
  request->first = commit.first;
  use_decider(*request, true);
  ForwardRequest forward = forward_of(*request, Operation::kCommit);
  forward.transaction = commit.transaction;
  const AttemptReport report = co_await attempt_in_transaction(request, address.value(), std::move(forward));
  retry::NextStep step =
      request->decider->after_attempt(report, standing_of(parts_, request->group), core::BootClock::now());
  step = co_await resolve_steps(parts_, request, std::move(step));
  retry::AnswerStep answer;
  if (const auto* decided = std::get_if<retry::AnswerStep>(&step)) {
    answer = *decided;
  } else {
    // A commit is never sent again: what the attempt proved stands.
    answer.outcome = retry::proves_not_run(report.result) ? core::Outcome::kNotRun : core::Outcome::kUnknown;
    answer.error = report.error;
  }
  co_return make_answer(parts_, *request, answer);
}

boost::asio::awaitable<CallerAnswer> TransactionFlow::roll_back(core::RequestId id,
                                                                EndTransactionRequest roll_back) {
  const auto address = read_address(roll_back.transaction);
  if (!address) {
    co_return refused(std::move(id), address.error(), EarlierSending::kNone);
  }
  auto started = start_request(parts_, id, address.value().group, roll_back.session, roll_back.deadline_ms);
  if (!started) {
    co_return refused(std::move(id), started.error(), EarlierSending::kNone);
  }
  const Request request = started.value();
  request->kind = core::StatementKind::kWrite;
  use_decider(*request, true);
  ForwardRequest forward = forward_of(*request, Operation::kRollback);
  forward.transaction = roll_back.transaction;
  const AttemptReport report = co_await attempt_in_transaction(request, address.value(), std::move(forward));
  retry::AnswerStep answer;
  answer.error = report.error;
  answer.outcome = request->reply.outcome;
  request->reply.position = {};
  co_return make_answer(parts_, *request, answer);
}

boost::asio::awaitable<AttemptReport> TransactionFlow::attempt_in_transaction(Request request,
                                                                              TransactionAddress address,
                                                                              ForwardRequest forward) {
  const core::TransactionId transaction = forward.transaction;
  const bool ends = forward.operation != Operation::kExecute;
  open_.use(transaction, core::BootClock::now());
  forward.database = address.database;
  forward.term = address.term;
  AttemptReport report;
  report.database = address.database;
  report.term = address.term;
  request->reply =
      co_await parts_.dispatcher.attempt_at(address.owner, std::move(forward), request->deadline);
  if (ends || request->reply.error.kind == core::ErrorKind::kNotFound) {
    open_.end(transaction);
  } else {
    open_.use(transaction, core::BootClock::now());
  }
  report.result = retry::classify(request->reply);
  report.error = request->reply.error;
  if (report.error.kind == core::ErrorKind::kConnectionRefused) {
    report.error = owner_unreachable(report.error);
  }
  explain(parts_, request->id, report.database, std::string(retry::to_string(report.result)),
          "in the transaction's connection at " + address.owner.value());
  co_return report;
}

void TransactionFlow::use_decider(ActiveRequest& request, bool in_transaction) {
  policy::RequestFacts facts;
  facts.group = request.group;
  facts.tenant = request.tenant;
  facts.zone = parts_.zone;
  facts.kind = request.kind;
  facts.key = request.key;
  const protocol::Group* group = find_group(parts_, request.group);
  retry::RequestTraits traits;
  traits.kind = request.kind;
  traits.key = request.key;
  traits.first = request.first;
  traits.in_transaction = in_transaction;
  traits.deadline = request.deadline;
  const policy::RetryRule rule = parts_.policies.of(*group).retry(facts);
  request.decider.emplace(std::move(traits), rule, parts_.retry_budgets[request.group], parts_.random);
}

core::Result<TransactionAddress> TransactionFlow::read_address(const core::TransactionId& id) const {
  return read_transaction_id(id, secret_);
}

}  // namespace pipitpond::proxy
