// One caller's session: its session values, prepared statements and open transaction. Routes each statement
// to a database and retries where that is safe. Sessions share pooled connections; a transaction holds one
// exclusively.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <map>
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

/// Services shared by all sessions of a daemon.
struct SessionServices {
  boost::asio::io_context& io;
  Backends& backends;
  Routes& routes;
  CallerAccess& access;
  PoolingCounters& counters;
  StatementTimes& times;
  std::set<CallerSession*> sessions;  ///< All open sessions.
};

/// Runs one statement at a time. Must outlive a running statement.
class CallerSession {
 public:
  /// `key`: digest of the caller's API key; empty if no key is required.
  CallerSession(SessionServices& services, std::string database, protocol::KeyDigest key = {});
  ~CallerSession();
  CallerSession(const CallerSession&) = delete;
  CallerSession& operator=(const CallerSession&) = delete;

  /// Runs a statement and returns its reply. A statement that is given up is answered at once, not at its
  /// timeout.
  boost::asio::awaitable<StatementReply> run(Statement statement);

  /// Aborts the transaction if it has been idle for the route table's limit. The caller learns of this with
  /// its next statement.
  void end_transaction_if_idle(core::Instant now);
  /// Aborts the transaction if no statement is running, because the daemon stops.
  void end_transaction_for_stop();

  [[nodiscard]] TransactionState state() const;
  [[nodiscard]] bool running() const { return running_; }

 private:
  /// An open transaction and the connection that it holds.
  struct Transaction {
    Transaction(protocol::Route begin_route, core::TenantName begin_tenant, BackendChoice begin_choice,
                std::unique_ptr<StatementLease> begin_lease);

    protocol::Route route;
    core::TenantName tenant;                ///< The tenant that began it.
    std::unique_ptr<StatementLease> lease;  ///< Null once the connection is lost.
    BackendChoice choice;
    bool failed;
    bool wrote;
    core::Instant last_statement_ended_at;
  };

  /// The database and route of a transaction.
  struct TransactionPlace {
    BackendChoice choice;
    protocol::Route route;
  };

  /// State of a statement outside a transaction, or of a BEGIN, across its attempts at databases.
  struct PendingStatement {
    protocol::Route route;
    tenancy::Access access;
    Statement statement;
    core::Instant started;
    core::Instant deadline;                     ///< End of the statement's timeout.
    core::Instant goal = core::Instant::max();  ///< A later answer misses the route's goal.
    core::Instant wait_deadline;                ///< Given up if no database has accepted it by then.
    bool needs_primary = false;
    std::set<core::DatabaseId> avoided;      ///< Databases that failed for this statement.
    std::optional<core::LogPosition> after;  ///< Log position required of the last database.
    std::uint32_t failed_reads = 0;          ///< Runs of a read that failed.
    std::optional<QuotaReceipt> quota;       ///< For the operation granted by the tenant's homes.
    bool may_have_run = false;               ///< At any database, whatever the last reply says.
    Failure last_failure;
    core::Duration retry_delay{};  ///< Delay before the next attempt.
    /// How long a read may queue at another daemon: its position must still satisfy the staleness bound after
    /// that time.
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
  /// Checks the caller's key and takes one operation from its tenant's quota. Returns the reply if refused.
  boost::asio::awaitable<std::optional<StatementReply>> check_admission(PendingStatement& pending);
  /// Checks the caller's key. Returns the reply if it is refused, nothing if it is valid and still belongs to
  /// the tenant that the statement was admitted for.
  std::optional<StatementReply> check_caller_key(PendingStatement& pending) const;
  std::optional<StatementReply> check_caller_key_in_transaction(const Statement& statement);
  boost::asio::awaitable<StatementReply> run_until_answered(PendingStatement& pending);
  /// Returns the operation to the tenant's quota if the statement definitely did not run at any database.
  void give_back_if_not_run(const PendingStatement& pending, const StatementReply& reply) const;
  void log_trace(const PendingStatement& pending, const StatementReply& reply) const;
  void log_transaction_failure(const Statement& statement, core::Instant sent, const TransactionPlace& place,
                               TraceEvent event, const StatementReply& reply) const;
  std::optional<PendingStatement> begin_statement(Statement statement) const;
  [[nodiscard]] BackendRequirement need_of(const PendingStatement& pending, core::Instant now) const;
  /// True for a read that only the primary can serve, because no log position is known to require of a
  /// replica.
  [[nodiscard]] static bool lacks_position(const PendingStatement& pending, const BackendRequirement& need);
  [[nodiscard]] const char* reason_to_hold_write_back(const core::GroupName& group, core::Instant now);
  /// Why a statement must not be sent to any database yet; null if it may.
  [[nodiscard]] const char* reason_to_wait(const PendingStatement& pending, const BackendRequirement& need,
                                           core::Instant now);
  [[nodiscard]] bool is_proven_fresh(const PendingStatement& pending, const BackendChoice& choice,
                                     const BackendRequirement& need, const StatementReply& reply,
                                     core::Instant now) const;
  /// Prepares the next attempt of a read whose answer was not proven to be fresh.
  void on_not_proven_fresh(PendingStatement& pending, const BackendChoice& choice,
                           const StatementReply& reply, core::Instant now);
  [[nodiscard]] ConnectionRequest connection_request(const PendingStatement& pending) const;
  boost::asio::awaitable<std::optional<StatementReply>> attempt(PendingStatement& pending);
  boost::asio::awaitable<std::optional<StatementReply>> attempt_at(PendingStatement& pending,
                                                                   BackendChoice choice,
                                                                   std::unique_ptr<StatementLease> lease);
  std::optional<StatementReply> on_attempt_lost(PendingStatement& pending, const BackendChoice& choice,
                                                const core::Error& error);
  std::optional<StatementReply> on_attempt_failed(PendingStatement& pending, const BackendChoice& choice,
                                                  StatementReply reply);
  StatementReply accept_reply(const PendingStatement& pending, const BackendChoice& choice,
                              std::unique_ptr<StatementLease> lease, StatementReply reply);
  StatementReply give_up(const PendingStatement& pending) const;

  boost::asio::awaitable<StatementReply> run_in_transaction(Statement statement);
  boost::asio::awaitable<core::Result<StatementReply>> run_on_lease(const Statement& statement,
                                                                    core::Instant deadline);
  std::optional<StatementReply> abort_commit_at_replaced_primary(const Statement& statement);
  StatementReply on_transaction_lost(const Statement& statement, const core::Error& error);
  void after_transaction_statement(const Statement& statement, const StatementReply& reply);
  void close_transaction();

  /// Passes a primary's acknowledgement of a write on once the write is certain to be kept; answers that its
  /// outcome is unknown if a failover may have lost it, or if that stays open until the deadline.
  boost::asio::awaitable<StatementReply> confirm_write(AcknowledgedWrite write, core::Instant sent,
                                                       StatementReply reply, core::Instant deadline);
  void note_own_write(const core::GroupName& group, const StatementReply& reply);
  void count(const StatementReply& reply);

  SessionServices& services_;
  std::string database_;
  protocol::KeyDigest key_;
  SessionState session_;
  std::optional<Transaction> transaction_;
  /// Of this session's last acknowledged write in each group: a route may move to another group, whose log
  /// has positions of its own.
  std::map<core::GroupName, core::LogPosition> own_write_positions_;
  bool running_ = false;
};

}  // namespace pipitpond::pooling
