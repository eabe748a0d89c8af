#include "control/daemon_changes.hpp"

#include <utility>

namespace pipitpond::control {
namespace {

using boost::asio::awaitable;

/// A daemon departs once. Its departure is resent over another connection when that is lost.
constexpr std::size_t kMaxDepartureWaiters = 4;

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

configuration::ChangeDaemons together(const std::vector<DaemonOperation>& operations) {
  configuration::ChangeDaemons changes;
  for (const DaemonOperation& operation : operations) {
    std::visit([&changes](const auto& one) { append(changes, one); }, operation);
  }
  return changes;
}

core::Error not_confirmed() {
  return core::Error{core::ErrorKind::kTimeout, "The daemon's removal was not confirmed.",
                     "Send the departure again.", 500};
}

}  // namespace

DaemonChanges::DaemonChanges(boost::asio::io_context& io, Propose propose, core::Duration interval)
    : batches_(
          io,
          [propose = std::move(propose)](const std::vector<DaemonOperation>& operations) {
            return propose(together(operations));
          },
          interval, kMaxDaemonChanges) {}

bool DaemonChanges::add(const DaemonOperation& operation) {
  const core::DaemonId daemon = daemon_of(operation);
  if (batches_.in_progress(daemon) != nullptr || batches_.waiting(daemon) != nullptr) {
    return false;
  }
  batches_.put(daemon, operation);
  return true;
}

awaitable<core::Result<void>> DaemonChanges::remove(configuration::RemoveDaemon removal,
                                                    core::Duration timeout) {
  const core::DaemonId daemon = removal.id;
  batches_.put(daemon, std::move(removal));
  const auto done = batches_.wait_for(daemon, kMaxDepartureWaiters, not_confirmed());
  const auto result = co_await Batches::Done::wait(done, timeout);
  if (!result) {
    co_return not_confirmed();
  }
  if (!*result) {
    co_return result->error();
  }
  co_return core::outcome::success();
}

}  // namespace pipitpond::control
