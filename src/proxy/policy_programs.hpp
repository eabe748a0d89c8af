// Compiled policies of the current configuration.
#pragma once

#include <cstdint>
#include <map>
#include <memory>

#include "core/ids.hpp"
#include "policy/program.hpp"
#include "protocol/configuration.hpp"

namespace pipitpond::proxy {

/// Holds one compiled program for each policy. A policy that can't be compiled (control has checked it, so
/// the versions differ) is replaced by the default one and logged.
class PolicyPrograms {
 public:
  PolicyPrograms();

  /// Compiles what has changed and drops what is gone.
  void apply(const protocol::Configuration& configuration);
  /// Program of the group's policy; the default one when it names none.
  [[nodiscard]] policy::Program& of(const protocol::Group& group);
  /// Evaluations of each policy that failed and fell back to the safe choice, since it was last compiled.
  [[nodiscard]] std::map<core::PolicyName, std::uint64_t> failures() const;
  /// Logs policies that have failed since the last call.
  void log_failures();

 private:
  struct Compiled {
    protocol::Revision revision = 0;
    std::unique_ptr<policy::Program> program;
    std::uint64_t logged_failures = 0;
  };

  std::unique_ptr<policy::Program> default_program_;
  std::map<core::PolicyName, Compiled> programs_;
};

}  // namespace pipitpond::proxy
