// The connections to one database: opened on demand or slowly ahead of it, within this daemon's share, used
// by all callers' sessions, handed out by priority and order of arrival. Single-threaded.
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

/// Who asks for a connection.
struct ConnectionRequest {
  std::uint32_t priority = 0;  ///< 0 goes first.
  core::Instant deadline;
  const SessionState* session = nullptr;  ///< Connections that have its values are preferred.
  /// After this moment an answer is late. Who is late anyway lets those go first who can still be in time.
  core::Instant goal = core::Instant::max();
  /// Whose connection it must be; nothing: anybody's. Databases take a connection's tenant for that of all
  /// its statements.
  std::optional<core::TenantName> tenant{};
  /// Since when the statement has waited for a connection, at any daemon; nothing: since now.
  std::optional<core::Instant> since{};
};

/// What a pool counts since its start.
struct PoolCounters {
  std::uint64_t opened = 0;
  std::uint64_t opened_for_want = 0;  ///< Openings begun for statements that waited.
  std::uint64_t open_failed = 0;
  std::uint64_t given_back = 0;      ///< Borrowed connections that were closed because they were idle.
  std::uint64_t made_room = 0;       ///< Idle connections that were closed for another tenant's.
  std::uint64_t waited_instead = 0;  ///< Statements that were to wait for their tenant's connections in use.
  std::uint64_t broke = 0;
  std::uint64_t waited_in_vain = 0;
  std::uint64_t displaced = 0;     ///< Statements that left a full line to more urgent ones.
  std::uint64_t line_full = 0;     ///< Statements that found a full line of those that go before them.
  std::uint64_t late_in_line = 0;  ///< Statements that got a connection too late for their goal.
  std::uint64_t probes = 0;
};

/// The pool of one database.
class BackendPool : public std::enable_shared_from_this<BackendPool> {
 public:
  BackendPool(boost::asio::io_context& io, BackendConnector& connector, BackendAddress address,
              core::ZoneName zone);
  ~BackendPool();
  BackendPool(const BackendPool&) = delete;
  BackendPool& operator=(const BackendPool&) = delete;

  /// What may be held; idle connections beyond it are closed.
  void set_share(const ConnectionShare& share);
  /// Statements that the database runs at once.
  void set_slots(std::uint32_t slots) { slots_ = slots; }
  /// Statements outside transactions that may run at once: see ConcurrencyLimit.
  [[nodiscard]] const ConcurrencyLimit& concurrency() const { return concurrency_; }
  /// The database is gone or this daemon stops: no more connections. Those in use are closed when given back.
  void close();

  /// A free connection, or a new one, or the next that is given back. Fails with kConnectionRefused (the
  /// database can't be reached), kNoCapacity (none came free before the deadline) or kLeaving (closed).
  static boost::asio::awaitable<core::Result<ConnectionLease>> acquire(std::shared_ptr<BackendPool> pool,
                                                                       ConnectionRequest request);

  /// The database's status, asked on one of the connections. Errors as acquire and BackendConnection::status.
  static boost::asio::awaitable<core::Result<BackendStatus>> ask_status(std::shared_ptr<BackendPool> pool,
                                                                        core::Duration timeout);

  /// Sends a probe when the database is in doubt, cuts off reads when it is found unreachable, gives borrowed
  /// connections back and opens some ahead of demand.
  void tick(core::Instant now);

  [[nodiscard]] const BackendAddress& address() const { return address_; }
  [[nodiscard]] const core::ZoneName& zone() const { return zone_; }
  [[nodiscard]] BackendHealth& health() { return health_; }
  [[nodiscard]] const BackendHealth& health() const { return health_; }
  [[nodiscard]] bool closed() const { return closed_; }
  [[nodiscard]] const ConnectionShare& share() const { return share_; }
  /// Connections held, opening ones included.
  [[nodiscard]] std::size_t held() const { return idle_.size() + in_use_.size() + opening_; }
  /// False while this daemon has no connection and could not open one when it last tried.
  [[nodiscard]] bool can_serve() const {
    const bool connected = !idle_.empty() || !in_use_.empty();
    return health_.usable() && (connected || !last_open_failed_);
  }
  [[nodiscard]] std::size_t in_use() const { return in_use_.size(); }
  [[nodiscard]] std::size_t waiting() const { return line_.size(); }
  /// What the next request has to expect: time of a usual statement, and of those before it.
  [[nodiscard]] core::Duration expected_wait() const;
  /// A statement took this long.
  void note_latency(core::Duration taken);
  /// How far the database's log reaches, as far as reads have found out.
  [[nodiscard]] ReplicaReach& reach() { return reach_; }
  [[nodiscard]] const ReplicaReach& reach() const { return reach_; }
  [[nodiscard]] const PoolCounters& counters() const { return counters_; }

