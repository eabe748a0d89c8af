#include "proxy/forward_intake.hpp"

#include <algorithm>

#include "routing/peer_clock.hpp"

namespace pipitpond::proxy {

std::optional<protocol::ForwardReply> refuse_late(protocol::ForwardRequest& request, core::Instant now) {
  if (request.sent_at_us == 0) {
    return std::nullopt;
  }
  const core::Duration unread(std::max<std::int64_t>(0, routing::clock_reading(now) - request.sent_at_us));
  const core::Duration deadline = std::chrono::milliseconds(request.deadline_ms);
  const core::Duration pick_up = std::chrono::milliseconds(request.pick_up_ms);
  if (unread >= deadline || (request.pick_up_ms != 0 && unread > pick_up)) {
    protocol::ForwardReply reply;
    reply.request = request.request;
    reply.database = request.database;
    reply.outcome = core::Outcome::kNotRun;
    reply.error = {
        core::ErrorKind::kUnavailable,
        "The request lay unread at an owner for " + std::to_string(core::to_millis(unread)) + " ms.",
        "Send it again; another daemon serves it.", 1};
    return reply;
  }
  request.deadline_ms = static_cast<std::uint32_t>(core::to_millis(deadline - unread));
  return std::nullopt;
}

}  // namespace pipitpond::proxy
