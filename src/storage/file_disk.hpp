// Disk on a folder of the operating system's file system.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "storage/disk.hpp"

namespace pipitpond::storage {

/// Owns a file descriptor and closes it on destruction.
class FileHandle {
 public:
  FileHandle() = default;
  explicit FileHandle(int descriptor) : descriptor_(descriptor) {}
  FileHandle(FileHandle&& other) noexcept;
  FileHandle& operator=(FileHandle&& other) noexcept;
  FileHandle(const FileHandle&) = delete;
  FileHandle& operator=(const FileHandle&) = delete;
  ~FileHandle();

  [[nodiscard]] int get() const { return descriptor_; }
  [[nodiscard]] bool valid() const { return descriptor_ >= 0; }

 private:
  int descriptor_ = -1;
};

class FileDisk : public Disk {
 public:
  /// Opens a folder, created if it does not exist, and locks it for this process. Fails with kAlreadyExists
  /// if another process holds the lock, else with the kind of the file system error.
  static core::Result<std::unique_ptr<FileDisk>> open(const std::string& folder);

  core::Result<std::vector<std::string>> list() override;
  core::Result<std::string> read(const std::string& name) override;
  core::Result<void> append(const std::string& name, std::string_view bytes) override;
  core::Result<void> rewrite(const std::string& name, std::uint64_t offset, std::string_view bytes) override;
  core::Result<void> truncate(const std::string& name, std::uint64_t size) override;
  core::Result<void> sync(const std::string& name) override;
  core::Result<void> rename(const std::string& from, const std::string& to) override;
  core::Result<void> remove(const std::string& name) override;
  core::Result<void> sync_directory() override;

 private:
  explicit FileDisk(std::string folder) : folder_(std::move(folder)) {}

  [[nodiscard]] std::string path(const std::string& name) const { return folder_ + "/" + name; }
  core::Result<int> open_for_append(const std::string& name);

  std::string folder_;
  FileHandle directory_;
  FileHandle lock_;
  std::map<std::string, FileHandle> append_handles_;  ///< Files that are open for appending, by name.
};

}  // namespace pipitpond::storage
