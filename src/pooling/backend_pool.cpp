#include "pooling/backend_pool.hpp"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <optional>
#include <utility>

#include "logging/logging.hpp"
#include "pooling/opening_choice.hpp"
#include "pooling/waiting.hpp"

namespace pipitpond::pooling {

using boost::asio::awaitable;

namespace {

constexpr core::Duration kConnectTimeout = std::chrono::milliseconds(500);
/// Delay before the next attempt after a connection could not be opened.
constexpr core::Duration kOpenRetryDelay = std::chrono::milliseconds(50);
/// Assumed latency of a database before the first reply.
constexpr core::Duration kInitialLatency = std::chrono::milliseconds(10);
/// Divisor of the moving averages, which is the inverse weight of the newest value.
constexpr int kLatencyAverageDivisor = 8;
/// Divisor of the decay of the average latency towards its initial value in each tick without a reply: half
/// of the difference is gone after 1.1 s at a tick of 50 ms.
constexpr int kLatencyDecayDivisor = 32;
/// Bounds of the idle time after which a connection beyond `kept` is closed; the time shrinks while the
/// database refuses new connections.
constexpr core::Duration kBorrowedIdleMax = std::chrono::milliseconds(1000);
constexpr core::Duration kBorrowedIdleMin = std::chrono::milliseconds(20);
/// Added to that idle time with each connection that is opened successfully.
constexpr core::Duration kBorrowedIdleStep = std::chrono::milliseconds(10);

core::Error queue_full_error() {
  return core::Error{core::ErrorKind::kNoCapacity,
                     "Too many statements wait for a connection to the database.",
                     "Try again a little later.", 100};
}

core::Error closed_error() {
  return core::Error{core::ErrorKind::kLeaving, "The database is no longer served.", "Choose another one.",
                     0};
}

}  // namespace

/// A request that waits for a connection.
struct PoolWaiter {
  explicit PoolWaiter(boost::asio::io_context& io) : timer(io) {}

