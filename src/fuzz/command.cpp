#include "fuzz/command.hpp"

#include <fmt/format.h>

#include <array>
#include <string_view>

namespace pipitpond::fuzz {
namespace {

constexpr std::array<std::string_view, 27> kNames = {"read",
                                                     "list",
                                                     "read_large",
                                                     "write",
                                                     "twin_write",
                                                     "leave",
                                                     "transaction",
                                                     "ask_outcome",
                                                     "kill_proxy",
                                                     "freeze_proxy",
                                                     "restart_proxy",
                                                     "drain_proxy",
                                                     "kill_database",
                                                     "freeze_database",
                                                     "restart_database",
                                                     "drain_database",
                                                     "cut_database",
                                                     "cut_answers",
                                                     "cut_requests",
                                                     "reset_database",
                                                     "lose_answers",
                                                     "delay_answers",
                                                     "raise_lag",
                                                     "kill_control_leader",
                                                     "freeze_control",
                                                     "cut_control",
                                                     "pause"};
static_assert(kNames.size() == static_cast<std::size_t>(Action::kPause) + 1);

constexpr std::array<std::string_view, 3> kEnds = {"commit", "rollback", "abandon"};

std::string request_fields(const Command& command) {
  std::string text =
      fmt::format(" caller {} proxy {} row {}{} deadline {} ms", command.caller, command.proxy + 1,
                  command.row, command.keyed ? " keyed" : "", command.deadline_ms);
  if (command.action == Action::kTransaction) {
    text += fmt::format(", {} statements, {}", command.statements,
                        kEnds.at(static_cast<std::size_t>(command.end)));
  }
  return text;
}

}  // namespace

bool is_request(Action action) {
  return action <= Action::kAskOutcome;
}

std::string describe(const Command& command) {
  std::string text =
      fmt::format("+{} ms {}", command.before_ms, kNames.at(static_cast<std::size_t>(command.action)));
  if (is_request(command.action)) {
    return text + request_fields(command);
  }
  if (command.action <= Action::kDrainProxy) {
    text += fmt::format(" proxy {}", command.proxy + 1);
  } else if (command.action <= Action::kDelayAnswers) {
    text += command.database == kPrimary ? " primary" : fmt::format(" database {}", command.database + 1);
  }
  return text + fmt::format(" for {} ms", command.lasts_ms);
}

std::ostream& operator<<(std::ostream& out, const Command& command) {
  return out << describe(command);
}

}  // namespace pipitpond::fuzz
