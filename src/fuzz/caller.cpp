#include "fuzz/caller.hpp"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <exception>
#include <utility>

#include "core/clock.hpp"
#include "workload/statements.hpp"

namespace pipitpond::fuzz {
namespace {

using workload::Answer;
using workload::Ending;
using workload::Operation;
using workload::RequestRecord;

constexpr const char* kTable = "records";
constexpr const char* kStatementsPath = "/v1/statements";
constexpr std::size_t kListLimit = 50;
constexpr std::size_t kLargeBytes = 400'000;
/// Statements on this row take long, so that faults hit them while they run.
constexpr std::uint32_t kSlowRow = 3;
constexpr std::uint32_t kSlowWorkMs = 60;
constexpr std::uint32_t kMaxSends = 3;  ///< Of one key, the settlement aside.
constexpr core::Duration kResendPause = std::chrono::milliseconds(20);
constexpr core::Duration kSettlePause = std::chrono::milliseconds(200);
constexpr core::Duration kSettleLimit = std::chrono::seconds(60);
constexpr std::uint32_t kSettleDeadlineMs = 5000;

void rethrow(std::exception_ptr failure) {
  if (failure) {
    std::rethrow_exception(failure);
  }
}

bool in_doubt(Ending ending) {
  return ending == Ending::kUnknown || ending == Ending::kAnswerLost || ending == Ending::kUnreadable;
}

std::string row_name(std::uint32_t row) {
  return "row-" + std::to_string(row);
}

core::Duration answer_limit(std::uint32_t deadline_ms) {
  return std::chrono::milliseconds(deadline_ms) + kAnswerMargin;
}

}  // namespace

Caller::Caller(CallerContext& context, std::string name) : context_(context), name_(std::move(name)) {
  for (const workload::ProxyAddress& proxy : context_.proxies) {
    clients_.emplace_back(context_.io, core::Duration::zero());
    clients_.back().use(proxy);
  }
}

void Caller::push(const Command& command) {
  queue_.push_back(command);
  if (!running_) {
    running_ = true;
    boost::asio::co_spawn(context_.io, run(), rethrow);
  }
}

void Caller::push_settlement() {
  settling_ = true;
  push(Command{});
}

boost::asio::awaitable<void> Caller::run() {
  while (!queue_.empty()) {
    const Command command = queue_.front();
    queue_.pop_front();
    co_await perform(command);
  }
  if (settling_) {
    settling_ = false;
    co_await settle_all();
  }
  running_ = false;
}

boost::asio::awaitable<void> Caller::perform(Command command) {
  switch (command.action) {
    case Action::kRead:
      co_await read(command, workload::get_value(kTable, row_name(command.row)));
      break;
    case Action::kList:
      co_await read(command, workload::list_values(kTable, kListLimit));
      break;
    case Action::kReadLarge:
      co_await read(command, workload::get_blob(kLargeBytes, new_mark()));
      break;
    case Action::kWrite:
      co_await write(command);
      break;
    case Action::kTwinWrite:
      co_await twin_write(command);
      break;
    case Action::kLeave:
      co_await leave(command);
      break;
    case Action::kTransaction:
      co_await transact(command);
      break;
    case Action::kAskOutcome:
      if (!last_key_.empty()) {
        co_await ask_outcome(command, last_key_);
      }
      break;
    default:
      break;
  }
}

boost::asio::awaitable<void> Caller::read(Command command, nlohmann::json statement) {
  const std::size_t index = begin_record(command, Operation::kRead, name_);
  context_.history.requests[index].statements = {statement};
  nlohmann::json body = body_of(command);
  body["kind"] = "read";
  body["statement"] = statement;
  const Answer answer = co_await call(index, command, kStatementsPath, std::move(body));
  keep_session(answer);
  if (answer.ending == Ending::kDone && statement.at("op") == "blob") {
    RequestRecord& record = context_.history.requests[index];
    record.result = nullptr;
    record.mixed = !workload::is_whole_blob(answer.result, kLargeBytes, statement.at("seed"));
  }
}

boost::asio::awaitable<void> Caller::write(Command command) {
  const std::string mark = new_mark();
  Write write;
  write.statements = {write_statement(mark, command.row)};
  write.key = command.keyed ? key_of(mark) : "";
  co_await send_until_settled(command, std::move(write));
}

boost::asio::awaitable<void> Caller::send_until_settled(Command command, Write write) {
  const std::uint32_t sends = write.key.empty() ? 1 : kMaxSends;
  for (std::uint32_t count = 0; count < sends; ++count) {
    const Answer answer = co_await send(command, write, count == 0);
    keep_session(answer);
    note_key(write.key, answer.ending);
    if (!in_doubt(answer.ending)) {
      co_return;
    }
    command.proxy = (command.proxy + 1) % kProxies;
    co_await workload::pause(context_.io, kResendPause);
  }
}

boost::asio::awaitable<Answer> Caller::send(Command command, Write write, bool first) {
  const bool commit = !write.transaction.empty();
  const std::size_t index = begin_record(command, commit ? Operation::kCommit : Operation::kWrite, name_);
  RequestRecord& record = context_.history.requests[index];
  record.key = core::RequestKey(write.key);
  record.statements = write.statements;
  record.resubmitted = !first;
  nlohmann::json body = body_of(command);
  if (commit) {
    body.erase("group");
    body["transaction"] = write.transaction;
  } else {
    body["kind"] = "write";
    body["statement"] = write.statements.front();
  }
  if (!write.key.empty()) {
    body["key"] = write.key;
    body["first"] = first;
  }
  Answer answer =
      co_await call(index, command, commit ? "/v1/transactions/commit" : kStatementsPath, std::move(body));
  co_return answer;
}

boost::asio::awaitable<void> Caller::twin_write(Command command) {
  const std::string mark = new_mark();
  Write write;
  write.statements = {write_statement(mark, command.row)};
  write.key = key_of(mark);
  std::size_t open = 2;
  boost::asio::co_spawn(context_.io, send_twin(command, write, name_ + "-twin-a-" + mark, &open), rethrow);
  command.proxy = (command.proxy + 1) % kProxies;
  boost::asio::co_spawn(context_.io, send_twin(command, write, name_ + "-twin-b-" + mark, &open), rethrow);
  while (open > 0) {
    co_await workload::pause(context_.io, kResendPause);
  }
}

boost::asio::awaitable<void> Caller::send_twin(Command command, Write write, std::string twin,
                                               std::size_t* open) {
  const std::size_t index = begin_record(command, Operation::kWrite, twin);
  RequestRecord& record = context_.history.requests[index];
  record.key = core::RequestKey(write.key);
  record.statements = write.statements;
  nlohmann::json body = body_of(command);
  body["kind"] = "write";
  body["statement"] = write.statements.front();
  body["key"] = write.key;
  workload::ProxyClient client(context_.io, core::Duration::zero());
  client.use(context_.proxies[command.proxy % context_.proxies.size()]);
  const Answer answer =
      co_await call(index, client, kStatementsPath, std::move(body), answer_limit(command.deadline_ms));
  note_key(write.key, answer.ending);
  --*open;
}

boost::asio::awaitable<void> Caller::leave(Command command) {
  const std::string mark = new_mark();
  const std::size_t index = begin_record(command, Operation::kWrite, name_);
  RequestRecord& record = context_.history.requests[index];
  record.statements = {write_statement(mark, command.row)};
  record.key = core::RequestKey(command.keyed ? key_of(mark) : "");
  record.remark = kLeftRemark;
  const std::string key = record.key.value();
  nlohmann::json body = body_of(command);
  body["kind"] = "write";
  body["statement"] = record.statements.front();
  if (command.keyed) {
    body["key"] = key;
  }
  workload::ProxyClient client(context_.io, core::Duration::zero());
  client.use(context_.proxies[command.proxy % context_.proxies.size()]);
  const core::Duration patience = std::chrono::milliseconds(1 + command.row * 2);
  const Answer answer = co_await call(index, client, kStatementsPath, std::move(body), patience);
  keep_session(answer);
  note_key(key, answer.ending);
}

boost::asio::awaitable<void> Caller::transact(Command command) {
  const std::string mark = new_mark();
  const std::size_t begin = begin_record(command, Operation::kBegin, name_);
  const Answer begun = co_await call(begin, command, "/v1/transactions", body_of(command));
  if (begun.ending != Ending::kDone) {
    co_return;
  }
  Write write;
  write.transaction = begun.transaction;
  write.key = command.keyed ? key_of(mark) : "";
  for (std::uint32_t count = 0; count < command.statements; ++count) {
    command.proxy = (command.proxy + command.row) % kProxies;
    write.statements.push_back(write_statement(mark, command.row + count));
    write.statements.back()["part"] = count;
    const std::size_t index = begin_record(command, Operation::kStatement, name_);
    nlohmann::json body = body_of(command);
    body["kind"] = "write";
    body["statement"] = write.statements.back();
    body["transaction"] = write.transaction;
    const Answer answer = co_await call(index, command, kStatementsPath, std::move(body));
    keep_session(answer);
    if (answer.ending != Ending::kDone) {
      command.end = End::kRollback;
      break;
    }
  }
  if (command.end == End::kCommit) {
    co_await send_until_settled(command, std::move(write));
  } else if (command.end == End::kRollback) {
    const std::size_t index = begin_record(command, Operation::kRollback, name_);
    nlohmann::json body;
    body["transaction"] = write.transaction;
    body["deadline_ms"] = command.deadline_ms;
    co_await call(index, command, "/v1/transactions/rollback", std::move(body));
  }
}

boost::asio::awaitable<void> Caller::ask_outcome(Command command, std::string key) {
  const std::size_t index = begin_record(command, Operation::kOutcome, name_);
  context_.history.requests[index].key = core::RequestKey(key);
  nlohmann::json body = body_of(command);
  body["key"] = key;
  body["settle"] = command.keyed;
  const Answer answer = co_await call(index, command, "/v1/outcomes", std::move(body));
  keep_session(answer);
  note_key(key, answer.ending);
}

boost::asio::awaitable<void> Caller::settle_all() {
  Command command;
  command.keyed = true;
  command.deadline_ms = kSettleDeadlineMs;
  const core::Instant give_up = core::BootClock::now() + kSettleLimit;
  const std::vector<std::string> keys = doubtful_keys_;
  for (const std::string& key : keys) {
    while (std::count(doubtful_keys_.begin(), doubtful_keys_.end(), key) > 0) {
      if (core::BootClock::now() >= give_up) {
        context_.findings.push_back("held: key '" + key +
                                    "' could not be settled after all faults had ended");
        co_return;
      }
      co_await ask_outcome(command, key);
      command.proxy = (command.proxy + 1) % kProxies;
      co_await workload::pause(context_.io, kSettlePause);
    }
  }
  command.keyed = false;
  for (command.proxy = 0; command.proxy < clients_.size(); ++command.proxy) {
    co_await read(command, workload::list_values(kTable, kListLimit));
  }
}

boost::asio::awaitable<Answer> Caller::call(std::size_t index, const Command& command, std::string path,
                                            nlohmann::json body) {
  Answer answer = co_await call(index, clients_[command.proxy % clients_.size()], std::move(path),
                                std::move(body), answer_limit(command.deadline_ms));
  co_return answer;
}

boost::asio::awaitable<Answer> Caller::call(std::size_t index, workload::ProxyClient& client,
                                            std::string path, nlohmann::json body, core::Duration timeout) {
  Answer answer = co_await client.post(std::move(path), std::move(body), timeout);
  finish_record(index, answer);
  co_return answer;
}

std::size_t Caller::begin_record(const Command& command, Operation operation, const std::string& caller) {
  RequestRecord record;
  record.caller = caller;
  record.proxy = context_.proxies[command.proxy % context_.proxies.size()].name;
  record.group = context_.group;
  record.operation = operation;
  record.began_us = workload::unix_micros_now();
  context_.history.requests.push_back(std::move(record));
  context_.deadline_ms.push_back(command.deadline_ms);
  return context_.history.requests.size() - 1;
}

void Caller::finish_record(std::size_t index, const Answer& answer) {
  RequestRecord& record = context_.history.requests[index];
  record.ended_us = workload::unix_micros_now();
  record.ending = answer.ending;
  record.status = answer.status;
  record.error_kind = answer.error_kind;
  record.error_message = answer.error_message;
  record.retry_after_ms = answer.retry_after_ms;
  record.request = answer.request;
  record.database = answer.database;
  record.served_by = answer.served_by;
  record.position = answer.position;
  record.replayed = answer.replayed;
  record.attempts = answer.attempts;
  record.result = answer.result;
  record.mixed = answer.ending == Ending::kUnreadable;
}

void Caller::keep_session(const Answer& answer) {
  if (!answer.session.empty()) {
    session_ = answer.session;
  }
  // Nothing that was acknowledged is ever lost in these runs, so no position is.
  if (answer.error_kind == to_string(core::ErrorKind::kPositionLost)) {
    context_.findings.push_back("lost: " + name_ + " was told that its session's position is lost, request " +
                                answer.request);
    session_.clear();
  }
}

void Caller::note_key(const std::string& key, Ending ending) {
  if (key.empty()) {
    return;
  }
  last_key_ = key;
  const auto found = std::find(doubtful_keys_.begin(), doubtful_keys_.end(), key);
  const bool settled = ending == Ending::kDone || ending == Ending::kNotRun;
  if (settled && found != doubtful_keys_.end()) {
    doubtful_keys_.erase(found);
  } else if (!settled && found == doubtful_keys_.end()) {
    doubtful_keys_.push_back(key);
  }
}

nlohmann::json Caller::body_of(const Command& command) const {
  nlohmann::json body = {{"group", context_.group}, {"deadline_ms", command.deadline_ms}};
  if (!session_.empty()) {
    body["session"] = session_;
  }
  return body;
}

nlohmann::json Caller::write_statement(const std::string& mark, std::uint32_t row) const {
  nlohmann::json statement = row % 2 == 0 ? workload::add_to_counter(kTable, row_name(row), 1)
                                          : nlohmann::json{{"op", "put"},
                                                           {"table", kTable},
                                                           {"id", row_name(row)},
                                                           {"value", mark + "/" + std::to_string(row)}};
  statement["mark"] = mark;
  if (row == kSlowRow) {
    statement["work_ms"] = kSlowWorkMs;
  }
  return statement;
}

std::string Caller::new_mark() {
  return name_ + "." + std::to_string(++next_mark_);
}

std::string Caller::key_of(const std::string& mark) {
  return std::to_string(core::unix_millis_now()) + "-" + mark;
}

}  // namespace pipitpond::fuzz
