// Connection pool for one database. Connections are opened on demand, or slowly ahead of it, within this
// daemon's share; they are used by all callers' sessions and handed out by priority and order of arrival.
// Single-threaded.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "core/clock.hpp"
#include "core/error.hpp"
#include "pooling/backend.hpp"
#include "pooling/backend_health.hpp"
#include "pooling/concurrency_limit.hpp"
#include "pooling/connection_lease.hpp"
#include "pooling/connection_share.hpp"
#include "pooling/idle_connections.hpp"
#include "pooling/pooled_connection.hpp"
#include "pooling/replica_reach.hpp"
#include "pooling/session_state.hpp"
#include "pooling/statement_queue.hpp"
#include "pooling/tenant_demand.hpp"

namespace pipitpond::pooling {

struct PoolWaiter;

/// Parameters of a request for a connection.
struct ConnectionRequest {
  std::uint32_t priority = 0;  ///< 0 is the highest priority.
  core::Instant deadline;
  const SessionState* session = nullptr;  ///< Connections that already have its session values are preferred.
  /// A reply after this instant is late. Requests that can't meet their goal any more are served after those
  /// that still can.
  core::Instant goal = core::Instant::max();
  /// The tenant to which the connection must belong; nullopt: any. A database attributes all statements of a
  /// connection to the connection's tenant.
  std::optional<core::TenantName> tenant{};
  /// When the statement began to wait for a connection, at any daemon; nullopt: now.
  std::optional<core::Instant> since{};
};

/// A pool's counters since its start. Most are exported as metrics under their own names.
struct PoolCounters {
  std::uint64_t opened = 0;
  std::uint64_t opened_for_want = 0;  ///< Connections whose opening was started for a waiting statement.
  std::uint64_t open_failed = 0;
  std::uint64_t given_back = 0;      ///< Connections beyond `kept` that were closed because they were idle.
  std::uint64_t made_room = 0;       ///< Idle connections closed to open one for another tenant.
  std::uint64_t waited_instead = 0;  ///< Statements that were made to wait for a connection of their tenant
                                     ///< in use instead of opening one.
  std::uint64_t broke = 0;
  std::uint64_t wait_timeouts = 0;
  std::uint64_t displaced = 0;     ///< Statements removed from a full queue in favour of more urgent ones.
  std::uint64_t line_full = 0;     ///< Statements rejected by a queue full of statements that go before them.
  std::uint64_t late_in_line = 0;  ///< Statements that got a connection too late to meet their goal.
  std::uint64_t probes = 0;
};

/// The connection pool for one database.
class BackendPool : public std::enable_shared_from_this<BackendPool> {
 public:
  BackendPool(boost::asio::io_context& io, BackendConnector& connector, BackendAddress address,
              core::ZoneName zone);
  ~BackendPool();
  BackendPool(const BackendPool&) = delete;
  BackendPool& operator=(const BackendPool&) = delete;

  /// Sets how many connections may be held; closes idle connections beyond that.
  void set_share(const ConnectionShare& share);
  /// Sets how many statements the database runs at once.
  void set_slots(std::uint32_t slots) { slots_ = slots; }
  /// The limit on concurrent statements outside transactions.
  [[nodiscard]] const ConcurrencyLimit& concurrency() const { return concurrency_; }
  /// Stops handing out connections, because the database was removed or this daemon stops. Those in use are
  /// closed when they are returned.
  void close();

  /// Returns an idle connection, a new one, or the next one that is returned to the pool. Fails with
  /// kConnectionRefused (the database can't be reached), kNoCapacity (none became free before the deadline,
  /// or the queue is full) or kLeaving (the pool is closed).
  static boost::asio::awaitable<core::Result<ConnectionLease>> acquire(std::shared_ptr<BackendPool> pool,
                                                                       ConnectionRequest request);

  /// Requests the database's status on one of the connections. Errors as acquire and
  /// BackendConnection::status.
  static boost::asio::awaitable<core::Result<BackendStatus>> ask_status(std::shared_ptr<BackendPool> pool,
                                                                        core::Duration timeout);

  /// Probes the database when it is suspected, aborts reads when it turns out unreachable, closes idle
  /// connections beyond `kept` and opens some ahead of demand.
  void tick(core::Instant now);

