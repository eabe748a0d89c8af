// One caller's session: its values and prepared statements, the transaction it is in, and the way of each
// statement to a database and back. Sessions share the pools' connections; a transaction keeps one to itself.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "core/clock.hpp"
#include "core/log_position.hpp"
#include "pooling/backends.hpp"
#include "pooling/caller_access.hpp"
#include "pooling/metrics.hpp"
#include "pooling/request_trace.hpp"
#include "pooling/routes.hpp"
#include "pooling/session_state.hpp"
#include "pooling/statement.hpp"

namespace pipitpond::pooling {

class CallerSession;

/// What all sessions of a daemon share.
struct SessionServices {
  boost::asio::io_context& io;
  Backends& backends;
  Routes& routes;
  CallerAccess& access;
  PoolingCounters& counters;
  StatementTimes& times;
  std::set<CallerSession*> sessions;  ///< All that are open.
};

/// A session. Runs one statement at a time; must outlive a statement that runs.
class CallerSession {
 public:
  /// `key`: the digest of the caller's key; empty where none is needed.
  CallerSession(SessionServices& services, std::string database, protocol::KeyDigest key = {});
  ~CallerSession();
  CallerSession(const CallerSession&) = delete;
  CallerSession& operator=(const CallerSession&) = delete;

  /// Runs a statement and gives its answer. Nothing is held back: what is given up on is answered at once.
  boost::asio::awaitable<StatementReply> run(Statement statement);

  /// Ends a transaction whose caller has rested for the limit of the routes. The caller learns of it with the
  /// next statement.
  void end_transaction_if_idle(core::Instant now);
  /// Ends an open transaction between two statements, because the daemon stops.
  void end_transaction_for_stop();

  [[nodiscard]] TransactionState state() const;
  /// A statement is running.
  [[nodiscard]] bool running() const { return running_; }

 private:
  /// A transaction and the connection that it keeps.
  struct Transaction {
    Transaction(protocol::Route its_route, core::TenantName its_tenant, BackendChoice its_choice,
                std::unique_ptr<StatementLease> its_lease);

    protocol::Route route;
    core::TenantName tenant;                ///< For whom it was begun.
    std::unique_ptr<StatementLease> lease;  ///< Null once the connection is lost.
    BackendChoice choice;
    bool failed;
    bool wrote;
    core::Instant last_statement_ended_at;
  };

  /// Where a transaction runs.
  struct TransactionPlace {
    BackendChoice choice;
    protocol::Route route;
  };

  /// One statement outside a transaction, or the begin of one, while a database is sought for it.
  struct Search {
    protocol::Route route;
    tenancy::Access access;
    Statement statement;
    core::Instant started;
    core::Instant deadline;                     ///< Of the statement's run.
    core::Instant goal = core::Instant::max();  ///< After it, the answer is late.
    core::Instant stop_waiting;                 ///< Without a database until then, it is given up.
    bool needs_primary = false;
    std::set<core::DatabaseId> avoided;
    std::optional<core::LogPosition> after;  ///< That the log of the database last asked had to reach.
    std::uint32_t failed_reads = 0;
    std::optional<QuotaReceipt> quota;  ///< Of the operation that its tenant's homes granted.
    bool may_have_run = false;          ///< At some database, whatever the answer says.
    Failure last_failure;
    core::Duration pause{};  ///< Before the next attempt.
    /// A read's position must still cover its staleness after this time: how long it may wait elsewhere.
    core::Duration max_connection_wait{};
    RequestTrace trace{core::Instant{}};
  };

  static TraceStep step_at(const BackendChoice& choice, TraceEvent event, std::string detail);
  boost::asio::awaitable<StatementReply> dispatch(Statement statement);
  StatementReply set_value(const Statement& statement);
  StatementReply prepare(const Statement& statement);
  StatementReply forget(const Statement& statement);
  StatementReply end_failed_transaction(const Statement& statement);

  boost::asio::awaitable<StatementReply> run_outside_transaction(Statement statement);
  /// Judges the caller's key, and takes an operation of its tenant's quota. A refusal: nothing else is to be
  /// done.
  boost::asio::awaitable<std::optional<StatementReply>> refuse_or_admit(Search& search);
  /// The refusal of a key that may not ask now; nothing: it may, for the tenant that the search was begun
  /// for.
  std::optional<StatementReply> refuse_key(Search& search) const;
  std::optional<StatementReply> refuse_key_in_transaction(const Statement& statement);
  boost::asio::awaitable<StatementReply> search_until_answered(Search& search);
  /// Gives the tenant's operation back when the statement surely did not run anywhere.
  void give_back_if_not_run(const Search& search, const StatementReply& reply) const;
  void write_trace(const Search& search, const StatementReply& reply) const;
  void write_transaction_failure(const Statement& statement, core::Instant sent,
                                 const TransactionPlace& place, TraceEvent event,
                                 const StatementReply& reply) const;
  std::optional<Search> begin_search(Statement statement) const;
  [[nodiscard]] BackendRequirement need_of(const Search& search, core::Instant now) const;
  /// A read that only the primary can serve, because no position is known that a replica would need.
  [[nodiscard]] static bool lacks_position(const Search& search, const BackendRequirement& need);
  /// Why a read must wait before it is sent anywhere; null: it need not.
  [[nodiscard]] const char* reason_to_wait(const Search& search, const BackendRequirement& need,
                                           core::Instant now);
  [[nodiscard]] bool is_proven_fresh(const Search& search, const BackendChoice& choice,
                                     const BackendRequirement& need, core::Instant now) const;
  [[nodiscard]] ConnectionRequest connection_request(const Search& search) const;
  boost::asio::awaitable<std::optional<StatementReply>> attempt(Search& search);
  boost::asio::awaitable<std::optional<StatementReply>> attempt_at(Search& search, BackendChoice choice,
                                                                   std::unique_ptr<StatementLease> lease);
  std::optional<StatementReply> on_lost(Search& search, const BackendChoice& choice,
                                        const core::Error& error);
  std::optional<StatementReply> on_failure(Search& search, const BackendChoice& choice, StatementReply reply);
  StatementReply accept(const Search& search, const BackendChoice& choice,
                        std::unique_ptr<StatementLease> lease, StatementReply reply);
  StatementReply give_up(const Search& search) const;

  boost::asio::awaitable<StatementReply> run_in_transaction(Statement statement);
  boost::asio::awaitable<core::Result<StatementReply>> run_on_lease(const Statement& statement,
                                                                    core::Instant deadline);
  StatementReply on_transaction_lost(const Statement& statement, const core::Error& error);
  void after_transaction_statement(const Statement& statement, const StatementReply& reply);
  void leave_transaction();

  void note_own_position(const StatementReply& reply);
  void count(const StatementReply& reply);

  SessionServices& services_;
  std::string database_;
  protocol::KeyDigest key_;
  SessionState session_;
  std::optional<Transaction> transaction_;
  std::optional<core::LogPosition> own_position_;  ///< Of this session's last acknowledged write.
  bool running_ = false;
};

}  // namespace pipitpond::pooling
