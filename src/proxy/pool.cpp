#include "proxy/pool.hpp"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <utility>

#include "protocol/tunables.hpp"

namespace pipitpond::proxy {
namespace {

/// Longest that opening a connection may take; ten times the cost of the dearest known database.
constexpr core::Duration kOpenTimeout = std::chrono::milliseconds(1000);
/// No new attempt to open for this long after one has failed.
constexpr core::Duration kOpenBackoff = std::chrono::milliseconds(100);
/// At most this many connects at once, so that warming up doesn't flood the database.
constexpr std::uint32_t kMaxOpeningAtOnce = 4;
/// Borrowers wait this long for a first new connection after the last one was lost: a probe, which tells how
/// much room the database has, and a connect.
constexpr core::Duration kRecoveryWait = std::chrono::milliseconds(300);
/// How often the pool looks after itself.
constexpr core::Duration kUpkeepInterval = std::chrono::milliseconds(100);
/// Longest that using an idle connection may take.
constexpr core::Duration kKeepAliveTimeout = std::chrono::milliseconds(1000);

}  // namespace

PooledConnection::PooledConnection(std::shared_ptr<Pool> pool, std::unique_ptr<DatabaseConnection> connection)
    : pool_(std::move(pool)), connection_(std::move(connection)) {}

PooledConnection& PooledConnection::operator=(PooledConnection&& other) noexcept {
  if (this != &other) {
    give_back();
    pool_ = std::move(other.pool_);
    connection_ = std::move(other.connection_);
  }
  return *this;
}

PooledConnection::~PooledConnection() {
  give_back();
}

void PooledConnection::give_back() {
  if (connection_) {
    pool_->give_back(std::move(connection_));
  }
}

Pool::Pool(boost::asio::io_context& io, PoolTarget target, HeldChanged changed)
    : io_(io), target_(std::move(target)), changed_(std::move(changed)) {}

void Pool::start() {
  if (std::exchange(upkeep_runs_, true)) {
    return;
  }
  boost::asio::co_spawn(io_, upkeep(weak_from_this(), io_), boost::asio::detached);
}

void Pool::set_budget(PoolBudget budget) {
  budget_ = std::move(budget);
  shrink();
  grow();
}

void Pool::set_leaving(bool leaving) {
  leaving_ = leaving;
  shrink();
}

void Pool::observe_status(core::Instant asked_at, const database::StatusAnswer& status) {
  const core::Instant now = core::BootClock::now();
  for (const auto id : closing_.on_status(asked_at, now, status.connections, surely_counted(asked_at))) {
    closing_sockets_.erase(id);
  }
  report_held();
  const std::uint32_t room =
      status.connection_limit > status.connections ? status.connection_limit - status.connections : 0;
  // Connects in progress may or may not be counted by that status; assume not, which errs towards fewer.
  room_ = room > opening_ ? room - opening_ : 0;
  grow();
}

std::uint32_t Pool::surely_counted(core::Instant asked_at) const {
  return static_cast<std::uint32_t>(std::count_if(idle_.begin(), idle_.end(), [asked_at](const auto& idle) {
    const core::Duration unused = asked_at - idle->last_used();
    return unused > core::Duration::zero() && unused < protocol::kLongestTrustedIdle;
  }));
}

boost::asio::awaitable<core::Result<PooledConnection>> Pool::acquire(core::Instant deadline) {
  while (!idle_.empty()) {
    std::unique_ptr<DatabaseConnection> connection = std::move(idle_.back());
    idle_.pop_back();
    if (connection->usable()) {
      co_return PooledConnection(shared_from_this(), std::move(connection));
    }
    drop(std::move(connection));
  }
  grow();
  if (live() == 0 && !may_recover()) {
    co_return core::outcome::failure(no_connection_error());
  }
  auto borrower = std::make_shared<Borrower>(io_);
  waiting_.push_back(borrower);
  auto lent = co_await borrower->wait_until(deadline);
  if (!lent) {
    std::erase(waiting_, borrower);
    co_return core::fail(core::ErrorKind::kNoCapacity, "No connection to the database came free in time.",
                         "Try again later, or raise the database's connection limit.", 100);
  }
  co_return std::move(*lent);
}

void Pool::close() {
  closed_ = true;
  budget_ = {};
  shrink();
  fail_waiting({core::ErrorKind::kLeaving, "This daemon gives up the database.",
                "Send the request again at once; another daemon serves it.", 0});
}

void Pool::reopen() {
  closed_ = false;
  start();
}

void Pool::give_back(std::unique_ptr<DatabaseConnection> connection) {
  if (!connection->usable() || live() > allowed()) {
    drop(std::move(connection));
    grow();
    return;
  }
  offer(std::move(connection));
}

void Pool::offer(std::unique_ptr<DatabaseConnection> connection) {
  while (!waiting_.empty()) {
    const std::shared_ptr<Borrower> borrower = waiting_.front();
    waiting_.pop_front();
    if (!borrower->ended()) {
      borrower->provide(PooledConnection(shared_from_this(), std::move(connection)));
      return;
    }
  }
  idle_.push_back(std::move(connection));
}

void Pool::grow() {
  while (!closed_ && below_budget() && room_ > 0 && opening_ < kMaxOpeningAtOnce && !backing_off() &&
         budget_.may_open && budget_.may_open()) {
    --room_;
    ++opening_;
    boost::asio::co_spawn(io_, open_one(shared_from_this()), boost::asio::detached);
  }
}

void Pool::shrink() {
  while (!idle_.empty() && live() > allowed()) {
    std::unique_ptr<DatabaseConnection> connection = std::move(idle_.front());
    idle_.erase(idle_.begin());
    drop(std::move(connection));
  }
}

void Pool::drop(std::unique_ptr<DatabaseConnection> connection) {
  --open_;
  if (live() == 0) {
    emptied_at_ = core::BootClock::now();
  }
  give_up(std::move(connection), true);
  if (live() == 0 && !may_recover()) {
    fail_waiting(no_connection_error());
  }
}

void Pool::give_up(std::unique_ptr<DatabaseConnection> connection, bool acknowledged) {
  connection->close();
  const ownership::ClosingConnections::Id id = ++last_closing_;
  const std::shared_ptr<DatabaseConnection> closing = std::move(connection);
  closing_.give_up(id, core::BootClock::now(), acknowledged);
  closing_sockets_[id] = closing;
  boost::asio::co_spawn(io_, wait_until_closed(weak_from_this(), closing, id), boost::asio::detached);
  report_held();
}

boost::asio::awaitable<void> Pool::wait_until_closed(std::weak_ptr<Pool> weak,
                                                     std::shared_ptr<DatabaseConnection> connection,
                                                     ownership::ClosingConnections::Id id) {
  boost::asio::awaitable<void> closed = connection->closed_by_database();
  connection.reset();
  co_await std::move(closed);
  if (const std::shared_ptr<Pool> pool = weak.lock()) {
    pool->closed_by_database(id);
  }
}

void Pool::closed_by_database(ownership::ClosingConnections::Id id) {
  closing_.on_closed(id);
  closing_sockets_.erase(id);
  report_held();
  grow();
}

void Pool::report_held() {
  if (changed_) {
    changed_(live() + closing_.count_recent(core::BootClock::now()));
  }
}

bool Pool::may_recover() const {
  const bool lately = core::BootClock::now() - emptied_at_ < kRecoveryWait;
  return lately && !closed_ && budget_.may_open && budget_.may_open() && allowed() > 0 && !backing_off();
}

bool Pool::lacks_room() const {
  return room_ == 0 && !closed_ && budget_.may_open && budget_.may_open() && below_budget() && !backing_off();
}

void Pool::fail_waiting(const core::Error& error) {
  std::deque<std::shared_ptr<Borrower>> waiting;
  waiting.swap(waiting_);
  for (const std::shared_ptr<Borrower>& borrower : waiting) {
    borrower->provide(core::outcome::failure(error));
  }
}

bool Pool::backing_off() const {
  return core::BootClock::now() < open_again_at_;
}

core::Error Pool::no_connection_error() const {
  if (backing_off()) {
    return last_failure_;
  }
  return {core::ErrorKind::kUnavailable, "This daemon holds no connection to the database.",
          "Send the request again shortly.", static_cast<std::uint32_t>(core::to_millis(kOpenBackoff))};
}

boost::asio::awaitable<void> Pool::open_one(std::shared_ptr<Pool> pool) {
  auto connection = co_await DatabaseConnection::open(pool->io_, pool->target_.endpoint,
                                                      pool->target_.client_name, kOpenTimeout);
  pool->opened(std::move(connection));
}

void Pool::opened(core::Result<std::unique_ptr<DatabaseConnection>> connection) {
  --opening_;
  if (!connection) {
    note_failure(connection.error());
  } else if (!connection.value()->usable()) {
    give_up(std::move(connection).value(), false);
    note_failure({core::ErrorKind::kUnavailable, "Database gave no connection in time.",
                  "Check that the database is not overloaded.", 0});
  } else {
    ++open_;
    give_back(std::move(connection).value());
  }
  report_held();
  grow();
}

void Pool::note_failure(core::Error error) {
  last_failure_ = std::move(error);
  open_again_at_ = core::BootClock::now() + kOpenBackoff;
  if (live() == 0) {
    fail_waiting(last_failure_);
  }
}

boost::asio::awaitable<void> Pool::upkeep(std::weak_ptr<Pool> weak, boost::asio::io_context& io) {
  while (true) {
    co_await sleep_for(io, kUpkeepInterval);
    const std::shared_ptr<Pool> pool = weak.lock();
    if (!pool) {
      co_return;
    }
    pool->report_held();
    if (pool->closed_ && pool->held() == 0) {
      pool->upkeep_runs_ = false;
      co_return;
    }
    pool->keep_idle_ones_alive();
    pool->grow();
    if (pool->live() == 0 && !pool->may_recover()) {
      pool->fail_waiting(pool->no_connection_error());
    }
  }
}

void Pool::keep_idle_ones_alive() {
  const core::Instant old = core::BootClock::now() - protocol::kPoolKeepAlive;
  std::vector<std::unique_ptr<DatabaseConnection>> stay;
  std::vector<std::unique_ptr<DatabaseConnection>> idle;
  idle.swap(idle_);
  for (std::unique_ptr<DatabaseConnection>& connection : idle) {
    if (!connection->usable()) {
      drop(std::move(connection));
    } else if (connection->last_used() > old) {
      stay.push_back(std::move(connection));
    } else {
      boost::asio::co_spawn(io_, keep_alive_one(shared_from_this(), std::move(connection)),
                            boost::asio::detached);
    }
  }
  idle_ = std::move(stay);
}

boost::asio::awaitable<void> Pool::keep_alive_one(std::shared_ptr<Pool> pool,
                                                  std::unique_ptr<DatabaseConnection> connection) {
  co_await connection->keep_alive(kKeepAliveTimeout);
  pool->give_back(std::move(connection));
}

}  // namespace pipitpond::proxy
