// A caller that runs generated requests one after the other and records what it was told.
#pragma once

#include <utility>  // Before Asio's coroutine headers, which lack it.
//
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <deque>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "core/ids.hpp"
#include "fuzz/command.hpp"
#include "workload/history.hpp"
#include "workload/proxy_client.hpp"

namespace pipitpond::fuzz {

/// Time after its deadline at which a caller stops waiting for an answer: the answer was held.
inline constexpr core::Duration kAnswerMargin = std::chrono::seconds(5);
/// Remark of records whose caller left without waiting.
inline constexpr const char* kLeftRemark = "the caller left";

/// What all callers of a run share. Used on the thread of `io` only.
struct CallerContext {
  boost::asio::io_context& io;
  core::GroupName group;
  std::vector<workload::ProxyAddress> proxies;
  workload::History history;
  std::vector<std::string> findings;       ///< What a caller itself saw to be wrong.
  std::vector<std::uint32_t> deadline_ms;  ///< Of each record of the history.
};

/// One caller with its session and a connection to each proxy.
class Caller {
 public:
  Caller(CallerContext& context, std::string name);

  /// Queues a request; starts at once when nothing else runs.
  void push(const Command& command);
  [[nodiscard]] bool idle() const { return !running_ && queue_.empty(); }
  /// Queues what settles every key that is in doubt, and a read through each proxy after it.
  void push_settlement();

 private:
  /// A write over its resends.
  struct Write {
    std::vector<nlohmann::json> statements;
    std::string key;          ///< Empty: none.
    std::string transaction;  ///< Empty: a single write.
  };

  boost::asio::awaitable<void> run();
  boost::asio::awaitable<void> perform(Command command);
  boost::asio::awaitable<void> read(Command command, nlohmann::json statement);
  boost::asio::awaitable<void> write(Command command);
  boost::asio::awaitable<void> send_until_settled(Command command, Write write);
  boost::asio::awaitable<workload::Answer> send(Command command, Write write, bool first);
  boost::asio::awaitable<void> twin_write(Command command);
  boost::asio::awaitable<void> send_twin(Command command, Write write, std::string twin, std::size_t* open);
  boost::asio::awaitable<void> leave(Command command);
  boost::asio::awaitable<void> transact(Command command);
  boost::asio::awaitable<void> ask_outcome(Command command, std::string key);
  boost::asio::awaitable<void> settle_all();
  boost::asio::awaitable<workload::Answer> call(std::size_t index, workload::ProxyClient& client,
                                                std::string path, nlohmann::json body,
                                                core::Duration timeout);
  boost::asio::awaitable<workload::Answer> call(std::size_t index, const Command& command, std::string path,
                                                nlohmann::json body);

  std::size_t begin_record(const Command& command, workload::Operation operation, const std::string& caller);
  void finish_record(std::size_t index, const workload::Answer& answer);
  void keep_session(const workload::Answer& answer);
  void note_key(const std::string& key, workload::Ending ending);
  [[nodiscard]] nlohmann::json body_of(const Command& command) const;
  [[nodiscard]] nlohmann::json write_statement(const std::string& mark, std::uint32_t row) const;
  std::string new_mark();
  static std::string key_of(const std::string& mark);

  CallerContext& context_;
  std::string name_;
  std::vector<workload::ProxyClient> clients_;
  std::deque<Command> queue_;
  bool running_ = false;
  bool settling_ = false;
  std::string session_;
  std::uint64_t next_mark_ = 0;
  std::string last_key_;
  std::vector<std::string> doubtful_keys_;
};

}  // namespace pipitpond::fuzz
