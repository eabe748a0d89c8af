// One stand-in database on the platform's wire: sessions, transactions, session values, prepared statements,
// and the faults that tests bring about. Replication between the databases of a service goes through memory.
#pragma once

#include <utility>  // Before Asio's coroutine headers, which lack it.
//
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/clock.hpp"
#include "core/endpoint.hpp"
#include "net/line_stream.hpp"
#include "platform_stage/log.hpp"

namespace pipitpond::platform_stage {

/// How a database behaves.
struct DatabaseOptions {
  std::string id;
  std::string service;
  std::string zone = "stage";
  std::uint16_t port = 0;
  std::size_t max_connections = 32;
  core::Duration work = std::chrono::milliseconds(2);  ///< Of each read, write and commit.
};

/// A statement that ran, for the judge of a test.
struct Executed {
  std::string request;
  std::string text;
  std::map<std::string, std::string> values;  ///< Session values on the connection.
  core::LogPosition seen;                     ///< End of the log that it ran on.
};

/// What a database asks of its service.
class Replication {
 public:
  virtual ~Replication() = default;
  /// A commit was appended at `primary`; `acknowledged` is called once enough replicas have received it.
  virtual void replicate(const std::string& primary, std::function<void()> acknowledged) = 0;
};

/// One database. Single-threaded.
class Database {
 public:
  Database(boost::asio::io_context& io, DatabaseOptions options, Replication& replication);
  ~Database();
  Database(const Database&) = delete;
  Database& operator=(const Database&) = delete;

  void start();

  // Faults.
  void crash();                    ///< Connections break, the port refuses. The log stays.
  void restart();                  ///< After a crash, under its id: a new life with the log of the last one.
  void restart_empty();            ///< After a crash, under its id: a new life that holds nothing of before.
  void set_dark(bool dark);        ///< Says nothing to anybody.
  void set_cut_off(bool cut_off);  ///< From the other databases.
  /// A deaf replica receives nothing from its primary, and answers everybody.
  void set_deaf(bool deaf) { deaf_ = deaf; }
  void set_work(core::Duration work) { options_.work = work; }
  /// The next answers of this many statements are lost: the connection breaks after the statement ran.
  void lose_answers(int count) { answers_to_lose_ = count; }
  /// The next statements of this many fail although the database is well.
  void fail_statements(int count) { statements_to_fail_ = count; }

  // The service's side.
  void become_primary(core::Term term);
  void follow(core::Term term);
  void receive(const Log& log) { log_ = log; }
  [[nodiscard]] bool receives() const {
    return running_ && !dark_ && !cut_off_ && !deaf_ && held_term_ == 0 && !primary_;
  }
  /// Held, and within reach of the others.
  [[nodiscard]] bool is_held_replica() const { return linked() && held_term_ != 0 && !primary_; }
  [[nodiscard]] bool linked() const { return running_ && !dark_ && !cut_off_; }
  [[nodiscard]] bool running() const { return running_; }
  [[nodiscard]] bool primary() const { return primary_; }
  [[nodiscard]] core::Term term() const { return term_; }
  /// Start of the present life, in milliseconds of Unix time. Each start is later than the one before.
  [[nodiscard]] std::uint64_t born() const { return born_; }
  [[nodiscard]] const Log& log() const { return log_; }
  [[nodiscard]] const DatabaseOptions& options() const { return options_; }
  [[nodiscard]] const std::vector<Executed>& executed() const { return executed_; }
  [[nodiscard]] std::size_t connections() const { return sessions_.size(); }

 private:
  struct Session;

  void take_port();
  boost::asio::awaitable<void> accept(std::uint64_t life);
  boost::asio::awaitable<void> serve(std::shared_ptr<Session> session);
  boost::asio::awaitable<bool> open(Session& session);
  boost::asio::awaitable<std::string> run(Session& session, std::string id, std::string text);
  boost::asio::awaitable<std::string> run_statement(Session& session, std::string id, std::string text);
  boost::asio::awaitable<std::string> commit(Session& session, std::string id, std::vector<Write> writes);
  std::string run_own(Session& session, const std::string& text);
  std::string status_row() const;
  std::string ready(const Session& session) const;
  std::string done(const std::string& id);
  std::string failed(const std::string& code, const std::string& text, const Session& session) const;
  void note(const Session& session, const std::string& id, const std::string& text);

  boost::asio::io_context& io_;
  DatabaseOptions options_;
  Replication& replication_;
  std::unique_ptr<boost::asio::ip::tcp::acceptor> acceptor_;
  std::set<std::shared_ptr<Session>> sessions_;
  Log log_;
  core::Term term_ = 1;
  core::Term held_term_ = 0;
  bool primary_ = false;
  bool running_ = false;
  bool dark_ = false;
  bool cut_off_ = false;
  bool deaf_ = false;
  std::uint64_t life_ = 0;
  std::uint64_t born_ = 0;
  int answers_to_lose_ = 0;
  int statements_to_fail_ = 0;
  std::uint64_t signatures_ = 0;
  std::vector<Executed> executed_;
};

}  // namespace pipitpond::platform_stage
