#include "control/daemon_changes.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

namespace pipitpond::control {
namespace {

using boost::asio::awaitable;

/// Pause after a proposal that failed or changed nothing: each proposal costs every replica a disk sync.
constexpr core::Duration kFailureBackoff = std::chrono::milliseconds(200);

core::DaemonId daemon_of(const DaemonOperation& operation) {
  return std::visit([](const auto& one) { return one.id; }, operation);
}

void append(configuration::ChangeDaemons& changes, const configuration::AdmitDaemon& admit) {
  changes.admit.push_back(admit);
}

void append(configuration::ChangeDaemons& changes, const configuration::SetDaemonState& set) {
  changes.set_state.push_back(set);
}

void append(configuration::ChangeDaemons& changes, const configuration::RemoveDaemon& remove) {
  changes.remove.push_back(remove);
}

}  // namespace

DaemonChanges::DaemonChanges(boost::asio::io_context& io, Propose propose, core::Duration interval)
    : io_(io), propose_(std::move(propose)), interval_(interval) {}

bool DaemonChanges::add(const DaemonOperation& operation) {
  const core::DaemonId daemon = daemon_of(operation);
  if (in_progress_.contains(daemon) || pending_.contains(daemon)) {
    return false;
  }
  pending_.emplace(daemon, PendingChange{operation, {}});
  schedule();
  return true;
}

awaitable<core::Result<void>> DaemonChanges::remove(configuration::RemoveDaemon removal,
                                                    core::Duration timeout) {
  auto done = std::make_shared<Completion>(io_);
  PendingChange& change = pending_[removal.id];
  change.operation = std::move(removal);
  change.completions.push_back(done);
  schedule();
  auto result = co_await Completion::wait(done, timeout);
  if (!result) {
    co_return core::fail(core::ErrorKind::kTimeout, "The daemon's removal was not confirmed.",
                         "Send the departure again.", 500);
  }
  co_return std::move(*result);
}

void DaemonChanges::drop_queued() {
  for (const auto& [daemon, change] : std::exchange(pending_, {})) {
    for (const std::shared_ptr<Completion>& done : change.completions) {
      done->deliver(core::fail(core::ErrorKind::kNotLeader, "This control replica no longer leads.",
                               "Send the departure again, to the leader."));
    }
  }
}

void DaemonChanges::schedule() {
  if (running_) {
    return;
  }
  running_ = true;
  boost::asio::co_spawn(io_, run(), boost::asio::detached);
}

awaitable<void> DaemonChanges::run() {
  while (!pending_.empty()) {
    co_await pause(next_proposal_at_ - core::BootClock::now());
    if (pending_.empty()) {
      break;  // Dropped meanwhile.
    }
    next_proposal_at_ = core::BootClock::now() + interval_;
    const Batch batch = take_batch();
    configuration::ChangeDaemons changes;
    for (const auto& [daemon, change] : batch) {
      std::visit([&changes](const auto& one) { append(changes, one); }, change.operation);
      in_progress_.insert(daemon);
    }
    const auto result = co_await propose_(std::move(changes));
    in_progress_.clear();
    for (const auto& [daemon, change] : batch) {
      for (const std::shared_ptr<Completion>& done : change.completions) {
        done->deliver(result ? core::Result<void>(core::outcome::success())
                             : core::Result<void>(core::outcome::failure(result.error())));
      }
    }
    if (!result || !result.value().changed) {
      next_proposal_at_ = core::BootClock::now() + kFailureBackoff;
    }
  }
  running_ = false;
}

awaitable<void> DaemonChanges::pause(core::Duration duration) {
  if (duration <= core::Duration::zero()) {
    co_return;
  }
  boost::system::error_code ignored;
  boost::asio::steady_timer timer(io_, duration);
  co_await timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
}

DaemonChanges::Batch DaemonChanges::take_batch() {
  Batch batch;
  while (!pending_.empty() && batch.size() < kMaxChangesPerProposal) {
    batch.insert(pending_.extract(pending_.begin()));
  }
  return batch;
}

}  // namespace pipitpond::control
