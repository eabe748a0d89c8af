// Durable state of one Raft replica on a Disk: a segmented log and snapshots.
//
// Each Ready is one frame of the log, synced before the next, so that many proposals cost one sync. An entry
// whose index is not behind the last one replaces the entries from there on; nothing is overwritten in place.
// Snapshots are files of their own; log segments are removed, oldest first, once a snapshot covers them.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/error.hpp"
#include "raft/ready.hpp"
#include "raft/types.hpp"
#include "storage/disk.hpp"
#include "storage/identity.hpp"

namespace pipitpond::storage {

inline constexpr const char* kIdentityName = "identity";
/// A new segment is begun when the last one has grown beyond this.
inline constexpr std::size_t kSegmentBytes = std::size_t{4} * 1024 * 1024;

class RaftStorage {
 public:
  /// Prepares a disk without an identity for a replica that starts from `state`: raft::bootstrap(...) for a
  /// voter of a new cluster, an empty one for a replica that joins. The identity is written last, so that a
  /// crash leaves a disk that counts as empty. Fails with kAlreadyExists when there is an identity.
  static core::Result<void> create(Disk& disk, const Identity& identity, const raft::PersistedState& state);

  /// Opens a disk with an identity and repairs what a crash may have left: a torn last frame is cut off.
  /// Fails with kNotFound (no identity) or kCorrupt. `disk` must outlive the storage.
  static core::Result<RaftStorage> open(Disk& disk, std::size_t segment_bytes = kSegmentBytes);

  /// What the disk held when it was opened; may be taken once.
  raft::PersistedState take_state() { return std::move(state_); }

  /// Step 1 of raft::Ready: durable on return. Fails with kNoCapacity when the disk is full: nothing of it is
  /// durable, and the same Ready may be given again. After any other failure the process must stop.
  core::Result<void> persist(const raft::Ready& ready);

  /// Bytes of log frames and snapshots written since the storage was opened.
  [[nodiscard]] std::uint64_t bytes_written() const { return bytes_written_; }

 private:
  struct Segment {
    std::uint64_t number = 0;
    raft::Index last_index = 0;  ///< Greatest entry index in it.
    std::size_t bytes = 0;
  };

  RaftStorage(Disk& disk, std::size_t segment_bytes) : disk_(&disk), segment_bytes_(segment_bytes) {}

  core::Result<void> load_snapshot(const std::vector<std::string>& names);
  core::Result<void> load_segments(const std::vector<std::string>& names);
  core::Result<void> load_segment(std::uint64_t number, bool last);
  core::Result<void> settle_log();
  core::Result<void> save_snapshot(const raft::Snapshot& snapshot);
  core::Result<void> begin_segment();
  /// Goes on in the last segment when there is no room for another one.
  core::Result<void> begin_segment_if_there_is_room();
  core::Result<void> open_segment();
  core::Result<void> append_frame(const std::string& payload);
  core::Result<void> cut_off_partial_frame();
  core::Result<void> remove_covered();

  Disk* disk_;
  std::size_t segment_bytes_;
  std::vector<Segment> segments_;  ///< The last one is written to.
  raft::HardState hard_state_;
  raft::Index snapshot_index_ = 0;
  std::uint64_t bytes_written_ = 0;
  raft::PersistedState state_;
};

}  // namespace pipitpond::storage
