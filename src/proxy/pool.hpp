// Pool of connections to one database. Connections are costly, so the pool opens them ahead of need up to its
// budget, keeps idle ones alive, and lends them for one statement or one transaction. It never holds more
// than its budget, and opens one only while the database's last status leaves room. A connection that was
// given up counts against the budget until the database holds it no longer (ownership::ClosingConnections).
#pragma once

#include <utility>  // Before Asio's coroutine headers, which lack it.
//
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/clock.hpp"
#include "core/endpoint.hpp"
#include "core/error.hpp"
#include "core/ids.hpp"
#include "database/protocol.hpp"
#include "ownership/closing_connections.hpp"
#include "proxy/database_connection.hpp"
#include "proxy/waiter.hpp"

namespace pipitpond::proxy {

/// Which database a pool serves, and how it names itself there.
struct PoolTarget {
  core::DatabaseId database;
  core::Endpoint endpoint;
  std::string client_name;
};

/// How far a pool may go now.
struct PoolBudget {
  std::uint32_t connections = 0;  ///< Most that it may hold.
  /// False without a lease: it lives on those that it holds. Asked at each opening, for a process that was
  /// frozen may have lost its lease since it last did anything.
  std::function<bool()> may_open;
};

class Pool;

/// A borrowed connection. Goes back to the pool when destroyed; closed instead if its state is in doubt.
class PooledConnection {
 public:
  PooledConnection() = default;
  PooledConnection(std::shared_ptr<Pool> pool, std::unique_ptr<DatabaseConnection> connection);
  PooledConnection(PooledConnection&&) = default;
  PooledConnection& operator=(PooledConnection&& other) noexcept;
  PooledConnection(const PooledConnection&) = delete;
  PooledConnection& operator=(const PooledConnection&) = delete;
  ~PooledConnection();

  DatabaseConnection* operator->() const { return connection_.get(); }
  [[nodiscard]] bool empty() const { return connection_ == nullptr; }

 private:
  void give_back();

  std::shared_ptr<Pool> pool_;
  std::unique_ptr<DatabaseConnection> connection_;
};

/// The pool of one database.
class Pool : public std::enable_shared_from_this<Pool> {
 public:
  /// Told whenever it changes how many connections are held; of those that are closing only the recent ones
  /// (ClosingConnections::count_recent).
  using HeldChanged = std::function<void(std::uint32_t)>;

  Pool(boost::asio::io_context& io, PoolTarget target, HeldChanged changed);

  /// Starts the upkeep: opening ahead of need and keeping idle connections alive.
  void start();

  /// Sets the budget. When it shrinks, idle connections over it close now and busy ones when given back.
  void set_budget(PoolBudget budget);

  /// A question for its status found no answer. `refused`: no connection could be made for it.
  void on_no_answer(bool refused) { closing_.on_no_answer(refused); }
  /// The database answered a question for its status that was asked at `asked_at`.
  void observe_status(core::Instant asked_at, const database::StatusAnswer& status);

  /// The database is being stopped and takes no more work: idle connections close now, busy ones when given
  /// back, and none are opened. False ends that.
  void set_leaving(bool leaving);

  /// Borrows a connection. Fails at once when none can come (no budget, database refuses connections), and
  /// with kNoCapacity at the deadline. After the last connection was lost it waits a moment for new ones.
  /// Nothing was sent in either case.
  boost::asio::awaitable<core::Result<PooledConnection>> acquire(core::Instant deadline);

  /// Ends the pool: idle connections close now, busy ones when given back, waiting borrowers fail.
  void close();
  /// Ends close(): what is still closing goes on counting against the budget, which is to be set anew.
  void reopen();

  /// True when a new status of the database may let it open connections that it lacks.
  [[nodiscard]] bool lacks_room() const;

  /// Connections open or being opened.
  [[nodiscard]] std::uint32_t live() const { return open_ + opening_; }
  /// What counts against the budget: the live ones and those that the database may hold still.
  [[nodiscard]] std::uint32_t held() const { return live() + closing_.count(); }
  [[nodiscard]] std::size_t idle() const { return idle_.size(); }
  [[nodiscard]] std::size_t waiting() const { return waiting_.size(); }
  [[nodiscard]] const PoolTarget& target() const { return target_; }

 private:
  friend class PooledConnection;
  using Borrower = Waiter<core::Result<PooledConnection>>;

  void give_back(std::unique_ptr<DatabaseConnection> connection);
  void offer(std::unique_ptr<DatabaseConnection> connection);
  /// Connections that may be held now.
  [[nodiscard]] std::uint32_t allowed() const { return leaving_ ? 0 : budget_.connections; }
  [[nodiscard]] bool below_budget() const { return held() + closing_.inherited() < allowed(); }
  void grow();
  void shrink();
  /// Gives up an open connection.
  void drop(std::unique_ptr<DatabaseConnection> connection);
  void give_up(std::unique_ptr<DatabaseConnection> connection, bool acknowledged);
  static boost::asio::awaitable<void> wait_until_closed(std::weak_ptr<Pool> weak,
                                                        std::shared_ptr<DatabaseConnection> connection,
                                                        ownership::ClosingConnections::Id id);
  void closed_by_database(ownership::ClosingConnections::Id id);
  void note_failure(core::Error error);
  void report_held();
  [[nodiscard]] std::uint32_t surely_counted(core::Instant asked_at) const;
  void fail_waiting(const core::Error& error);
  [[nodiscard]] bool backing_off() const;
  /// No connection is held, but one may be soon.
  [[nodiscard]] bool may_recover() const;
  [[nodiscard]] core::Error no_connection_error() const;
  void opened(core::Result<std::unique_ptr<DatabaseConnection>> connection);
  static boost::asio::awaitable<void> open_one(std::shared_ptr<Pool> pool);
  static boost::asio::awaitable<void> upkeep(std::weak_ptr<Pool> weak, boost::asio::io_context& io);
  void keep_idle_ones_alive();
  static boost::asio::awaitable<void> keep_alive_one(std::shared_ptr<Pool> pool,
                                                     std::unique_ptr<DatabaseConnection> connection);

  boost::asio::io_context& io_;
  PoolTarget target_;
  HeldChanged changed_;
  PoolBudget budget_;
  std::uint32_t room_ = 0;
  std::uint32_t open_ = 0;     ///< Idle and lent.
  std::uint32_t opening_ = 0;  ///< Being connected.
  bool closed_ = false;
  bool upkeep_runs_ = false;
  bool leaving_ = false;
  core::Instant open_again_at_{};
  core::Instant emptied_at_ = core::BootClock::now();  ///< When the last connection was lost.
  core::Error last_failure_;
  std::vector<std::unique_ptr<DatabaseConnection>> idle_;  ///< Last given back is lent first.
  std::deque<std::shared_ptr<Borrower>> waiting_;
  ownership::ClosingConnections closing_;
  ownership::ClosingConnections::Id last_closing_ = 0;
  std::map<ownership::ClosingConnections::Id, std::shared_ptr<DatabaseConnection>> closing_sockets_;
};

}  // namespace pipitpond::proxy
