// State of one caller request while it is in progress.
#pragma once

#include <cstddef>
#include <memory>
#include <optional>
#include <vector>

#include "core/clock.hpp"
#include "core/ids.hpp"
#include "core/outcome.hpp"
#include "protocol/forward.hpp"
#include "retry/decider.hpp"
#include "routing/read_choice.hpp"
#include "session/token.hpp"

namespace pipitpond::proxy {

/// One request of a caller.
struct ActiveRequest {
  core::RequestId id;
  core::Instant started;
  core::Instant deadline;
  core::GroupName group;
  core::TenantName tenant;
  core::StatementKind kind = core::StatementKind::kRead;
  core::RequestKey key;
  bool first = false;  ///< The caller has not sent this before.
  bool settle = true;  ///< Whether a key that has not run is to be recorded as never to run.
  session::SessionToken token;
  policy::ReadRule read_rule;
  std::optional<retry::RetryDecider> decider;
  std::vector<routing::ReadCandidate> candidates;  ///< Of the last read choice.
  std::size_t next_candidate = 0;
  protocol::ForwardReply reply;  ///< Of the last attempt or settlement.
};

}  // namespace pipitpond::proxy
