// An answer of control on its way to this daemon, page by page. No input or output.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "core/ids.hpp"
#include "protocol/control_messages.hpp"

namespace pipitpond::agent {

/// Collects the pages of one answer. What has come stays when a replica falls silent or its connection is
/// lost: the next request goes on there, at any replica that has the same answer. A fetch that began anew
/// each time never ended on links on which it took longer than its time limit.
class FetchTransfer {
 public:
  /// Asks for what is missing of the answer for what follows `after`.
  [[nodiscard]] protocol::FetchRequest request(const core::DaemonId& daemon, protocol::Revision after) const;
  /// Takes a page of what follows `after`. `awaited`: it is the answer to the last request, not one that was
  /// given up; only such a page may replace what has come. False when the page was of no use.
  bool take(protocol::Revision after, const protocol::FetchPage& page, bool awaited);
  /// The answer, packed by wire::pack_compact, once all of it has come; the transfer is empty then.
  std::optional<std::string> take_whole();

 private:
  [[nodiscard]] bool goes_on_with(protocol::Revision after, const protocol::FetchPage& page) const;

  protocol::Revision after_ = 0;
  protocol::Revision revision_ = 0;  ///< That the answer leads to.
  std::uint64_t total_ = 0;
  std::string bytes_;
};

}  // namespace pipitpond::agent
