// Packed answers to daemons' fetches. After a change nearly all daemons ask for the same: it is packed once.
#pragma once

#include <map>
#include <string>

#include "configuration/state_machine.hpp"
#include "protocol/configuration.hpp"

namespace pipitpond::control {

/// Answers for the current revision, by the revision that the asker has.
class FetchReplies {
 public:
  explicit FetchReplies(const configuration::StateMachine& machine) : machine_(machine) {}

  /// What follows `after`, packed by wire::pack_compact as protocol::FetchReply. The reference is valid until
  /// the next call.
  const std::string& after(protocol::Revision after);

 private:
  const configuration::StateMachine& machine_;
  protocol::Revision current_ = 0;  ///< Revision that the kept answers lead to.
  std::map<protocol::Revision, std::string> packed_;
};

/// Answers that are kept at most; a whole configuration is 180 KB at the target size.
inline constexpr std::size_t kMaxKeptReplies = 16;

}  // namespace pipitpond::control
