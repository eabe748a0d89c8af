// Packed answers to daemons' fetches, handed out page by page. After a change nearly all daemons ask for the
// same: it is packed once.
#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <memory>
#include <string>

#include "configuration/state_machine.hpp"
#include "protocol/configuration.hpp"
#include "protocol/control_messages.hpp"

namespace pipitpond::control {

/// A daemon has one page under way from each replica, so that a fleet of 300 that starts over slow links
/// makes a replica hold 10 MB at most (121 MB at 86 daemons when whole answers waited to be sent), and a lost
/// connection costs one page. 32 KB take 0.13 s on a link of 2 Mbit/s.
inline constexpr std::size_t kFetchPageBytes = 32UL * 1024;
/// Answers for the current revision that are kept at most; a whole configuration is 180 KB at the target
/// size.
inline constexpr std::size_t kMaxKeptReplies = 16;
/// Answers of several pages that are kept for daemons that have begun one, in bytes; least lately used out.
/// Without them a configuration that changes faster than it is sent would never be sent whole.
inline constexpr std::size_t kMaxTransferBytes = 16UL * 1024 * 1024;

/// Answers for the current revision, by the revision that the asker has, and those of which daemons have
/// pages.
class FetchReplies {
 public:
  explicit FetchReplies(const configuration::StateMachine& machine) : machine_(machine) {}

  /// What follows `after`, packed by wire::pack_compact as protocol::FetchReply. The reference is valid until
  /// the next call.
  const std::string& after(protocol::Revision after) { return *current_reply(after); }
  /// The next page of the answer that the request goes on with, or the first of a new one.
  protocol::FetchPage page(const protocol::FetchRequest& request);

 private:
  using Bytes = std::shared_ptr<const std::string>;
  /// An answer of several pages.
  struct Transfer {
    protocol::Revision after = 0;
    protocol::Revision revision = 0;
    Bytes bytes;
  };

  Bytes current_reply(protocol::Revision after);
  /// The kept answer that the request goes on with; empty when there is none.
  Bytes transfer_of(const protocol::FetchRequest& request);
  void keep(Transfer transfer);

  const configuration::StateMachine& machine_;
  protocol::Revision current_ = 0;  ///< Revision that the kept answers lead to.
  std::map<protocol::Revision, Bytes> packed_;
  std::deque<Transfer> transfers_;  ///< Least lately used first.
  std::size_t transfer_bytes_ = 0;
};

}  // namespace pipitpond::control
