// RaftStorage after crashes, torn writes, corruption and a full disk.
#include "storage/raft_storage.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <limits>

#include "simulation/simulated_disk.hpp"
#include "storage/durable_file.hpp"
#include "storage/frame.hpp"

namespace pipitpond::storage {
namespace {

using simulation::SimulatedDisk;

constexpr std::uint64_t kSeed = 20261202;
constexpr std::size_t kSmallSegmentBytes = 300;
const Identity kIdentity{"cluster", core::ControlId("control-1")};

raft::Entry entry(raft::Index index, raft::Term term) {
  return raft::Entry{index, term, raft::EntryKind::kCommand, "command " + std::to_string(index), {}};
}

raft::PersistedState first_state() {
  raft::Membership membership;
  membership.members.push_back(raft::Member{kIdentity.id, {}, {}, raft::MemberRole::kVoter, {}});
  return raft::bootstrap(std::move(membership), "state");
}

raft::Ready append(raft::Index from, raft::Index to, raft::Term term) {
  raft::Ready ready;
  ready.hard_state = raft::HardState{term, kIdentity.id, 0};
  for (auto index = from; index <= to; ++index) ready.entries.push_back(entry(index, term));
  return ready;
}

raft::Ready compaction(raft::Index index, raft::Term term) {
  raft::Ready ready;
  ready.snapshot = raft::Snapshot{index, term, {}, "state " + std::to_string(index)};
  return ready;
}

raft::Ready installation(raft::Index index, raft::Term term) {
  auto ready = compaction(index, term);
  ready.hard_state = raft::HardState{term, {}, 0};
  ready.restore = true;
  ready.reset_log = true;
  return ready;
}

core::Result<raft::PersistedState> load(Disk& disk) {
  BOOST_OUTCOME_TRY(storage, RaftStorage::open(disk, kSmallSegmentBytes));
  return storage.take_state();
}

/// A disk with a limited number of free bytes.
class LimitedDisk : public Disk {
 public:
  explicit LimitedDisk(Disk& disk) : disk_(disk) {}

  core::Result<std::vector<std::string>> list() override { return disk_.list(); }
  core::Result<std::string> read(const std::string& name) override { return disk_.read(name); }
  core::Result<void> append(const std::string& name, std::string_view bytes) override {
    const auto accepted = std::min(free_bytes, bytes.size());
    BOOST_OUTCOME_TRYV(disk_.append(name, bytes.substr(0, accepted)));
    free_bytes -= accepted;
    if (accepted == bytes.size()) return core::outcome::success();
    return core::fail(core::ErrorKind::kNoCapacity, "The disk is full.", "Free some space.");
  }
  core::Result<void> rewrite(const std::string& name, std::uint64_t offset, std::string_view bytes) override {
    return disk_.rewrite(name, offset, bytes);
  }
  core::Result<void> truncate(const std::string& name, std::uint64_t size) override {
    return disk_.truncate(name, size);
  }
  core::Result<void> sync(const std::string& name) override { return disk_.sync(name); }
  core::Result<void> rename(const std::string& from, const std::string& to) override {
    return disk_.rename(from, to);
  }
  core::Result<void> remove(const std::string& name) override { return disk_.remove(name); }
  core::Result<void> sync_directory() override { return disk_.sync_directory(); }

  std::size_t free_bytes = std::numeric_limits<std::size_t>::max();

