#include "control/fetch_replies.hpp"

#include "wire/compact.hpp"

namespace pipitpond::control {

const std::string& FetchReplies::after(protocol::Revision after) {
  const protocol::Revision current = machine_.configuration().revision;
  if (current != current_ || packed_.size() >= kMaxKeptReplies) {
    packed_.clear();
    current_ = current;
  }
  const auto [found, is_new] = packed_.try_emplace(after);
  if (is_new) {
    found->second = wire::pack_compact(machine_.changes_after(after));
  }
  return found->second;
}

}  // namespace pipitpond::control
