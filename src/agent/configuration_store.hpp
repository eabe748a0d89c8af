// Where a daemon keeps its last configuration: the whole of it in one file, and behind it, in a second one,
// the changes that came since. A change costs the disk its own size, not that of the fleet.
#pragma once

#include <cstddef>

#include "core/error.hpp"
#include "protocol/configuration.hpp"
#include "protocol/control_messages.hpp"
#include "storage/disk.hpp"

namespace pipitpond::agent {

/// Changes are folded into the whole configuration when their file has grown beyond this many bytes.
inline constexpr std::size_t kMaxChangesBytes = 256UL * 1024;

/// Durable configuration. What was stored is there after a crash, and never an older one instead.
class ConfigurationStore {
 public:
  explicit ConfigurationStore(storage::Disk& disk) : disk_(disk) {}

  /// The last stored configuration; an empty one when there is none. Fails with kCorrupt.
  core::Result<protocol::Configuration> load();
  /// Stores what was fetched on top of `before`, the last stored configuration. After a failure, `before` or
  /// what was fetched is stored; the next call stores the whole.
  core::Result<void> store(const protocol::Configuration& before, const protocol::FetchReply& fetched);

 private:
  core::Result<void> append(const std::vector<protocol::Change>& changes);
  core::Result<void> write_whole(const protocol::Configuration& configuration);

  storage::Disk& disk_;
  std::size_t changes_bytes_ = 0;  ///< Length of the file of changes.
  bool whole_next_ = true;         ///< Nothing is known to be stored, or a write has failed.
};

}  // namespace pipitpond::agent
