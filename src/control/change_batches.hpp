// Queue of changes that are proposed together. Each entry of control's log is written, synced and applied by
// every replica, and each revision is fetched and applied by every daemon: one for each change would cost a
// fleet that starts N^2.
#pragma once

#include <algorithm>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <utility>
#include <vector>

#include "configuration/command.hpp"
#include "control/one_shot.hpp"
#include "core/clock.hpp"
#include "core/error.hpp"

namespace pipitpond::control {

/// After a proposal that changed nothing or failed: each one costs every replica a sync.
inline constexpr core::Duration kRefusedRest = std::chrono::milliseconds(200);

/// At most one change waits for each `Id`, in order of arrival. One proposal is in progress at a time; a
/// change that comes in a quiet time is proposed at once. Must outlive its proposals: stop the io_context
/// first.
template <typename Id, typename Operation>
class ChangeBatches {
 public:
  using Result = core::Result<configuration::CommandResult>;
  using Done = OneShot<Result>;
  using Propose = std::function<boost::asio::awaitable<Result>(std::vector<Operation>)>;

  /// `interval`: least time between the beginnings of two proposals. `max_changes`: of one proposal.
  ChangeBatches(boost::asio::io_context& io, Propose propose, core::Duration interval,
                std::size_t max_changes)
      : io_(io), propose_(std::move(propose)), interval_(interval), max_changes_(max_changes) {}
  ChangeBatches(const ChangeBatches&) = delete;
  ChangeBatches& operator=(const ChangeBatches&) = delete;

  /// The change that waits for its proposal, or null.
  [[nodiscard]] const Operation* waiting(const Id& id) const { return operation_in(waiting_, id); }
  /// The change whose proposal is in progress, or null.
  [[nodiscard]] const Operation* in_progress(const Id& id) const { return operation_in(in_progress_, id); }
  [[nodiscard]] std::size_t count_waiting() const { return waiting_.size(); }
  [[nodiscard]] std::size_t max_changes() const { return max_changes_; }
  [[nodiscard]] bool proposing() const { return !in_progress_.empty(); }
  /// How long the last proposal took; zero before the first.
  [[nodiscard]] core::Duration last_proposal() const { return last_proposal_; }

  /// Puts a change in line, in the place of one that waits for the same `id`; who waits for that one waits
  /// for this.
  void put(const Id& id, Operation operation) {
    Change& change = waiting_[id];
    change.operation = std::move(operation);
    change.arrival = ++arrivals_;
    schedule();
  }

  /// What comes of the change of `id`: of the one that waits, else of the one in progress. There must be one.
  /// Of more than `max_waiters` the earliest is told `given_up`.
  std::shared_ptr<Done> wait_for(const Id& id, std::size_t max_waiters, const core::Error& given_up) {
    const auto found = waiting_.find(id);
    Change& change = found != waiting_.end() ? found->second : in_progress_.at(id);
    if (change.waiters.size() >= max_waiters) {
      change.waiters.front()->deliver(core::outcome::failure(given_up));
      change.waiters.erase(change.waiters.begin());
    }
    change.waiters.push_back(std::make_shared<Done>(io_));
    return change.waiters.back();
  }

 private:
  struct Change {
    Operation operation;
    std::uint64_t arrival = 0;
    std::vector<std::shared_ptr<Done>> waiters;
  };

  using Changes = std::map<Id, Change>;

  static const Operation* operation_in(const Changes& changes, const Id& id) {
    const auto found = changes.find(id);
    return found == changes.end() ? nullptr : &found->second.operation;
  }

  void schedule() {
    if (!running_) {
      running_ = true;
      boost::asio::co_spawn(io_, run(), boost::asio::detached);
    }
  }

  boost::asio::awaitable<void> run() {
    while (!waiting_.empty()) {
      co_await pause(next_ - core::BootClock::now());
      const core::Instant begun = core::BootClock::now();
      next_ = begun + interval_;
      const Result result = co_await propose_(take_batch());
      last_proposal_ = core::BootClock::now() - begun;
      for (const auto& [id, change] : std::exchange(in_progress_, {})) {
        for (const std::shared_ptr<Done>& waiter : change.waiters) {
          waiter->deliver(result);
        }
      }
      if (!result || !result.value().changed) {
        next_ = core::BootClock::now() + kRefusedRest;
      }
    }
    running_ = false;
  }

  boost::asio::awaitable<void> pause(core::Duration duration) {
    if (duration <= core::Duration::zero()) {
      co_return;
    }
    boost::system::error_code ignored;
    boost::asio::steady_timer timer(io_, duration);
    co_await timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
  }

  /// Moves the earliest changes into progress.
  std::vector<Operation> take_batch() {
    std::vector<std::pair<std::uint64_t, Id>> order;
    for (const auto& [id, change] : waiting_) {
      order.emplace_back(change.arrival, id);
    }
    std::sort(order.begin(), order.end());
    order.resize(std::min(order.size(), max_changes_));
    std::vector<Operation> operations;
    for (const auto& [arrival, id] : order) {
      operations.push_back(waiting_.at(id).operation);
      in_progress_.insert(waiting_.extract(id));
    }
    return operations;
  }

  boost::asio::io_context& io_;
  Propose propose_;
  core::Duration interval_;
  std::size_t max_changes_;
  core::Instant next_;
  core::Duration last_proposal_ = core::Duration::zero();
  bool running_ = false;
  std::uint64_t arrivals_ = 0;
  Changes waiting_;
  Changes in_progress_;
};

}  // namespace pipitpond::control
