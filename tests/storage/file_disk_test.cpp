// FileDisk on a temporary folder of the real file system.
#include "storage/file_disk.hpp"

#include <gtest/gtest.h>
#include <unistd.h>

#include <filesystem>

#include "storage/raft_storage.hpp"

namespace pipitpond::storage {
namespace {

class FileDiskTest : public ::testing::Test {
 protected:
  void SetUp() override {
    std::string pattern = (std::filesystem::temp_directory_path() / "pipitpond-storage-XXXXXX").string();
    ASSERT_NE(::mkdtemp(pattern.data()), nullptr);
    folder_ = pattern;
  }
  void TearDown() override { std::filesystem::remove_all(folder_); }

  std::string folder_;
};

TEST_F(FileDiskTest, KeepsRaftStateAcrossReopening) {
  const Identity identity{"cluster", core::ControlId("control-1")};
  raft::Ready ready;
  ready.entries.push_back(raft::Entry{2, 1, raft::EntryKind::kCommand, "command", {}});
  {
    auto disk = FileDisk::open(folder_ + "/a/b");
    ASSERT_TRUE(disk.has_value()) << core::describe(disk.error());
    const auto created = RaftStorage::create(*disk.value(), identity, raft::bootstrap({}, "state"));
    ASSERT_TRUE(created.has_value());
    auto storage = RaftStorage::open(*disk.value());
    ASSERT_TRUE(storage.value().persist(ready).has_value());
  }
  auto disk = FileDisk::open(folder_ + "/a/b");
  ASSERT_TRUE(disk.has_value());
  EXPECT_EQ(read_identity(*disk.value()).value()->id, identity.id);
  auto storage = RaftStorage::open(*disk.value());
  ASSERT_TRUE(storage.has_value());
  EXPECT_EQ(storage.value().take_state().entries, ready.entries);
}

TEST_F(FileDiskTest, FullDiskFailsWithNoCapacity) {
  auto disk = std::move(FileDisk::open(folder_).value());
  std::filesystem::create_symlink("/dev/full", folder_ + "/log");
  const auto written = disk->append("log", "12345");
  ASSERT_TRUE(written.has_failure());
  EXPECT_EQ(written.error().kind, core::ErrorKind::kNoCapacity);
}

TEST_F(FileDiskTest, FolderIsLockedForOneProcess) {
  auto first = FileDisk::open(folder_);
  ASSERT_TRUE(first.has_value());
  const auto second = FileDisk::open(folder_);
  ASSERT_TRUE(second.has_failure());
  EXPECT_EQ(second.error().kind, core::ErrorKind::kAlreadyExists);
}

TEST_F(FileDiskTest, RewritesInPlaceBytesOfAFileThatIsAppendedTo) {
  auto disk = std::move(FileDisk::open(folder_).value());
  ASSERT_TRUE(disk->append("a", "12345").has_value());
  ASSERT_TRUE(disk->rewrite("a", 1, "xy").has_value());
  ASSERT_TRUE(disk->append("a", "6").has_value());
  EXPECT_EQ(disk->read("a").value(), "1xy456");
}

TEST_F(FileDiskTest, TruncatesRenamesAndRemoves) {
  auto disk = std::move(FileDisk::open(folder_).value());
  ASSERT_TRUE(disk->append("a", "12345").has_value());
  ASSERT_TRUE(disk->truncate("a", 2).has_value());
  ASSERT_TRUE(disk->append("a", "x").has_value());
  ASSERT_TRUE(disk->sync("a").has_value());
  ASSERT_TRUE(disk->rename("a", "b").has_value());
  EXPECT_EQ(disk->read("b").value(), "12x");
  EXPECT_EQ(disk->list().value(), std::vector<std::string>{"b"});
  ASSERT_TRUE(disk->remove("b").has_value());
  EXPECT_EQ(disk->read("b").error().kind, core::ErrorKind::kNotFound);
}

}  // namespace
}  // namespace pipitpond::storage
