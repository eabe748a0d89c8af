// What the system knows of a listening TCP socket.
#pragma once

#include <cstddef>

namespace pipitpond::http {

/// Connections of the listening socket that the system has accepted and the process has not; 0 when that
/// can't be told.
std::size_t waiting_in_queue(int listening_socket);

}  // namespace pipitpond::http
