#include "workload/caller.hpp"

#include <algorithm>
#include <utility>

#include "workload/statements.hpp"

namespace pipitpond::workload {
namespace {

constexpr std::uint32_t kDeadlineMs = 3000;
// Later than the proxy's own deadline, so that an answer is lost only when the proxy really fell silent.
constexpr core::Duration kAnswerTimeout = std::chrono::milliseconds(4000);
constexpr core::Duration kPatience = std::chrono::seconds(25);
constexpr core::Duration kShortestRetry = std::chrono::milliseconds(20);
constexpr const char* kStatementsPath = "/v1/statements";

bool may_have_run(Ending ending) {
  return ending == Ending::kUnknown || ending == Ending::kAnswerLost || ending == Ending::kUnreadable;
}

bool is_leaving(const Answer& answer) {
  return answer.error_kind == to_string(core::ErrorKind::kLeaving);
}

std::string text_of(const Cell& cell) {
  return cell.group.value() + "/" + cell.table + "/" + cell.id;
}

}  // namespace

Caller::Caller(RunContext& run, std::string name, core::TenantName tenant, std::uint64_t seed)
    : run_(run),
      name_(std::move(name)),
      tenant_(std::move(tenant)),
      random_(seed),
      client_(run.io, run.deployment.client_delay) {
  roam();
}

std::size_t Caller::draw(std::size_t limit) {
  return std::uniform_int_distribution<std::size_t>(0, limit - 1)(random_);
}

boost::asio::awaitable<void> Caller::think(core::Duration mean) {
  const auto half = static_cast<std::size_t>(mean.count() / 2);
  const core::Duration pause_time(static_cast<std::int64_t>(half + draw(2 * half + 1)));
  co_await pause(run_.io, pause_time);
}

void Caller::roam() {
  const auto& proxies = run_.deployment.proxies;
  std::size_t next = draw(proxies.size());
  if (proxies.size() > 1 && proxies[next].name == client_.proxy().name) {
    next = (next + 1) % proxies.size();
  }
  client_.use(proxies[next]);
}

void Caller::move_to(const core::ZoneName& zone) {
  if (client_.proxy().zone == zone) {
    return;
  }
  std::vector<ProxyAddress> there;
  for (const ProxyAddress& proxy : run_.deployment.proxies) {
    if (proxy.zone == zone) {
      there.push_back(proxy);
    }
  }
  if (there.empty()) {
    roam();
    return;
  }
  client_.use(there[draw(there.size())]);
}

core::RequestKey Caller::new_key() {
  const std::string number = std::to_string(next_key_++);
  return core::RequestKey(std::to_string(core::unix_millis_now()) + "-" + name_ + "-" + number);
}

bool Caller::pinned_to_primary(const core::GroupName& group) const {
  if (run_.deployment.variant == Variant::kPrimaryOnly) {
    return true;
  }
  if (run_.deployment.variant != Variant::kFixedPinning) {
    return false;
  }
  const auto last = last_write_us_.find(group);
  return last != last_write_us_.end() && unix_micros_now() - last->second < kPinningTime.count();
}

nlohmann::json Caller::base_body(const core::GroupName& group) const {
  nlohmann::json body = {{"group", group}, {"deadline_ms", kDeadlineMs}};
  body["tenant"] = pinned_to_primary(group) ? kPrimaryTenant : tenant_.value();
  // Fixed-time pinning is what callers do who have no session tokens.
  if (!session_.empty() && run_.deployment.variant != Variant::kFixedPinning) {
    body["session"] = session_;
  }
  return body;
}

std::size_t Caller::begin_record(const core::GroupName& group, Operation operation) {
  RequestRecord record;
  record.caller = name_;
  record.proxy = client_.proxy().name;
  record.group = group;
  record.operation = operation;
  record.began_us = unix_micros_now();
  run_.history.requests.push_back(std::move(record));
  return run_.history.requests.size() - 1;
}

void Caller::finish_record(std::size_t index, const Answer& answer) {
  RequestRecord& record = run_.history.requests[index];
  record.ended_us = unix_micros_now();
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
  const bool generated = !record.statements.empty() && record.statements.front().value("op", "") == "blob";
  record.result = generated ? nlohmann::json() : answer.result;
  if (answer.ending == Ending::kUnreadable) {
    mark_mixed(index, "unreadable answer: " + answer.error_message);
  }
}

void Caller::keep_session(const Answer& answer) {
  if (!answer.session.empty()) {
    session_ = answer.session;
  }
  if (answer.error_kind == to_string(core::ErrorKind::kPositionLost)) {
    session_.clear();
  }
}

void Caller::mark_stale(std::size_t index, const std::string& remark) {
  run_.history.requests[index].stale = true;
  run_.history.requests[index].remark = remark;
}

void Caller::mark_mixed(std::size_t index, const std::string& remark) {
  run_.history.requests[index].mixed = true;
  run_.history.requests[index].remark = remark;
}

void Caller::check_value(std::size_t index, const Cell& cell, const nlohmann::json& value) {
  const auto number = number_of(value, cell.id);
  if (!number) {
    mark_mixed(index, text_of(cell) + " answered with " + value.dump());
    return;
  }
  const std::int64_t floor = checker_.floor(cell);
  if (!checker_.read(cell, *number)) {
    mark_stale(index, text_of(cell) + " is " + std::to_string(*number) + ", the session knew " +
                          std::to_string(floor));
  }
}

boost::asio::awaitable<Answer> Caller::call(std::size_t index, std::string path, nlohmann::json body) {
  Answer answer = co_await client_.post(std::move(path), std::move(body), kAnswerTimeout);
  finish_record(index, answer);
  keep_session(answer);
  co_return answer;
}

boost::asio::awaitable<void> Caller::wait_before_retry(Answer answer) {
  const core::Duration told = std::chrono::milliseconds(answer.retry_after_ms);
  const core::Duration least = std::max(told, kShortestRetry);
  // Spread, so that callers that were refused together don't come back together.
  const auto spread = static_cast<std::size_t>(least.count() / 2);
  co_await pause(run_.io, least + core::Duration(static_cast<std::int64_t>(draw(spread + 1))));
}

boost::asio::awaitable<std::optional<nlohmann::json>> Caller::read(core::GroupName group,
                                                                   nlohmann::json statement,
                                                                   std::size_t* index) {
  *index = begin_record(group, Operation::kRead);
  run_.history.requests[*index].statements.push_back(statement);
  nlohmann::json body = base_body(group);
  body["kind"] = "read";
  body["statement"] = std::move(statement);
  Answer answer = co_await call(*index, kStatementsPath, std::move(body));
  if (answer.ending == Ending::kDone) {
    co_return answer.result;
  }
  if (answer.ending == Ending::kNotSent || answer.ending == Ending::kAnswerLost || is_leaving(answer)) {
    roam();
  }
  co_await wait_before_retry(answer);
  co_return std::nullopt;
}

boost::asio::awaitable<std::optional<std::int64_t>> Caller::read_value(core::GroupName group,
                                                                       std::string table, std::string id) {
  std::size_t index = 0;
  const auto result = co_await read(group, get_value(table, id), &index);
  if (!result) {
    co_return std::nullopt;
  }
  check_value(index, Cell{group, table, id}, *result);
  co_return number_of(*result, id);
}

boost::asio::awaitable<void> Caller::read_table(core::GroupName group, std::string table, std::size_t limit) {
  std::size_t index = 0;
  const auto result = co_await read(group, list_values(table, limit), &index);
  if (!result) {
    co_return;
  }
  if (!result->is_array() || result->size() > limit) {
    mark_mixed(index, "no list of at most " + std::to_string(limit) + " values");
    co_return;
  }
  for (const nlohmann::json& row : *result) {
    if (!row.is_object() || !row.contains("id") || !row.contains("value")) {
      mark_mixed(index, "no row of a table: " + row.dump());
      co_return;
    }
    check_value(index, Cell{group, table, row.at("id").get<std::string>()}, row.at("value"));
  }
}

boost::asio::awaitable<void> Caller::read_blob(core::GroupName group, std::size_t bytes) {
  const std::string seed = name_ + "." + std::to_string(next_blob_++);
  std::size_t index = 0;
  const auto result = co_await read(group, get_blob(bytes, seed), &index);
  if (result && !is_whole_blob(*result, bytes, seed)) {
    mark_mixed(index, "not the whole text of seed " + seed);
  }
}

void Caller::note_write(const core::GroupName& group, const nlohmann::json& statement,
                        const nlohmann::json& result) {
  last_write_us_[group] = unix_micros_now();
  const Cell cell{group, statement.at("table").get<std::string>(), statement.at("id").get<std::string>()};
  if (statement.at("op") == "put") {
    checker_.wrote(cell, statement.at("value").at("version").get<std::int64_t>());
    return;
  }
  if (result.is_number_integer()) {
    checker_.wrote(cell, result.get<std::int64_t>());
    return;
  }
  // A counter only grows, and the session saw its floor before this addition.
  checker_.wrote(cell, checker_.floor(cell) + statement.at("amount").get<std::int64_t>());
}

boost::asio::awaitable<Answer> Caller::send_write(core::GroupName group, nlohmann::json statement,
                                                  WriteAttempts attempts) {
  const std::size_t index = begin_record(group, Operation::kWrite);
  RequestRecord& record = run_.history.requests[index];
  record.key = attempts.key;
  record.resubmitted = attempts.in_doubt;
  record.statements.push_back(statement);
  nlohmann::json body = base_body(group);
  body["kind"] = "write";
  body["statement"] = std::move(statement);
  body["key"] = attempts.key;
  body["first"] = !attempts.sent;
  body["repeatable"] = false;
  Answer answer = co_await call(index, kStatementsPath, std::move(body));
  co_return answer;
}

boost::asio::awaitable<Answer> Caller::send_transaction(core::GroupName group,
                                                        std::vector<nlohmann::json> statements,
                                                        WriteAttempts attempts) {
  const std::size_t begin_index = begin_record(group, Operation::kBegin);
  Answer answer = co_await call(begin_index, "/v1/transactions", base_body(group));
  // Until the commit is sent nothing can have run, whatever became of the earlier requests.
  const std::string transaction = answer.transaction;
  if (answer.ending != Ending::kDone) {
    answer.ending = answer.ending == Ending::kNotSent ? Ending::kNotSent : Ending::kNotRun;
    co_return answer;
  }
  for (const nlohmann::json& statement : statements) {
    const std::size_t index = begin_record(group, Operation::kStatement);
    nlohmann::json body = base_body(group);
    body["kind"] = "write";
    body["statement"] = statement;
    body["transaction"] = transaction;
    answer = co_await call(index, kStatementsPath, std::move(body));
    if (answer.ending != Ending::kDone) {
      const std::size_t rollback_index = begin_record(group, Operation::kRollback);
      nlohmann::json rollback;
      rollback["transaction"] = transaction;
      co_await call(rollback_index, "/v1/transactions/rollback", std::move(rollback));
      answer.ending = Ending::kNotRun;
      co_return answer;
    }
  }
  const std::size_t index = begin_record(group, Operation::kCommit);
  RequestRecord& record = run_.history.requests[index];
  record.key = attempts.key;
  record.statements = std::move(statements);
  nlohmann::json body = {{"transaction", transaction}, {"key", attempts.key}};
  if (!session_.empty()) {
    body["session"] = session_;
  }
  answer = co_await call(index, "/v1/transactions/commit", std::move(body));
  co_return answer;
}

boost::asio::awaitable<Answer> Caller::ask_outcome(core::GroupName group, core::RequestKey key) {
  const std::size_t index = begin_record(group, Operation::kOutcome);
  run_.history.requests[index].key = key;
  run_.history.requests[index].resubmitted = true;
  nlohmann::json body = {{"group", group}, {"key", key}, {"settle", true}};
  if (!session_.empty()) {
    body["session"] = session_;
  }
  Answer answer = co_await call(index, "/v1/outcomes", std::move(body));
  co_return answer;
}

boost::asio::awaitable<std::optional<Answer>> Caller::settle(core::GroupName group,
                                                             std::vector<nlohmann::json> statements,
                                                             bool transaction) {
  WriteAttempts attempts;
  attempts.key = new_key();
  attempts.give_up_us = unix_micros_now() + kPatience.count();
  while (unix_micros_now() < attempts.give_up_us) {
    Answer answer;
    const bool ask = attempts.in_doubt && (transaction || chance(2));
    if (ask) {
      answer = co_await ask_outcome(group, attempts.key);
    } else if (transaction) {
      answer = co_await send_transaction(group, statements, attempts);
    } else {
      answer = co_await send_write(group, statements.front(), attempts);
    }
    if (answer.ending == Ending::kDone) {
      co_return answer;
    }
    attempts.sent = attempts.sent || answer.ending != Ending::kNotSent;
    const bool key_settled = answer.error_kind == to_string(core::ErrorKind::kKeySettled);
    if (answer.ending == Ending::kNotRun && (ask || key_settled || !attempts.in_doubt)) {
      // This key never ran and never will; the write itself goes on under a new one.
      attempts = {new_key(), false, false, attempts.give_up_us};
      if (is_leaving(answer)) {
        roam();
      }
    } else {
      attempts.in_doubt = attempts.in_doubt || may_have_run(answer.ending);
      roam();
    }
    co_await wait_before_retry(answer);
  }
  co_return std::nullopt;
}

boost::asio::awaitable<std::optional<Answer>> Caller::write(core::GroupName group, nlohmann::json statement) {
  std::vector<nlohmann::json> statements;
  statements.push_back(statement);
  auto answer = co_await settle(group, std::move(statements), false);
  if (answer) {
    note_write(group, statement, answer->result);
  }
  co_return answer;
}

boost::asio::awaitable<WriteResult> Caller::put(core::GroupName group, std::string table, std::string id,
                                                std::int64_t version) {
  const auto answer = co_await write(group, put_record(table, id, version));
  co_return answer ? WriteResult::kDone : WriteResult::kUnsettled;
}

boost::asio::awaitable<WriteResult> Caller::add(core::GroupName group, std::string table, std::string id,
                                                std::int64_t amount) {
  const auto answer = co_await write(group, add_to_counter(table, id, amount));
  co_return answer ? WriteResult::kDone : WriteResult::kUnsettled;
}

boost::asio::awaitable<WriteResult> Caller::transact(core::GroupName group,
                                                     std::vector<nlohmann::json> statements) {
  const auto answer = co_await settle(group, statements, true);
  if (!answer) {
    co_return WriteResult::kUnsettled;
  }
  for (const nlohmann::json& statement : statements) {
    note_write(group, statement, nlohmann::json());
  }
  co_return WriteResult::kDone;
}

}  // namespace pipitpond::workload
