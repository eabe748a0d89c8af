// A configuration of a given size, shaped like the target: groups of three databases over 11 zones.
#pragma once

#include <cstdint>

#include "protocol/configuration.hpp"

namespace pipitpond::microbench {

/// Builds a configuration with that many daemons and databases.
protocol::Configuration make_configuration(std::uint32_t daemons, std::uint32_t databases);

/// Daemon `number` as it stands in the configuration.
protocol::Daemon make_daemon(std::uint32_t number);

}  // namespace pipitpond::microbench
