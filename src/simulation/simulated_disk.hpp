// A Disk in memory that loses in a crash what was not synced, in the ways that real disks do.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "simulation/random.hpp"
#include "storage/disk.hpp"

namespace pipitpond::simulation {

class SimulatedDisk : public storage::Disk {
 public:
  explicit SimulatedDisk(std::uint64_t seed) : random_(seed) {}

  core::Result<std::vector<std::string>> list() override;
  core::Result<std::string> read(const std::string& name) override;
  core::Result<void> append(const std::string& name, std::string_view bytes) override;
  core::Result<void> rewrite(const std::string& name, std::uint64_t offset, std::string_view bytes) override;
  core::Result<void> truncate(const std::string& name, std::uint64_t size) override;
  core::Result<void> sync(const std::string& name) override;
  core::Result<void> rename(const std::string& from, const std::string& to) override;
  core::Result<void> remove(const std::string& name) override;
  core::Result<void> sync_directory() override;

  /// The machine loses power: of what was not synced, a random part survives, possibly torn. The disk works
  /// again afterwards.
  void crash();
  /// The process is killed: all that it wrote is there, synced or not. The disk works again afterwards.
  void end_process() { calls_left_.reset(); }
  /// The disk is replaced by an empty one.
  void wipe();
  /// After this many further changing calls, all calls fail until crash().
  void fail_after(std::uint64_t calls) { calls_left_ = calls; }
  /// Syncs do nothing from now on: for the simulator's switch.
  void lose_syncs() { loses_syncs_ = true; }
  /// From now on a sync that fails leaves the bytes that it should have made durable in memory only, as if
  /// they were synced: later syncs pass over them, and a loss of power takes them.
  void drop_bytes_of_failed_syncs() { drops_bytes_of_failed_syncs_ = true; }
  /// Changes bytes behind the owner's back, durably.
  void overwrite(const std::string& name, std::string bytes);

 private:
  struct File {
    std::string durable;
    std::string content;
    /// For each byte of `content`: whether a failed sync has dropped it, so that no later sync writes it.
    /// Empty if there is none.
    std::vector<bool> dropped;
  };
  using Directory = std::map<std::string, std::shared_ptr<File>>;
  /// A change of one name that is not synced yet: the file it now stands for, or none.
  struct NameChange {
    std::string name;
    std::shared_ptr<File> file;
  };

  core::Result<void> count_call();
  void change_name(const std::string& name, std::shared_ptr<File> file);
  void lose_unsynced_bytes(File& file);
  static void drop_unsynced_bytes(File& file);
  /// Makes the bytes of a file durable, but for those that were dropped.
  static void write_unsynced_bytes(File& file);

  Random random_;
  Directory directory_;
  Directory durable_directory_;
  std::vector<std::vector<NameChange>> pending_;  ///< Each element takes effect as a whole.
  std::optional<std::uint64_t> calls_left_;
  bool loses_syncs_ = false;
  bool drops_bytes_of_failed_syncs_ = false;
};

}  // namespace pipitpond::simulation
