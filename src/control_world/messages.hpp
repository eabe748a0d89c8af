// What operators and control machines of the simulated world tell each other.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>

#include "configuration/command.hpp"
#include "core/error.hpp"
#include "protocol/configuration.hpp"
#include "protocol/control_messages.hpp"

namespace pipitpond::control_world {

/// Answer to a change: of the state machine, or why there is none.
struct ChangeAnswer {
  std::optional<core::Error> failure;  ///< Not answered by the state machine: resend with the same key.
  configuration::CommandResult result;
};

/// Answer to a read of the whole configuration.
struct ReadAnswer {
  std::optional<core::Error> failure;
  protocol::Configuration configuration;
};

using AnswerChange = std::function<void(const ChangeAnswer&)>;
using AnswerRead = std::function<void(const ReadAnswer&)>;
using AnswerHeartbeat = std::function<void(const protocol::HeartbeatReply&)>;

}  // namespace pipitpond::control_world
