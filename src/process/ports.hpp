// Free TCP ports for processes that must be told their port before they start.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace pipitpond::process {

/// `count` distinct ports of `address` on which nothing listens now. They lie below those that the kernel
/// gives to outgoing connections, so that none of these takes one while its process is started or restarted,
/// and are handed out in turn to all processes of the machine that ask here, so that none is given twice in a
/// row.
std::vector<std::uint16_t> free_ports(const std::string& address, std::size_t count);

}  // namespace pipitpond::process