  [[nodiscard]] const BackendAddress& address() const { return address_; }
  [[nodiscard]] const core::ZoneName& zone() const { return zone_; }
  [[nodiscard]] BackendHealth& health() { return health_; }
  [[nodiscard]] const BackendHealth& health() const { return health_; }
  [[nodiscard]] bool closed() const { return closed_; }
  [[nodiscard]] const ConnectionShare& share() const { return share_; }
  /// Number of connections held, including those being opened.
  [[nodiscard]] std::size_t held() const { return idle_.size() + in_use_.size() + opening_; }
  /// False while this daemon has no connection and failed to open one in the last attempt.
  [[nodiscard]] bool can_serve() const {
    const bool connected = !idle_.empty() || !in_use_.empty();
    return health_.usable() && (connected || !last_open_failed_);
  }
  [[nodiscard]] std::size_t in_use() const { return in_use_.size(); }
  [[nodiscard]] std::size_t waiting() const { return queue_.size(); }
  /// Expected time until the next request is answered: average latency, and that of the requests ahead of it.
  [[nodiscard]] core::Duration expected_wait() const;
  /// Records the time from sending a statement to its reply.
  void note_latency(core::Duration taken);
  /// How far the database's log reaches, as learned from the outcome of reads.
  [[nodiscard]] ReplicaReach& reach() { return reach_; }
  [[nodiscard]] const ReplicaReach& reach() const { return reach_; }
  [[nodiscard]] const PoolCounters& counters() const { return counters_; }

 private:
  friend class ConnectionLease;

  /// Adds the request to the queue. A request that was rejected has its error set.
  std::shared_ptr<PoolWaiter> enqueue(const ConnectionRequest& request);
  void reject_waiter(WaiterNumber number, const QueueEntry& newest, const char* reason);
  void charge_slot_time(PooledConnection& connection, core::Duration taken);
  void note_in_use(PooledConnection& connection);
  /// The first waiter for which a connection should be opened; null: none.
  [[nodiscard]] std::shared_ptr<PoolWaiter> next_waiter_to_open_for();
  [[nodiscard]] bool should_open_for(const PoolWaiter& waiter, std::size_t waiting_before,
                                     std::size_t soon_free) const;
  /// Number of the tenant's connections that run a statement outside a transaction and are not overdue.
  [[nodiscard]] std::size_t soon_free(const core::TenantName& tenant) const;
  /// Schedules another check after the average opening time: connections that were expected to become free
  /// may be overdue by then.
  void schedule_openings_check();
  /// Makes sure that one more connection may be opened, closing an idle one if need be. False when all
  /// connections that may be held are in use or being opened.
  bool make_room();
  void open_when_needed();
  void open_ahead(core::Instant now);
  void close_idle_borrowed(core::Instant now);
  void start_opening(core::TenantName tenant);
  static boost::asio::awaitable<void> open_connection(std::shared_ptr<BackendPool> self,
                                                      core::TenantName tenant);
  void on_open_failed(const core::Error& error);
  /// Removes the next waiter for which there is a suitable idle connection; null: none.
  std::shared_ptr<PoolWaiter> pop_next_waiter();
  [[nodiscard]] StatementsInFlight in_flight() const;
  [[nodiscard]] bool may_start_statement() const;
  [[nodiscard]] bool may_hand_out() const;
  void on_transaction_statement_started() { ++transaction_statements_; }
  void on_transaction_statement_ended();
  void serve_waiters();
  void make_available(std::unique_ptr<PooledConnection> connection);
  void return_connection(std::unique_ptr<PooledConnection> connection, bool reusable);
  void fail_waiters(const core::Error& error);
  static boost::asio::awaitable<void> probe(std::shared_ptr<BackendPool> self);
  void close_retryable();
  void on_opening_refused();
  void decay_latency();

  boost::asio::io_context& io_;
  BackendConnector& connector_;
  BackendAddress address_;
  core::ZoneName zone_;
  BackendHealth health_;
  ConnectionShare share_;
  std::uint32_t slots_ = 1;
  ConcurrencyLimit concurrency_;
  std::size_t open_transactions_ = 0;       ///< Connections in use by a transaction.
  std::size_t transaction_statements_ = 0;  ///< Statements in flight on connections in a transaction.
  bool closed_ = false;
  std::size_t opening_ = 0;
  std::map<core::TenantName, std::size_t> opening_for_;  ///< Connections being opened, by tenant.
  bool last_open_failed_ = false;
  core::Instant next_open_attempt_{};
  boost::asio::steady_timer openings_check_;
  bool openings_check_scheduled_ = false;
  core::Instant next_warm_up_{};
  core::Duration borrowed_idle_limit_;  ///< Idle time after which a connection beyond `kept` is closed.
  IdleConnections idle_;
  std::set<PooledConnection*> in_use_;
  StatementQueue queue_;
  std::map<WaiterNumber, std::shared_ptr<PoolWaiter>> waiters_;  ///< The requests in the queue.
  WaiterNumber last_waiter_ = 0;
  core::Duration average_latency_;
  bool latency_noted_ = false;  ///< A latency was recorded since the last tick.
  core::Duration average_opening_time_;
  ReplicaReach reach_;
  TenantDemand demand_;
  PoolCounters counters_;
};

}  // namespace pipitpond::pooling
