#include "storage/raft_storage.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <string_view>
#include <utility>

#include "storage/durable_file.hpp"
#include "storage/frame.hpp"
#include "wire/codec.hpp"

namespace pipitpond::storage {

using core::ErrorKind;

namespace {

constexpr std::string_view kSegmentPrefix = "log-";
constexpr std::string_view kSnapshotPrefix = "snapshot-";
constexpr int kHexBase = 16;

/// Payload of one frame of the log.
struct LogRecord {
  std::optional<raft::HardState> hard_state;
  bool reset = false;  ///< Entries of earlier frames are void.
  std::vector<raft::Entry> entries;

  MSGPACK_DEFINE(hard_state, reset, entries);
};

std::string segment_name(std::uint64_t number) {
  return fmt::format("{}{:016x}", kSegmentPrefix, number);
}
std::string snapshot_name(raft::Index index) {
  return fmt::format("{}{:016x}", kSnapshotPrefix, index);
}

/// Sorted hexadecimal numbers of the files whose names are `prefix` and a number.
std::vector<std::uint64_t> parse_file_numbers(const std::vector<std::string>& names,
                                              std::string_view prefix) {
  std::vector<std::uint64_t> numbers;
  for (const auto& name : names) {
    if (name.compare(0, prefix.size(), prefix) != 0) continue;
    const char* end = name.data() + name.size();
    std::uint64_t number = 0;
    const auto [stop, error] = std::from_chars(name.data() + prefix.size(), end, number, kHexBase);
    if (error == std::errc() && stop == end) numbers.push_back(number);
  }
  std::sort(numbers.begin(), numbers.end());
  return numbers;
}

void replay(const LogRecord& record, std::vector<raft::Entry>& entries) {
  if (record.reset) entries.clear();
  for (const auto& entry : record.entries) {
    while (!entries.empty() && entries.back().index >= entry.index) entries.pop_back();
    entries.push_back(entry);
  }
}

bool is_contiguous(const std::vector<raft::Entry>& entries) {
  const auto gap = std::adjacent_find(entries.begin(), entries.end(),
                                      [](const auto& a, const auto& b) { return b.index != a.index + 1; });
  return gap == entries.end();
}

}  // namespace

core::Result<void> RaftStorage::create(Disk& disk, const Identity& identity,
                                       const raft::PersistedState& state) {
  BOOST_OUTCOME_TRY(existing, read_identity(disk));
  if (existing) {
    return core::fail(ErrorKind::kAlreadyExists, "The data folder belongs to " + existing->id.value() + ".",
                      "Start without initializing the data folder, or use an empty folder.");
  }
  // Without an identity, other files are left over from a creation that a crash interrupted.
  BOOST_OUTCOME_TRY(names, disk.list());
  for (const auto& name : names) {
    BOOST_OUTCOME_TRYV(disk.remove(name));
  }
  BOOST_OUTCOME_TRYV(disk.sync_directory());
  RaftStorage storage(disk, kSegmentBytes);
  storage.hard_state_ = state.hard_state;
  if (state.snapshot.index > 0) {
    BOOST_OUTCOME_TRYV(storage.save_snapshot(state.snapshot));
  }
  BOOST_OUTCOME_TRYV(storage.begin_segment());
  return write_durable_file(disk, kIdentityFile, wire::pack(identity));
}

core::Result<RaftStorage> RaftStorage::open(Disk& disk, std::size_t segment_bytes) {
  BOOST_OUTCOME_TRY(identity, read_identity(disk));
  if (!identity) {
    return core::fail(
        ErrorKind::kNotFound, "The data folder has no identity.",
        "Initialize the data folder for a new cluster, or let the replica join an existing cluster.");
  }
  RaftStorage storage(disk, segment_bytes);
  BOOST_OUTCOME_TRY(names, disk.list());
  BOOST_OUTCOME_TRYV(storage.load_snapshot(names));
  BOOST_OUTCOME_TRYV(storage.load_segments(names));
  // An earlier life may have been killed after it renamed the identity or a snapshot, before it synced the
  // folder.
  BOOST_OUTCOME_TRYV(disk.sync_directory());
  BOOST_OUTCOME_TRYV(storage.reconcile_log_with_snapshot());
  if (storage.segments_.back().bytes == 0) {
    BOOST_OUTCOME_TRYV(storage.write_segment_header());
  }
  BOOST_OUTCOME_TRYV(storage.remove_obsolete_files());
  return storage;
}

core::Result<void> RaftStorage::load_snapshot(const std::vector<std::string>& names) {
  const auto indexes = parse_file_numbers(names, kSnapshotPrefix);
  if (indexes.empty()) return core::outcome::success();
  const auto name = snapshot_name(indexes.back());
  BOOST_OUTCOME_TRY(bytes, read_durable_file(*disk_, name));
  auto snapshot = wire::unpack<raft::Snapshot>(bytes);
  if (snapshot.has_failure()) return core::outcome::failure(corrupt(name, "an unreadable record"));
  loaded_state_.snapshot = std::move(snapshot.value());
  snapshot_index_ = loaded_state_.snapshot.index;
  return core::outcome::success();
}

core::Result<void> RaftStorage::load_segments(const std::vector<std::string>& names) {
  const auto numbers = parse_file_numbers(names, kSegmentPrefix);
  if (numbers.empty()) return core::outcome::failure(corrupt("log", "no segments"));
  if (numbers.back() - numbers.front() + 1 != numbers.size()) {
    return core::outcome::failure(corrupt("log", "a missing segment"));
  }
  for (const auto number : numbers) {
    BOOST_OUTCOME_TRYV(load_segment(number, number == numbers.back()));
  }
  return core::outcome::success();
}

core::Result<void> RaftStorage::load_segment(std::uint64_t number, bool last) {
  const auto name = segment_name(number);
  BOOST_OUTCOME_TRY(bytes, disk_->read(name));
  BOOST_OUTCOME_TRY(frames, scan_frames(bytes, name));
  if (frames.torn_tail && !last)
    return core::outcome::failure(
        corrupt(name, "a damaged record at its end, although it is not the last segment"));
  if (frames.torn_tail) {
    // Nothing was acknowledged for a frame whose sync did not finish.
    BOOST_OUTCOME_TRYV(disk_->truncate(name, frames.intact_bytes));
  }
  if (last) {
    BOOST_OUTCOME_TRYV(make_last_frame_durable(name, frames));
  }
  Segment segment{number, 0, frames.intact_bytes};
  for (const auto& payload : frames.payloads) {
    const auto record = wire::unpack<LogRecord>(payload);
    if (record.has_failure()) return core::outcome::failure(corrupt(name, "an unreadable record"));
    if (record.value().hard_state) hard_state_ = *record.value().hard_state;
    replay(record.value(), loaded_state_.entries);
    for (const auto& entry : record.value().entries) {
      segment.last_index = std::max(segment.last_index, entry.index);
    }
  }
  segments_.push_back(segment);
  return core::outcome::success();
}

/// The last frame counts as durable from now on, but an earlier life may have been killed before it synced
/// the frame, or have ended because that sync failed, after which a sync alone would pass over it. All frames
/// before it were synced before it was written.
core::Result<void> RaftStorage::make_last_frame_durable(const std::string& segment,
                                                        const ScannedFrames& frames) {
  if (!frames.payloads.empty()) {
    const auto frame = encode_frame(frames.payloads.back());
    BOOST_OUTCOME_TRYV(disk_->rewrite(segment, frames.intact_bytes - frame.size(), frame));
  }
  return disk_->sync(segment);
}

core::Result<void> RaftStorage::reconcile_log_with_snapshot() {
  auto& entries = loaded_state_.entries;
  if (!is_contiguous(entries) || (!entries.empty() && entries.front().index > snapshot_index_ + 1)) {
    return core::outcome::failure(corrupt("log", "missing entries"));
  }
  const auto last_term = entries.empty() ? 0 : entries.back().term;
  const auto min_term = std::max(loaded_state_.snapshot.term, last_term);
  if (hard_state_.term < min_term) {
    // A crash hit between the snapshot and the frame of one Ready. Nothing was acknowledged in the new term.
    hard_state_ = raft::HardState{min_term, {}, hard_state_.commit};
  }
  loaded_state_.hard_state = hard_state_;
  if (entries.empty() || snapshot_index_ == 0) return core::outcome::success();
  const bool contains_snapshot =
      entries.front().index == snapshot_index_ + 1 ||
      (entries.back().index >= snapshot_index_ &&
       entries[snapshot_index_ - entries.front().index].term == loaded_state_.snapshot.term);
  if (contains_snapshot) return core::outcome::success();
  // The snapshot came from a leader and replaces a log that does not contain its last entry. The reset record
  // is written before new entries, so that they are not replayed as a continuation of the old ones.
  entries.clear();
  return append_frame(wire::pack(LogRecord{hard_state_, true, {}}));
}

core::Result<void> RaftStorage::persist(const raft::Ready& ready) {
  if (ready.hard_state) hard_state_ = *ready.hard_state;
  if (ready.snapshot) {
    BOOST_OUTCOME_TRYV(save_snapshot(*ready.snapshot));
  }
  if (ready.hard_state || ready.reset_log || !ready.entries.empty()) {
    auto& segment = segments_.back();
    for (const auto& entry : ready.entries) segment.last_index = std::max(segment.last_index, entry.index);
    BOOST_OUTCOME_TRYV(append_frame(wire::pack(LogRecord{ready.hard_state, ready.reset_log, ready.entries})));
  }
  if (ready.snapshot || segments_.back().bytes > segment_bytes_) {
    BOOST_OUTCOME_TRYV(begin_segment_if_space());
  }
  if (ready.snapshot) return remove_obsolete_files();
  return core::outcome::success();
}

core::Result<void> RaftStorage::save_snapshot(const raft::Snapshot& snapshot) {
  const std::string packed = wire::pack(snapshot);
  BOOST_OUTCOME_TRYV(write_durable_file(*disk_, snapshot_name(snapshot.index), packed));
  snapshot_index_ = snapshot.index;
  bytes_written_ += packed.size();
  return core::outcome::success();
}

core::Result<void> RaftStorage::begin_segment() {
  const auto number = segments_.empty() ? 1 : segments_.back().number + 1;
  segments_.push_back(Segment{number, 0, 0});
  return write_segment_header();
}

core::Result<void> RaftStorage::begin_segment_if_space() {
  auto begun = begin_segment();
  if (begun || begun.error().kind != ErrorKind::kNoCapacity) return begun;
  BOOST_OUTCOME_TRYV(disk_->remove(segment_name(segments_.back().number)));
  // The removal must be durable: a leftover file would have the number of the next segment.
  BOOST_OUTCOME_TRYV(disk_->sync_directory());
  segments_.pop_back();
  return core::outcome::success();
}

core::Result<void> RaftStorage::write_segment_header() {
  // Each segment starts with the hard state, so that older segments can be removed.
  BOOST_OUTCOME_TRYV(append_frame(wire::pack(LogRecord{hard_state_, false, {}})));
  return disk_->sync_directory();
}

core::Result<void> RaftStorage::append_frame(const std::string& payload) {
  auto& segment = segments_.back();
  const auto name = segment_name(segment.number);
  const auto frame = encode_frame(payload);
  auto written = disk_->append(name, frame);
  if (!written) {
    if (written.error().kind == ErrorKind::kNoCapacity) {
      BOOST_OUTCOME_TRYV(truncate_partial_frame());
    }
    return written;
  }
  segment.bytes += frame.size();
  bytes_written_ += frame.size();
  return disk_->sync(name);
}

/// A partial frame followed by another frame would count as corruption. The truncation needs no sync: until
/// the next frame is synced, a crash can leave only a torn tail after the last synced frame.
core::Result<void> RaftStorage::truncate_partial_frame() {
  const auto& segment = segments_.back();
  return disk_->truncate(segment_name(segment.number), segment.bytes);
}

core::Result<void> RaftStorage::remove_obsolete_files() {
  // Oldest first: an older segment may hold entries that a later segment replaces.
  while (segments_.size() > 1 && segments_.front().last_index <= snapshot_index_) {
    BOOST_OUTCOME_TRYV(disk_->remove(segment_name(segments_.front().number)));
    // Each removal is durable before the next one, so that a crash never leaves a gap in the segment numbers.
    BOOST_OUTCOME_TRYV(disk_->sync_directory());
    segments_.erase(segments_.begin());
  }
  BOOST_OUTCOME_TRY(names, disk_->list());
  for (const auto index : parse_file_numbers(names, kSnapshotPrefix)) {
    if (index < snapshot_index_) {
      BOOST_OUTCOME_TRYV(disk_->remove(snapshot_name(index)));
    }
  }
  return core::outcome::success();
}

}  // namespace pipitpond::storage
