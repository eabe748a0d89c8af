// One caller: keeps its session, resends under the same key, honours Retry-After, roams between proxies and
// checks every answer.
#pragma once

#include <utility>  // Before Asio's coroutine headers, which lack it.
//
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "core/ids.hpp"
#include "workload/deployment.hpp"
#include "workload/history.hpp"
#include "workload/proxy_client.hpp"
#include "workload/session_checker.hpp"

namespace pipitpond::workload {

/// What a finished write means to its caller.
enum class WriteResult : std::uint8_t {
  kDone,      ///< Acknowledged.
  kUnsettled  ///< The run ended, or patience did, before the key was settled.
};

/// Shared by all callers of a run.
struct RunContext {
  boost::asio::io_context& io;
  Deployment& deployment;
  History& history;
  /// Callers begin nothing new once set.
  bool stopping = false;
};

/// A person's device or a pipeline.
class Caller {
 public:
  Caller(RunContext& run, std::string name, core::TenantName tenant, std::uint64_t seed);

  /// Reads one value and checks it against the session. Empty unless it was done.
  boost::asio::awaitable<std::optional<std::int64_t>> read_value(core::GroupName group, std::string table,
                                                                 std::string id);
  /// Reads a table and checks each value against the session.
  boost::asio::awaitable<void> read_table(core::GroupName group, std::string table, std::size_t limit);
  /// Reads a generated text and checks that it is whole and this caller's own.
  boost::asio::awaitable<void> read_blob(core::GroupName group, std::size_t bytes);
  /// Puts a record and resends until it is settled.
  boost::asio::awaitable<WriteResult> put(core::GroupName group, std::string table, std::string id,
                                          std::int64_t version);
  /// Adds to a counter and resends until it is settled.
  boost::asio::awaitable<WriteResult> add(core::GroupName group, std::string table, std::string id,
                                          std::int64_t amount);
  /// Runs the statements as one transaction; opens another one when it did not run.
  boost::asio::awaitable<WriteResult> transact(core::GroupName group, std::vector<nlohmann::json> statements);

  /// Goes to a proxy of the zone if there is one, else to any.
  void move_to(const core::ZoneName& zone);
  /// Goes to another proxy, whichever zone it is in.
  void roam();
  /// Waits between half and one and a half times the mean.
  boost::asio::awaitable<void> think(core::Duration mean);
  [[nodiscard]] bool stopping() const { return run_.stopping; }
  /// Draws from 0 to limit - 1.
  std::size_t draw(std::size_t limit);
  /// True once in `chances` draws.
  bool chance(std::size_t chances) { return draw(chances) == 0; }

 private:
  /// State of one logical write over its resends.
  struct WriteAttempts {
    core::RequestKey key;
    bool sent = false;      ///< A request with the key may have reached a proxy.
    bool in_doubt = false;  ///< A request with the key ended without a clear outcome.
    UnixMicros give_up_us = 0;
  };

  core::RequestKey new_key();
  nlohmann::json base_body(const core::GroupName& group) const;
  std::size_t begin_record(const core::GroupName& group, Operation operation);
  void finish_record(std::size_t index, const Answer& answer);
  void keep_session(const Answer& answer);
  void mark_stale(std::size_t index, const std::string& remark);
  void mark_mixed(std::size_t index, const std::string& remark);
  void check_value(std::size_t index, const Cell& cell, const nlohmann::json& value);
  boost::asio::awaitable<Answer> call(std::size_t index, std::string path, nlohmann::json body);
  boost::asio::awaitable<std::optional<nlohmann::json>> read(core::GroupName group, nlohmann::json statement,
                                                             std::size_t* index);
  boost::asio::awaitable<std::optional<Answer>> write(core::GroupName group, nlohmann::json statement);
  boost::asio::awaitable<Answer> send_write(core::GroupName group, nlohmann::json statement,
                                            WriteAttempts attempts);
  boost::asio::awaitable<Answer> send_transaction(core::GroupName group,
                                                  std::vector<nlohmann::json> statements,
                                                  WriteAttempts attempts);
  boost::asio::awaitable<Answer> ask_outcome(core::GroupName group, core::RequestKey key);
  boost::asio::awaitable<std::optional<Answer>> settle(core::GroupName group,
                                                       std::vector<nlohmann::json> statements,
                                                       bool transaction);
  boost::asio::awaitable<void> wait_before_retry(Answer answer);
  void note_write(const core::GroupName& group, const nlohmann::json& statement,
                  const nlohmann::json& result);
  bool pinned_to_primary(const core::GroupName& group) const;

  RunContext& run_;
  std::string name_;
  core::TenantName tenant_;
  std::mt19937_64 random_;
  ProxyClient client_;
  SessionChecker checker_;
  std::string session_;
  std::uint64_t next_key_ = 0;
  std::uint64_t next_blob_ = 0;
  std::map<core::GroupName, UnixMicros> last_write_us_;
};

}  // namespace pipitpond::workload