  WaiterNumber number = 0;
  core::Instant goal;
  const SessionState* session = nullptr;
  std::optional<core::TenantName> tenant;
  bool counted_as_waiting = false;  ///< Already counted in PoolCounters::waited_instead.
  boost::asio::steady_timer timer;
  std::unique_ptr<PooledConnection> connection;
  std::optional<core::Error> error;
};

BackendPool::BackendPool(boost::asio::io_context& io, BackendConnector& connector, BackendAddress address,
                         core::ZoneName zone)
    : io_(io),
      connector_(connector),
      address_(std::move(address)),
      zone_(std::move(zone)),
      openings_check_(io),
      borrowed_idle_limit_(kBorrowedIdleMax / 2),
      average_latency_(kInitialLatency),
      average_opening_time_(kInitialLatency) {}

BackendPool::~BackendPool() = default;

void BackendPool::set_share(const ConnectionShare& share) {
  share_ = share;
  concurrency_.set_bounds(share.first_concurrency, share.most_concurrency);
  while (!idle_.empty() && held() > share_.most) {
    idle_.close_oldest();
  }
  open_when_needed();
}

void BackendPool::close() {
  closed_ = true;
  idle_.clear();
  fail_waiters(closed_error());
}

awaitable<core::Result<ConnectionLease>> BackendPool::acquire(std::shared_ptr<BackendPool> pool,
                                                              ConnectionRequest request) {
  if (pool->closed_) {
    co_return closed_error();
  }
  if (request.tenant) {
    pool->demand_.note_use(core::BootClock::now(), *request.tenant);
  }
  if (pool->queue_.empty() && pool->may_start_statement()) {
    pool->idle_.drop_closed();
    if (auto idle = pool->idle_.take(request.tenant, request.session)) {
      pool->queue_.note_started(request.tenant, pool->average_latency_);
      idle->charged_slot_time = pool->average_latency_;
      co_return ConnectionLease(pool, std::move(idle));
    }
  }
  if (!pool->health_.usable()) {
    co_return core::fail(core::ErrorKind::kConnectionRefused, "The database can't be reached.",
                         "Choose another one, or try again.");
  }
  const std::shared_ptr<PoolWaiter> waiter = pool->enqueue(request);
  pool->serve_waiters();  // Waiters ahead of it may need connections of other tenants.
  if (!waiter->connection && !waiter->error) {
    waiter->timer.expires_after(std::max(core::Duration::zero(), request.deadline - core::BootClock::now()));
    boost::system::error_code ignored;
    co_await waiter->timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
  }
  if (waiter->connection) {
    co_return ConnectionLease(pool, std::move(waiter->connection));
  }
  pool->queue_.remove(waiter->number);
  pool->waiters_.erase(waiter->number);
  if (waiter->error) {
    co_return *waiter->error;
  }
  ++pool->counters_.wait_timeouts;
  co_return core::fail(core::ErrorKind::kNoCapacity,
                       "No connection to the database became free before the deadline.",
                       "Try again a little later.", 100);
}

std::shared_ptr<PoolWaiter> BackendPool::enqueue(const ConnectionRequest& request) {
  auto waiter = std::make_shared<PoolWaiter>(io_);
  waiter->number = ++last_waiter_;
  waiter->goal = request.goal;
  waiter->session = request.session;
  waiter->tenant = request.tenant;
  waiters_.emplace(waiter->number, waiter);
  const core::Instant now = core::BootClock::now();
  const QueueEntry entry{waiter->number, request.priority, request.goal, request.tenant,
                         request.since.value_or(now)};
  const std::size_t most = slots_ * kMaxWaitingPerSlot;
  const EnqueueOutcome outcome = queue_.enqueue(now, entry, most, average_latency_);
  if (!outcome.accepted) {
    ++counters_.line_full;
    reject_waiter(waiter->number, entry, "line_full");
  }
  if (outcome.displaced) {
    ++counters_.displaced;
    reject_waiter(*outcome.displaced, entry, "displaced");
  }
  return waiter;
}

void BackendPool::reject_waiter(WaiterNumber number, const QueueEntry& newest, const char* reason) {
  logging::logger("pool")->info(
      "event=line_refusal database={} reason={} waiting={} newest_priority={} slots={} usual_us={}",
      logging::field(address_.database.value()), reason, queue_.size(), newest.priority, slots_,
      average_latency_.count());
  const auto found = waiters_.find(number);
  found->second->error = queue_full_error();
  found->second->timer.cancel();
  waiters_.erase(found);
}

/// Charges the tenant for the slot time beyond what was charged when the connection was handed out. Later
/// statements of a transaction are charged in full.
void BackendPool::charge_slot_time(PooledConnection& connection, core::Duration taken) {
  const core::Duration charged_slot_time =
      std::exchange(connection.charged_slot_time, core::Duration::zero());
  queue_.note_used(connection.tenant, taken - charged_slot_time);
}

awaitable<core::Result<BackendStatus>> BackendPool::ask_status(std::shared_ptr<BackendPool> pool,
                                                               core::Duration timeout) {
  const core::Instant deadline = core::BootClock::now() + timeout;
  ConnectionRequest request;
  request.deadline = deadline;
  auto lease = co_await acquire(pool, request);
  if (!lease) {
    co_return lease.error();
  }
  co_return co_await lease.value().status(deadline - core::BootClock::now());
}

void BackendPool::note_in_use(PooledConnection& connection) {
  in_use_.insert(&connection);
  connection.in_use_since = core::BootClock::now();
  connection.in_transaction = false;
}

void BackendPool::open_when_needed() {
  const bool backing_off = core::BootClock::now() < next_open_attempt_;
  while (!closed_ && !backing_off && may_start_statement()) {
    const std::shared_ptr<PoolWaiter> waiter = next_waiter_to_open_for();
    if (!waiter || !make_room()) {
      break;
    }
    ++counters_.opened_for_want;
    start_opening(waiter->tenant.value_or(core::TenantName()));
  }
}

std::shared_ptr<PoolWaiter> BackendPool::next_waiter_to_open_for() {
  std::map<core::TenantName, std::size_t> openings = opening_for_;
  std::map<core::TenantName, std::size_t> before;
  for (const QueueEntry& entry : queue_.in_order(core::BootClock::now(), average_latency_)) {
    const std::shared_ptr<PoolWaiter>& waiter = waiters_.at(entry.number);
    const core::TenantName tenant = waiter->tenant.value_or(core::TenantName());
    std::size_t& left = openings[tenant];
    if (left > 0) {
      --left;
      continue;
    }
    if (should_open_for(*waiter, before[tenant], soon_free(tenant))) {
      return waiter;
    }
    ++before[tenant];
    counters_.waited_instead += waiter->counted_as_waiting ? 0 : 1;
    waiter->counted_as_waiting = true;
    schedule_openings_check();
  }
  return nullptr;
}

bool BackendPool::should_open_for(const PoolWaiter& waiter, std::size_t waiting_before,
                                  std::size_t soon_free) const {
  if (!waiter.tenant || waiter.tenant->empty()) {
    return true;
  }
  const auto opening = opening_for_.find(*waiter.tenant);
  OpeningInputs inputs;
  inputs.waiting_before = waiting_before;
  inputs.soon_free = soon_free;
  inputs.opening = opening == opening_for_.end() ? 0 : opening->second;
  inputs.replaces_another = held() >= share_.most;
  inputs.average_statement_time = average_latency_;
  inputs.average_opening_time = average_opening_time_;
  return should_open(inputs);
}

std::size_t BackendPool::soon_free(const core::TenantName& tenant) const {
  const core::Instant now = core::BootClock::now();
  const auto count = std::count_if(in_use_.begin(), in_use_.end(), [&](const PooledConnection* connection) {
    return connection->tenant == tenant && !connection->in_transaction &&
           !is_overdue(now, connection->in_use_since, average_latency_);
  });
  return static_cast<std::size_t>(count);
}

void BackendPool::schedule_openings_check() {
  if (openings_check_scheduled_) {
    return;
  }
  openings_check_scheduled_ = true;
  openings_check_.expires_after(average_opening_time_);
  openings_check_.async_wait([weak = weak_from_this()](const boost::system::error_code& error) {
    const auto self = weak.lock();
    if (!self || error) {
      return;
    }
    self->openings_check_scheduled_ = false;
    self->open_when_needed();
  });
}

bool BackendPool::make_room() {
  if (held() < share_.most) {
    return true;
  }
  if (idle_.empty()) {
    return false;
  }
  idle_.close_least_demanded(core::BootClock::now(), demand_);
  ++counters_.made_room;
  return true;
}

void BackendPool::start_opening(core::TenantName tenant) {
  ++opening_;
  ++opening_for_[tenant];
  boost::asio::co_spawn(io_, open_connection(shared_from_this(), std::move(tenant)), boost::asio::detached);
}

/// Opens connections ahead of demand one at a time and slowly: opening one takes a slot of the database from
/// statements.
void BackendPool::open_ahead(core::Instant now) {
  const bool warms_up = share_.warm_up_interval > core::Duration::zero();
  const bool should_open_ahead = warms_up && health_.usable() && opening_ == 0 && held() < share_.kept;
  if (!should_open_ahead || now < next_warm_up_ || now < next_open_attempt_) {
    return;
  }
  next_warm_up_ = now + share_.warm_up_interval;
  start_opening(core::TenantName());
}

void BackendPool::close_idle_borrowed(core::Instant now) {
  while (!idle_.empty() && held() > share_.kept && now - idle_.oldest_since() >= borrowed_idle_limit_) {
    idle_.close_least_demanded(now, demand_);
    ++counters_.given_back;
  }
}

awaitable<void> BackendPool::open_connection(std::shared_ptr<BackendPool> self, core::TenantName tenant) {
  const core::Instant begun = core::BootClock::now();
  BackendAddress address = self->address_;
  address.tenant = tenant;
  auto backend = co_await self->connector_.connect(std::move(address), kConnectTimeout);
  --self->opening_;
  if (--self->opening_for_[tenant] == 0) {
    self->opening_for_.erase(tenant);
  }
  const core::Instant now = core::BootClock::now();
  self->last_open_failed_ = !backend;
  if (!backend) {
    ++self->counters_.open_failed;
    self->next_open_attempt_ = now + kOpenRetryDelay;
    self->on_open_failed(backend.error());
    co_return;
  }
  ++self->counters_.opened;
  self->queue_.note_used(tenant, now - begun);
  self->average_opening_time_ += (now - begun - self->average_opening_time_) / kLatencyAverageDivisor;
  self->borrowed_idle_limit_ = std::min(kBorrowedIdleMax, self->borrowed_idle_limit_ + kBorrowedIdleStep);
  self->health_.on_connected(now);
  auto connection = std::make_unique<PooledConnection>();
  connection->backend = std::move(backend.value());
  connection->tenant = std::move(tenant);
  connection->opened_at = now;
  self->make_available(std::move(connection));
}

void BackendPool::on_open_failed(const core::Error& error) {
  const bool answers = error.kind == core::ErrorKind::kOverloaded;
  if (answers) {
    on_opening_refused();
  } else {
    health_.on_connect_failed(core::BootClock::now());
  }
  // Waiters may still get a connection that is in use; without one there is nothing to wait for.
  if (in_use_.empty() && opening_ == 0) {
    fail_waiters(error);
  }
}

/// The database has reached its connection limit. Other daemons see the same refusals, so all of them close
/// idle connections sooner.
void BackendPool::on_opening_refused() {
  borrowed_idle_limit_ = std::max(kBorrowedIdleMin, borrowed_idle_limit_ / 2);
}

std::shared_ptr<PoolWaiter> BackendPool::pop_next_waiter() {
  const core::Instant now = core::BootClock::now();
  const auto servable = [this](const QueueEntry& entry) { return idle_.has_connection_for(entry.tenant); };
  const std::optional<WaiterNumber> next = queue_.take_next(now, average_latency_, servable);
  if (!next) {
    return nullptr;
  }
  const auto found = waiters_.find(*next);
  std::shared_ptr<PoolWaiter> waiter = std::move(found->second);
  waiters_.erase(found);
  counters_.late_in_line += now + average_latency_ > waiter->goal ? 1 : 0;
  return waiter;
}

void BackendPool::make_available(std::unique_ptr<PooledConnection> connection) {
  if (closed_ || !connection->backend->is_open()) {
    open_when_needed();
    return;
  }
  if (held() < share_.most) {
    connection->idle_since = core::BootClock::now();
    idle_.add(std::move(connection));
  }
  serve_waiters();
}

StatementsInFlight BackendPool::in_flight() const {
  return StatementsInFlight{in_use_.size() - open_transactions_, transaction_statements_, opening_};
}

bool BackendPool::may_start_statement() const {
  return concurrency_.has_room(in_flight());
}

void BackendPool::on_transaction_statement_ended() {
  --transaction_statements_;
  serve_waiters();
}

/// Ignores connections being opened: they are meant for some of the waiters.
bool BackendPool::may_hand_out() const {
  StatementsInFlight counted = in_flight();
  counted.opening = 0;
  return concurrency_.has_room(counted);
}

void BackendPool::serve_waiters() {
  idle_.drop_closed();
  while (!queue_.empty() && may_hand_out()) {
    const std::shared_ptr<PoolWaiter> waiter = pop_next_waiter();
    if (!waiter) {
      break;
    }
    waiter->connection = idle_.take(waiter->tenant, waiter->session);
    waiter->connection->charged_slot_time = average_latency_;
    note_in_use(*waiter->connection);
    waiter->timer.cancel();
    idle_.drop_closed();
  }
  open_when_needed();
}

void BackendPool::return_connection(std::unique_ptr<PooledConnection> connection, bool reusable) {
  in_use_.erase(connection.get());
  if (!reusable) {
    connection->backend->close();
  }
  make_available(std::move(connection));
}

void BackendPool::fail_waiters(const core::Error& error) {
  const auto waiters = std::exchange(waiters_, {});
  queue_.clear();
  for (const auto& [number, waiter] : waiters) {
    waiter->error = error;
    waiter->timer.cancel();
  }
}

core::Duration BackendPool::expected_wait() const {
  const auto before = static_cast<std::int64_t>(in_use_.size() + queue_.size());
  const core::Duration opening = idle_.empty() ? average_opening_time_ : core::Duration::zero();
  return opening + average_latency_ + average_latency_ * before / std::max<std::int64_t>(slots_, 1);
}

void BackendPool::note_latency(core::Duration taken) {
  latency_noted_ = true;
  average_latency_ += (taken - average_latency_) / kLatencyAverageDivisor;
}

// --- Probes

void BackendPool::tick(core::Instant now) {
  if (closed_) {
    return;
  }
  if (health_.take_probe(now)) {
    ++counters_.probes;
    boost::asio::co_spawn(io_, probe(shared_from_this()), boost::asio::detached);
  }
  decay_latency();
  demand_.drop_idle_tenants(now);
  open_when_needed();
  close_idle_borrowed(now);
  open_ahead(now);
}

/// Lets the average latency decay while there are no replies. Otherwise no caller would choose a database
/// that was once slow, and its recovery would go unnoticed.
void BackendPool::decay_latency() {
  if (!latency_noted_) {
    average_latency_ -= (average_latency_ - kInitialLatency) / kLatencyDecayDivisor;
  }
  latency_noted_ = false;
}

/// Uses a new connection: an existing one may hang although the database is healthy.
awaitable<void> BackendPool::probe(std::shared_ptr<BackendPool> self) {
  auto backend = co_await self->connector_.connect(self->address_, kSuspectProbeTimeout);
  bool answered = backend.has_value();
  bool refused = false;
  if (!backend) {
    answered = backend.error().kind == core::ErrorKind::kOverloaded;
    refused = backend.error().kind == core::ErrorKind::kConnectionRefused;
  }
  self->health_.on_probe_result(core::BootClock::now(), answered, refused);
  if (!self->health_.usable()) {
    self->close_retryable();
  }
}

void BackendPool::close_retryable() {
  idle_.clear();
  for (PooledConnection* connection : in_use_) {
    if (connection->retryable) {
      connection->backend->close();
    }
  }
  fail_waiters(core::Error{core::ErrorKind::kConnectionRefused, "The database can't be reached.",
                           "Choose another one, or try again.", 100});
}

}  // namespace pipitpond::pooling