 private:
  Disk& disk_;
};

/// Name of the last log segment.
std::string last_segment(Disk& disk) {
  std::string last;
  const auto names = disk.list().value();
  for (const auto& name : names) {
    if (name.rfind("log-", 0) == 0) last = name;
  }
  return last;
}

/// Persists entries and a snapshot with every amount of free space up to 700 bytes. When the disk is full,
/// either crashes or frees space and persists the same Ready again.
class FullDiskTest : public ::testing::TestWithParam<bool> {};

TEST_P(FullDiskTest, LosesNothingAndAcceptsTheSameReadyOnceThereIsSpace) {
  const bool crashes = GetParam();
  constexpr std::size_t kMaxFreeBytes = 700;
  for (std::size_t free_bytes = 0; free_bytes < kMaxFreeBytes; ++free_bytes) {
    SimulatedDisk disk(kSeed + free_bytes);
    LimitedDisk limited(disk);
    ASSERT_TRUE(RaftStorage::create(limited, kIdentity, first_state()).has_value());
    auto storage = RaftStorage::open(limited, kSmallSegmentBytes);
    ASSERT_TRUE(storage.value().persist(append(2, 3, 1)).has_value());
    limited.free_bytes = free_bytes;
    raft::Index last = 3;
    std::vector<raft::Ready> steps{append(4, 5, 1), append(6, 7, 1), compaction(4, 1), append(8, 8, 2)};
    for (const auto& step : steps) {
      auto done = storage.value().persist(step);
      if (!done) {
        ASSERT_EQ(done.error().kind, core::ErrorKind::kNoCapacity) << free_bytes;
        if (crashes) break;
        ASSERT_FALSE(storage.value().persist(step).has_value()) << "the disk is still full";
        limited.free_bytes = std::numeric_limits<std::size_t>::max();
        done = storage.value().persist(step);
      }
      ASSERT_TRUE(done.has_value()) << free_bytes << ": " << core::describe(done.error());
      if (!step.entries.empty()) last = step.entries.back().index;
    }
    disk.crash();
    const auto state = load(disk);
    ASSERT_TRUE(state.has_value()) << free_bytes << ": " << core::describe(state.error());
    ASSERT_FALSE(state.value().entries.empty()) << free_bytes;
    EXPECT_EQ(state.value().entries.back().index, last) << free_bytes;
  }
}

INSTANTIATE_TEST_SUITE_P(WithAndWithoutACrash, FullDiskTest, ::testing::Bool());

TEST(RaftStorage, KeepsWhatWasPersisted) {
  SimulatedDisk disk(kSeed);
  ASSERT_TRUE(RaftStorage::create(disk, kIdentity, first_state()).has_value());
  auto storage = RaftStorage::open(disk);
  ASSERT_TRUE(storage.has_value());
  ASSERT_TRUE(storage.value().persist(append(2, 5, 1)).has_value());
  ASSERT_TRUE(storage.value().persist(append(4, 6, 3)).has_value());
  disk.crash();
  const auto state = load(disk);
  ASSERT_TRUE(state.has_value());
  EXPECT_EQ(state.value().hard_state.term, 3U);
  EXPECT_EQ(state.value().hard_state.voted_for, kIdentity.id);
  EXPECT_EQ(state.value().entries,
            (std::vector{entry(2, 1), entry(3, 1), entry(4, 3), entry(5, 3), entry(6, 3)}));
  EXPECT_EQ(state.value().snapshot.membership.members.size(), 1U);
}

TEST(RaftStorage, TornLastFrameAtEveryByteIsTruncated) {
  SimulatedDisk disk(kSeed);
  ASSERT_TRUE(RaftStorage::create(disk, kIdentity, first_state()).has_value());
  auto storage = RaftStorage::open(disk);
  ASSERT_TRUE(storage.value().persist(append(2, 3, 1)).has_value());
  const auto name = last_segment(disk);
  const auto synced = disk.read(name).value();
  ASSERT_TRUE(storage.value().persist(append(4, 5, 2)).has_value());
  const auto complete = disk.read(name).value();
  ASSERT_GT(complete.size(), synced.size());
  for (auto length = synced.size(); length < complete.size(); ++length) {
    for (const bool zero_filled : {false, true}) {
      auto torn = complete.substr(0, length);
      if (zero_filled) torn.resize(complete.size(), '\0');
      disk.overwrite(name, torn);
      auto reopened = RaftStorage::open(disk);
      ASSERT_TRUE(reopened.has_value()) << length;
      ASSERT_EQ(reopened.value().take_state().entries.size(), 2U) << length;
      // Entries that are written next must be readable.
      ASSERT_TRUE(reopened.value().persist(append(4, 4, 3)).has_value());
      ASSERT_EQ(load(disk).value().entries.back(), entry(4, 3)) << length;
    }
  }
}

TEST(RaftStorage, CorruptionBeforeAnIntactFrameIsDetected) {
  SimulatedDisk disk(kSeed);
  ASSERT_TRUE(RaftStorage::create(disk, kIdentity, first_state()).has_value());
  auto storage = RaftStorage::open(disk);
  ASSERT_TRUE(storage.value().persist(append(2, 3, 1)).has_value());
  const auto name = last_segment(disk);
  const auto middle = disk.read(name).value().size();
  ASSERT_TRUE(storage.value().persist(append(4, 5, 1)).has_value());
  const auto complete = disk.read(name).value();
  for (std::size_t position = 0; position < middle; ++position) {
    auto damaged = complete;
    damaged[position] = static_cast<char>(damaged[position] ^ 0x20);
    disk.overwrite(name, damaged);
    const auto state = load(disk);
    ASSERT_TRUE(state.has_failure()) << position;
    ASSERT_EQ(state.error().kind, core::ErrorKind::kCorrupt) << position;
    ASSERT_FALSE(state.error().remedy.empty());
  }
}

TEST(RaftStorage, CorruptSnapshotAndMissingSegmentAreDetected) {
  SimulatedDisk disk(kSeed);
  ASSERT_TRUE(RaftStorage::create(disk, kIdentity, first_state()).has_value());
  auto storage = RaftStorage::open(disk, kSmallSegmentBytes);
  for (raft::Index index = 2; index < 20; index += 2) {
    ASSERT_TRUE(storage.value().persist(append(index, index + 1, 1)).has_value());
  }
  const auto names = disk.list().value();
  ASSERT_GT(std::count_if(names.begin(), names.end(), [](const auto& name) { return name[0] == 'l'; }), 2);
  for (const auto& name : names) {
    if (name == "identity" || name == last_segment(disk)) continue;
    const auto bytes = disk.read(name).value();
    auto damaged = bytes;
    damaged.back() = static_cast<char>(damaged.back() ^ 1);
    disk.overwrite(name, damaged);
    const auto state = load(disk);
    ASSERT_TRUE(state.has_failure()) << name;
    EXPECT_EQ(state.error().kind, core::ErrorKind::kCorrupt) << name;
    disk.overwrite(name, bytes);
  }
  ASSERT_TRUE(disk.remove("log-0000000000000002").has_value());
  EXPECT_EQ(load(disk).error().kind, core::ErrorKind::kCorrupt);
}

TEST(RaftStorage, InterruptedCreationCountsAsEmpty) {
  for (std::uint64_t calls = 0;; ++calls) {
    SimulatedDisk disk(kSeed + calls);
    disk.fail_after(calls);
    const bool done = RaftStorage::create(disk, kIdentity, first_state()).has_value();
    disk.crash();
    const auto identity = read_identity(disk);
    ASSERT_TRUE(identity.has_value());
    if (identity.value()) {
      ASSERT_TRUE(load(disk).has_value()) << calls;
    } else {
      ASSERT_FALSE(done);
      ASSERT_TRUE(RaftStorage::create(disk, kIdentity, first_state()).has_value()) << calls;
    }
    if (done) break;
  }
}

/// A sequence of Readys that one replica persists.
std::vector<raft::Ready> script() {
  return {append(2, 4, 1),     append(5, 9, 1),     append(7, 8, 2),   compaction(5, 1),  append(9, 12, 2),
          installation(20, 4), append(21, 24, 4),   append(23, 23, 5), compaction(22, 4), append(24, 30, 6),
          compaction(30, 6),   installation(40, 7), append(41, 41, 7)};
}

/// Expected state after the first `count` Readys, computed by a model without files.
raft::PersistedState expected_state(std::size_t count) {
  auto state = first_state();
  const auto steps = script();
  for (std::size_t step = 0; step < count; ++step) {
    const auto& ready = steps[step];
    if (ready.hard_state) state.hard_state = *ready.hard_state;
    if (ready.snapshot) state.snapshot = *ready.snapshot;
    if (ready.reset_log) state.entries.clear();
    for (const auto& added : ready.entries) {
      std::erase_if(state.entries, [&](const auto& old) { return old.index >= added.index; });
      state.entries.push_back(added);
    }
  }
  std::erase_if(state.entries, [&](const auto& old) { return old.index <= state.snapshot.index; });
  return state;
}

std::vector<raft::Entry> entries_after_snapshot(const raft::PersistedState& state) {
  auto entries = state.entries;
  std::erase_if(entries, [&](const auto& old) { return old.index <= state.snapshot.index; });
  return entries;
}

bool is_same_state(const raft::PersistedState& found, const raft::PersistedState& expected) {
  return found.hard_state == expected.hard_state && found.snapshot == expected.snapshot &&
         entries_after_snapshot(found) == entries_after_snapshot(expected);
}

/// Persists the script until the disk fails; returns how many steps were reported as durable.
std::size_t run_until_failure(SimulatedDisk& disk) {
  const auto steps = script();
  auto storage = RaftStorage::open(disk, kSmallSegmentBytes);
  if (storage.has_failure()) return 0;
  for (std::size_t step = 0; step < steps.size(); ++step) {
    if (storage.value().persist(steps[step]).has_failure()) return step;
  }
  return steps.size();
}

/// Entries that are written after a recovery survive the next crash.
void expect_continues(SimulatedDisk& disk) {
  auto storage = RaftStorage::open(disk, kSmallSegmentBytes);
  ASSERT_TRUE(storage.has_value());
  const auto state = storage.value().take_state();
  const auto last = state.entries.empty() ? state.snapshot.index : state.entries.back().index;
  const auto next = append(last + 1, last + 1, 9);
  ASSERT_TRUE(storage.value().persist(next).has_value());
  disk.crash();
  const auto again = load(disk);
  ASSERT_TRUE(again.has_value()) << core::describe(again.error());
  ASSERT_FALSE(again.value().entries.empty());
  ASSERT_EQ(again.value().entries.back(), next.entries.back());
  ASSERT_EQ(again.value().hard_state, *next.hard_state);
}

TEST(RaftStorage, CrashBetweenAnyTwoStepsLosesNothingAcknowledged) {
  constexpr std::uint64_t kSeedsPerPoint = 50;
  for (std::uint64_t calls = 0;; ++calls) {
    bool finished = false;
    for (std::uint64_t seed = 0; seed < kSeedsPerPoint; ++seed) {
      SimulatedDisk disk(calls * kSeedsPerPoint + seed);
      ASSERT_TRUE(RaftStorage::create(disk, kIdentity, first_state()).has_value());
      disk.fail_after(calls);
      const auto acknowledged = run_until_failure(disk);
      finished = acknowledged == script().size();
      disk.crash();
      // Crash a second time during the recovery, then recover completely.
      disk.fail_after(seed);
      (void)load(disk);
      disk.crash();
      const auto state = load(disk);
      ASSERT_TRUE(state.has_value()) << calls << " " << core::describe(state.error());
      const auto& found = state.value();
      const bool before = is_same_state(found, expected_state(acknowledged));
      const bool after = !finished && is_same_state(found, expected_state(acknowledged + 1));
      // When a snapshot is installed, it may be durable without its frame: nothing was acknowledged yet.
      const bool partial = !finished && script()[acknowledged].restore &&
                           found.snapshot == *script()[acknowledged].snapshot &&
                           found.hard_state.term >= expected_state(acknowledged).hard_state.term;
      ASSERT_TRUE(before || after || partial) << calls << " " << seed << " " << acknowledged;
      expect_continues(disk);
    }
    if (finished) break;
  }
}

// A replica answers for what it has read at its start, so that a loss of power must not take it away.
TEST(RaftStorage, ALossOfPowerTakesNothingThatWasReadAfterAKill) {
  constexpr std::uint64_t kSeedsPerPoint = 50;
  for (std::uint64_t calls = 0;; ++calls) {
    bool finished = false;
    for (std::uint64_t seed = 0; seed < kSeedsPerPoint; ++seed) {
      SimulatedDisk disk(calls * kSeedsPerPoint + seed);
      ASSERT_TRUE(RaftStorage::create(disk, kIdentity, first_state()).has_value());
      disk.fail_after(calls);
      finished = run_until_failure(disk) == script().size();
      disk.end_process();
      const auto read = load(disk);
      ASSERT_TRUE(read.has_value()) << calls << " " << core::describe(read.error());
      disk.crash();
      const auto again = load(disk);
      ASSERT_TRUE(again.has_value()) << calls << " " << core::describe(again.error());
      ASSERT_TRUE(is_same_state(again.value(), read.value())) << calls << " " << seed;
    }
    if (finished) break;
  }
}

// The process that follows a failed sync reads bytes from memory that no sync will write any more.
TEST(RaftStorage, ALossOfPowerTakesNothingThatWasReadAfterAFailedSync) {
  for (std::uint64_t calls = 0;; ++calls) {
    SimulatedDisk disk(calls);
    disk.drop_bytes_of_failed_syncs();
    ASSERT_TRUE(RaftStorage::create(disk, kIdentity, first_state()).has_value());
    disk.fail_after(calls);
    const bool finished = run_until_failure(disk) == script().size();
    disk.end_process();
    const auto read = load(disk);
    ASSERT_TRUE(read.has_value()) << calls << " " << core::describe(read.error());
    disk.crash();
    const auto again = load(disk);
    ASSERT_TRUE(again.has_value()) << calls << " " << core::describe(again.error());
    ASSERT_TRUE(is_same_state(again.value(), read.value())) << calls;
    expect_continues(disk);
    if (finished) break;
  }
}

TEST(RaftStorage, AFailedSyncLeavesNoHoleBehindWhichLaterEntriesAreWritten) {
  for (std::uint64_t calls = 0;; ++calls) {
    SimulatedDisk disk(calls);
    disk.drop_bytes_of_failed_syncs();
    ASSERT_TRUE(RaftStorage::create(disk, kIdentity, first_state()).has_value());
    disk.fail_after(calls);
    const bool finished = run_until_failure(disk) == script().size();
    disk.end_process();
    expect_continues(disk);
    if (finished) break;
  }
}

TEST(RaftStorage, ALossOfPowerTakesNoIdentityThatWasReadAfterAKill) {
  constexpr std::uint64_t kSeedsPerPoint = 20;
  for (std::uint64_t calls = 0;; ++calls) {
    bool done = false;
    for (std::uint64_t seed = 0; seed < kSeedsPerPoint; ++seed) {
      SimulatedDisk disk(calls * kSeedsPerPoint + seed);
      disk.fail_after(calls);
      done = RaftStorage::create(disk, kIdentity, first_state()).has_value();
      disk.end_process();
      const auto identity = read_identity(disk);
      ASSERT_TRUE(identity.has_value());
      if (!identity.value()) continue;
      ASSERT_TRUE(load(disk).has_value()) << calls;
      disk.crash();
      const auto again = read_identity(disk);
      ASSERT_TRUE(again.has_value() && again.value()) << calls << " " << seed;
      ASSERT_EQ(again.value()->id, identity.value()->id) << calls << " " << seed;
    }
    if (done) break;
  }
}

TEST(DurableFile, IsOldOrNewAfterACrash) {
  for (std::uint64_t calls = 0; calls < 6; ++calls) {
    for (std::uint64_t seed = 0; seed < 20; ++seed) {
      SimulatedDisk disk(seed);
      ASSERT_TRUE(write_durable_file(disk, "name", "old").has_value());
      disk.fail_after(calls);
      const bool done = write_durable_file(disk, "name", "new").has_value();
      disk.crash();
      const auto bytes = read_durable_file(disk, "name");
      ASSERT_TRUE(bytes.has_value());
      ASSERT_TRUE(bytes.value() == "new" || (!done && bytes.value() == "old"));
    }
  }
}

}  // namespace
}  // namespace pipitpond::storage
