#include "proxy/database_calls.hpp"

#include <utility>

#include "proxy/json_object.hpp"
#include "proxy/waiter.hpp"

namespace pipitpond::proxy {
namespace {

using protocol::ForwardReply;
using protocol::ForwardRequest;

/// How long the slot of a statement whose connection was lost is kept for a database that does not answer.
constexpr core::Duration kLongestSilence = std::chrono::seconds(2);
/// How often it is looked whether the database has answered.
constexpr core::Duration kSilencePoll = std::chrono::milliseconds(5);
/// A statement has ended after this many average service times, nearly always.
constexpr int kServiceTimesToOutlast = 4;
/// A body of /v1/execute without its statement takes about this many bytes.
constexpr std::size_t kEnvelopeBytes = 256;

}  // namespace

core::RequestId AttemptNames::next(const core::RequestId& request) {
  return core::RequestId(request.value() + "#" + std::to_string(++last_));
}

boost::asio::awaitable<CallResult> call_pooled(PooledCall call, std::shared_ptr<PooledConnection> used) {
  CallResult result;
  // A connection that the database has closed meanwhile is found out when it is used; nothing was sent then.
  const std::uint32_t tries = call.database->pool().live() + 1;
  for (std::uint32_t count = 0; count < tries; ++count) {
    auto connection = co_await call.database->pool().acquire(call.deadline);
    if (!connection) {
      result.outcome = core::Outcome::kNotRun;
      result.error = connection.error();
      co_return result;
    }
    *used = std::move(connection).value();
    const CallInProgress in_progress(call.database, used->operator->(), call.term);
    result = co_await (*used)->call(call.call, time_left(call.give_up));
    observe(*call.database, result);
    if (result.outcome != core::Outcome::kNotRun ||
        result.error.kind != core::ErrorKind::kConnectionRefused) {
      co_return result;
    }
  }
  co_return result;
}

void observe(OwnedDatabase& database, const CallResult& result) {
  const core::Instant now = core::BootClock::now();
  const core::ErrorKind kind = result.error.kind;
  const bool failed = result.outcome != core::Outcome::kDone &&
                      (kind == core::ErrorKind::kConnectionRefused ||
                       kind == core::ErrorKind::kConnectionLost || kind == core::ErrorKind::kTimeout);
  if (failed) {
    database.monitor().on_data_failure(now);
  } else {
    database.monitor().on_data_answer(now);
  }
}

boost::asio::awaitable<void> outlast(boost::asio::io_context& io, std::shared_ptr<OwnedDatabase> database) {
  const core::Instant lost_at = core::BootClock::now();
  // A database that stands still runs nothing meanwhile, but goes on with it later.
  while (database->monitor().last_heard() <= lost_at && core::BootClock::now() - lost_at < kLongestSilence) {
    co_await sleep_for(io, kSilencePoll);
  }
  co_await sleep_for(io, database->gate().queue().service_time() * kServiceTimesToOutlast);
}

std::string execute_body(const ForwardRequest& request, const core::RequestId& attempt) {
  const bool needs_primary = request.kind == core::StatementKind::kWrite || !request.transaction.empty();
  JsonWriter body(kEnvelopeBytes + request.statement.size());
  body.add_text("request", attempt.value());
  body.add_text("kind", request.kind == core::StatementKind::kWrite ? "write" : "read");
  body.add_text("key", request.key.value());
  body.add_number("term", needs_primary ? request.term : 0);
  body.add_position("min_position", request.min_position);
  body.add_number("wait_ms", request.wait_ms);
  body.add_json("statement", request.statement);
  return body.finish();
}

ForwardReply reply_of(const ForwardRequest& request, CallResult result) {
  ForwardReply reply;
  reply.request = request.request;
  reply.database = request.database;
  reply.outcome = result.outcome;
  reply.applied = result.applied;
  reply.error = std::move(result.error);
  if (result.outcome == core::Outcome::kDone) {
    reply.result = std::move(result.result);
    reply.position = result.answer.position;
    reply.replayed = result.answer.replayed;
  }
  return reply;
}

ForwardReply refusal(const ForwardRequest& request, core::Error error) {
  ForwardReply reply;
  reply.request = request.request;
  reply.database = request.database;
  reply.outcome = core::Outcome::kNotRun;
  reply.error = std::move(error);
  return reply;
}

}  // namespace pipitpond::proxy
