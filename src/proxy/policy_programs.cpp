#include "proxy/policy_programs.hpp"

#include <utility>

#include "logging/logging.hpp"

namespace pipitpond::proxy {

PolicyPrograms::PolicyPrograms() {
  auto compiled = policy::Program::compile(policy::default_source());
  default_program_ = std::move(compiled).value();
}

void PolicyPrograms::apply(const protocol::Configuration& configuration) {
  std::erase_if(programs_, [&configuration](const auto& entry) {
    return !configuration.policies.contains(entry.first);
  });
  for (const auto& [name, declared] : configuration.policies) {
    Compiled& compiled = programs_[name];
    if (compiled.program && compiled.revision == declared.revision) {
      continue;
    }
    compiled.revision = declared.revision;
    auto program = policy::Program::compile(declared.source);
    compiled.logged_failures = 0;
    if (!program) {
      logging::logger("proxy")->error("Policy {} can't be compiled, the built-in one is used: {}",
                                      name.value(), core::describe(program.error()));
      program = policy::Program::compile(policy::default_source());
    }
    compiled.program = std::move(program).value();
  }
}

std::map<core::PolicyName, std::uint64_t> PolicyPrograms::failures() const {
  std::map<core::PolicyName, std::uint64_t> failures;
  for (const auto& [name, compiled] : programs_) {
    failures[name] = compiled.program->failures();
  }
  return failures;
}

void PolicyPrograms::log_failures() {
  for (auto& [name, compiled] : programs_) {
    const std::uint64_t failures = compiled.program->failures();
    if (failures > compiled.logged_failures) {
      logging::logger("proxy")->warn("Policy {} failed {} times, the safe choice was taken: {}", name.value(),
                                     failures - compiled.logged_failures, compiled.program->last_failure());
      compiled.logged_failures = failures;
    }
  }
}

policy::Program& PolicyPrograms::of(const protocol::Group& group) {
  const auto found = programs_.find(group.policy);
  return found == programs_.end() ? *default_program_ : *found->second.program;
}

}  // namespace pipitpond::proxy
