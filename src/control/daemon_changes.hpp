// Collects what control itself changes about daemons and proposes it together, so that a fleet that starts, a
// zone that is lost or hundreds of restarts make a few revisions instead of one or more for each daemon.
// Every revision is fetched, stored and applied by every daemon: one for each daemon would cost the fleet
// N^2.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <variant>
#include <vector>

#include "configuration/command.hpp"
#include "control/one_shot.hpp"
#include "control/revision_notices.hpp"
#include "core/clock.hpp"
#include "core/error.hpp"
#include "core/ids.hpp"

namespace pipitpond::control {

/// One change of one daemon.
using DaemonOperation =
    std::variant<configuration::AdmitDaemon, configuration::SetDaemonState, configuration::RemoveDaemon>;

/// Least time between the beginnings of two proposals. Daemons are told of revisions no more often than that.
inline constexpr core::Duration kDaemonChangesInterval = kNoticeInterval;
/// Changes that one proposal holds at most.
inline constexpr std::size_t kMaxDaemonChanges = 1000;

/// Queue of changes of daemons. One proposal is in progress at a time; a change that comes in a quiet time is
/// proposed at once. Must outlive its proposals: stop the io_context first.
class DaemonChanges {
 public:
  using Propose = std::function<boost::asio::awaitable<core::Result<configuration::CommandResult>>(
      configuration::ChangeDaemons)>;

  DaemonChanges(boost::asio::io_context& io, Propose propose,
                core::Duration interval = kDaemonChangesInterval);
  DaemonChanges(const DaemonChanges&) = delete;
  DaemonChanges& operator=(const DaemonChanges&) = delete;

  /// Asks for a change. While one for the same daemon waits or is in progress, a further one is dropped and
  /// false returned: the caller asks again.
  bool add(const DaemonOperation& operation);
  /// Asks for a removal, which takes the place of a change that waits. Returns once it was decided, with the
  /// proposal's failure if it has one, or kTimeout.
  boost::asio::awaitable<core::Result<void>> remove(configuration::RemoveDaemon removal,
                                                    core::Duration timeout);

 private:
  using Done = OneShot<core::Result<void>>;

  struct Waiting {
    DaemonOperation operation;
    std::vector<std::shared_ptr<Done>> done;  ///< Told what came of it.
  };

  using Batch = std::map<core::DaemonId, Waiting>;

  void schedule();
  boost::asio::awaitable<void> run();
  boost::asio::awaitable<void> pause(core::Duration duration);
  Batch take_batch();

  boost::asio::io_context& io_;
  Propose propose_;
  core::Duration interval_;
  core::Instant next_;
  bool running_ = false;
  Batch waiting_;
  std::set<core::DaemonId> in_progress_;
};

}  // namespace pipitpond::control
