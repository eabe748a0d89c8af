// Cache of serialized replies to configuration fetches, served in pages. After a change nearly all daemons
// fetch from the same revision, so that a reply is serialized once for all of them.
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

/// Size of a page. A daemon requests one page at a time from a replica, so that 300 daemons that start over
/// slow links make a replica buffer at most 10 MB (unpaged replies took 121 MB for 86 daemons), and a lost
/// connection wastes one page. 32 KB take 0.13 s on a 2 Mbit/s link.
inline constexpr std::size_t kFetchPageBytes = 32UL * 1024;
/// Maximum number of cached replies for the current revision. A complete configuration has 180 KB at the
/// target fleet size.
inline constexpr std::size_t kMaxCachedReplies = 16;
/// Maximum size of the multi-page replies kept for daemons that have fetched a part of them; the least
/// recently used ones are evicted. Without them, a daemon could never fetch all of a configuration that
/// changes faster than it is transferred.
inline constexpr std::size_t kMaxTransferBytes = 16UL * 1024 * 1024;

/// Caches replies that lead to the current revision, by the revision that the daemon has, and multi-page
/// replies that daemons have fetched in part.
class FetchReplies {
 public:
  explicit FetchReplies(const configuration::StateMachine& machine) : machine_(machine) {}

  /// Returns the changes after revision `after` as a protocol::FetchReply packed by wire::pack_compact. The
  /// reference is valid until the next call.
  const std::string& after(protocol::Revision after) { return *current_reply(after); }
  /// Returns the next page of the reply that the request continues, or the first page of a new reply.
  protocol::FetchPage page(const protocol::FetchRequest& request);

 private:
  using SharedBytes = std::shared_ptr<const std::string>;
  /// A multi-page reply.
  struct Transfer {
    protocol::Revision after = 0;
    protocol::Revision revision = 0;
    SharedBytes bytes;
  };

  SharedBytes current_reply(protocol::Revision after);
  /// Finds the kept reply that the request continues and marks it as most recently used. Returns null if
  /// there is none or if the offset is beyond its end.
  SharedBytes find_transfer(const protocol::FetchRequest& request);
  void keep_transfer(Transfer transfer);

  const configuration::StateMachine& machine_;
  protocol::Revision cached_revision_ = 0;  ///< Revision that the replies in `cached_replies_` lead to.
  std::map<protocol::Revision, SharedBytes> cached_replies_;
  std::deque<Transfer> transfers_;  ///< Least recently used first.
  std::size_t transfer_bytes_ = 0;
};

}  // namespace pipitpond::control
