// What an owner does with a request of another daemon before it makes the attempt: tells how long the request
// lay unread, and turns away what its sender has given up meanwhile.
#pragma once

#include <optional>

#include "core/clock.hpp"
#include "protocol/forward.hpp"

namespace pipitpond::proxy {

/// The refusal ("not run": nothing goes to the database) of a request that was read later than its
/// `pick_up_ms` or its deadline allow. Else empty, and the time that it lay unread is taken off its deadline.
std::optional<protocol::ForwardReply> refuse_late(protocol::ForwardRequest& request, core::Instant now);

}  // namespace pipitpond::proxy
