// Asks the databases of a group directly, as the oracle and the fault injector need it.
#pragma once

#include <utility>  // Before Asio's coroutine headers, which lack it.
//
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <optional>
#include <vector>

#include "database/protocol.hpp"
#include "experiment/fleet_file.hpp"
#include "oracle/judge.hpp"

namespace pipitpond::experiment {

/// A database that serves as primary, with its status.
struct CurrentPrimary {
  FleetProcess process;
  database::StatusAnswer status;
};

/// The reachable primary of the greatest term; empty when there is none.
boost::asio::awaitable<std::optional<CurrentPrimary>> find_primary(boost::asio::io_context& io, Fleet fleet,
                                                                   core::GroupName group);

/// Waits until the group has a primary whose whole log is committed, and reads it. Fails with kTimeout when
/// that does not come within the time.
boost::asio::awaitable<core::Result<oracle::GroupLog>> read_log(boost::asio::io_context& io, Fleet fleet,
                                                                core::GroupName group, core::Duration within);

}  // namespace pipitpond::experiment
