// How to end a listening TCP socket without resetting connections that a client believes to be open.
#pragma once

#include <chrono>
#include <cstddef>

#include "core/clock.hpp"

namespace pipitpond::net {

/// Connections of the listening socket that the system has accepted and the process has not; 0 when that
/// can't be told.
std::size_t waiting_in_queue(int listening_socket);

/// Longest that a handshake takes that had begun when new ones began to be dropped.
inline constexpr core::Duration kHandshakeTime = std::chrono::milliseconds(200);

/// From now on the system drops packets that would begin a connection, while handshakes that have begun are
/// finished and can be accepted. A client whose first packet was dropped sends it again after a second, and
/// finds the port closed. Returns false when the system refuses: then a close may reset connections in the
/// queue.
bool drop_new_connections(int listening_socket);

}  // namespace pipitpond::net
