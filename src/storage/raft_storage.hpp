// Durable state of one Raft replica on a Disk: a segmented log and snapshots.
//
// Each Ready is written as one frame of the log and synced before the next one, so that a batch of proposals
// costs one sync. An entry whose index is at or below the last one replaces the entries from that index on
// when the log is replayed; nothing is overwritten in place. Snapshots are separate files. Log segments are
// removed, oldest first, once a snapshot covers them.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/error.hpp"
#include "raft/ready.hpp"
#include "raft/types.hpp"
#include "storage/disk.hpp"
#include "storage/frame.hpp"
#include "storage/identity.hpp"

namespace pipitpond::storage {

inline constexpr const char* kIdentityFile = "identity";
/// A new segment is started when the current one is larger than this.
inline constexpr std::size_t kSegmentBytes = std::size_t{4} * 1024 * 1024;

class RaftStorage {
 public:
  /// Initializes a disk for a replica that starts from `state`: raft::bootstrap(...) for a voter of a new
  /// cluster, an empty state for a replica that joins one. The identity is written last, so that a disk whose
  /// creation was interrupted counts as empty. Fails with kAlreadyExists if the disk has an identity.
  static core::Result<void> create(Disk& disk, const Identity& identity, const raft::PersistedState& state);

  /// Opens an initialized disk and truncates a last frame that a crash has torn. What it has read is durable,
  /// also where the process that wrote it ended before its sync.
  /// Fails with kNotFound (no identity) or kCorrupt. `disk` must outlive the storage.
  static core::Result<RaftStorage> open(Disk& disk, std::size_t segment_bytes = kSegmentBytes);

  /// Moves out the state that was on the disk when it was opened; call at most once.
  raft::PersistedState take_state() { return std::move(loaded_state_); }

  /// Does step 1 of raft::Ready; durable on return. Fails with kNoCapacity when the disk is full: the Ready
  /// is not durable, and the same one may be passed again. After any other error the process must stop.
  core::Result<void> persist(const raft::Ready& ready);

  /// Bytes of log frames and snapshots written since the storage was opened.
  [[nodiscard]] std::uint64_t bytes_written() const { return bytes_written_; }

 private:
  struct Segment {
    std::uint64_t number = 0;
    raft::Index last_index = 0;  ///< Greatest entry index in the segment.
    std::size_t bytes = 0;
  };

  RaftStorage(Disk& disk, std::size_t segment_bytes) : disk_(&disk), segment_bytes_(segment_bytes) {}

  core::Result<void> load_snapshot(const std::vector<std::string>& names);
  core::Result<void> load_segments(const std::vector<std::string>& names);
  core::Result<void> load_segment(std::uint64_t number, bool last);
  core::Result<void> make_last_frame_durable(const std::string& segment, const ScannedFrames& frames);
  core::Result<void> reconcile_log_with_snapshot();
  core::Result<void> save_snapshot(const raft::Snapshot& snapshot);
  core::Result<void> begin_segment();
  /// Keeps writing to the current segment if the disk has no room for a new one.
  core::Result<void> begin_segment_if_space();
  core::Result<void> write_segment_header();
  core::Result<void> append_frame(const std::string& payload);
  core::Result<void> truncate_partial_frame();
  core::Result<void> remove_obsolete_files();

  Disk* disk_;
  std::size_t segment_bytes_;
  std::vector<Segment> segments_;  ///< Oldest first; the last one is appended to.
  raft::HardState hard_state_;
  raft::Index snapshot_index_ = 0;
  std::uint64_t bytes_written_ = 0;
  raft::PersistedState loaded_state_;
};

}  // namespace pipitpond::storage