 private:
  friend class ConnectionLease;

  /// Puts one in the line; one that has no place there has its error set.
  std::shared_ptr<PoolWaiter> join_line(const ConnectionRequest& request);
  void refuse_waiter(WaiterNumber number, const LineEntry& newest, const char* reason);
  void note_slot_time(PooledConnection& connection, core::Duration taken);
  void note_in_use(PooledConnection& connection);
  /// The first that waits and for which a connection should be opened; null: none.
  [[nodiscard]] std::shared_ptr<PoolWaiter> next_to_open_for();
  [[nodiscard]] bool should_open_for(const PoolWaiter& waiter, std::size_t waiting_before,
                                     std::size_t coming_back) const;
  /// The tenant's connections that run a statement outside a transaction and are not overdue.
  [[nodiscard]] std::size_t coming_back(const core::TenantName& tenant) const;
  /// Looks again after the time of an opening: connections that were to come back may be overdue.
  void check_openings_later();
  /// False when all connections that may be held are in use.
  bool make_room();
  void open_when_needed();
  void open_ahead(core::Instant now);
  void give_back_borrowed(core::Instant now);
  void begin_to_open(core::TenantName tenant);
  static boost::asio::awaitable<void> open_one(std::shared_ptr<BackendPool> self, core::TenantName tenant);
  void on_open_failed(const core::Error& error);
  /// Takes the one that goes next among those that an idle connection will do for; null: none.
  std::shared_ptr<PoolWaiter> take_next_waiter();
  [[nodiscard]] StatementsUnderWay under_way() const;
  [[nodiscard]] bool may_run_another() const;
  [[nodiscard]] bool may_hand_out() const;
  void begin_in_transaction() { ++running_in_transactions_; }
  void end_in_transaction();
  void serve_waiters();
  void hand_out(std::unique_ptr<PooledConnection> connection);
  void take_back(std::unique_ptr<PooledConnection> connection, bool reusable);
  void fail_waiters(const core::Error& error);
  static boost::asio::awaitable<void> probe(std::shared_ptr<BackendPool> self);
  void cut_off_expendable();
  void note_refused_opening();
  void forget_latency();

  boost::asio::io_context& io_;
  BackendConnector& connector_;
  BackendAddress address_;
  core::ZoneName zone_;
  BackendHealth health_;
  ConnectionShare share_;
  std::uint32_t slots_ = 1;
  ConcurrencyLimit concurrency_;
  std::size_t transactions_ = 0;             ///< Connections in use that are in one.
  std::size_t running_in_transactions_ = 0;  ///< Statements under way on them.
  bool closed_ = false;
  std::size_t opening_ = 0;
  std::map<core::TenantName, std::size_t> opening_for_;  ///< Of them, by tenant.
  bool last_open_failed_ = false;
  core::Instant next_open_{};
  boost::asio::steady_timer openings_check_;
  bool openings_check_set_ = false;
  core::Instant next_warm_up_{};
  core::Duration borrowed_idle_limit_;  ///< A borrowed connection that is idle for this long is closed.
  IdleConnections idle_;
  std::set<PooledConnection*> in_use_;
  StatementLine line_;
  std::map<WaiterNumber, std::shared_ptr<PoolWaiter>> waiters_;  ///< Those in the line.
  WaiterNumber last_waiter_ = 0;
  core::Duration usual_latency_;
  bool latency_noted_ = false;  ///< Since the last tick.
  core::Duration usual_opening_;
  ReplicaReach reach_;
  TenantDemand demand_;
  PoolCounters counters_;
};

}  // namespace pipitpond::pooling
