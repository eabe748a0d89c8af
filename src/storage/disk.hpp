// Minimal file system interface for durable state: one flat data folder without subfolders.
//
// Changes that are not synced may be lost in a crash: the bytes of a file until sync(name), and the creation,
// renaming or removal of a file until sync_directory(). After an error other than kNotFound and kNoCapacity
// the state on disk is unknown: the process must stop and restart from what the disk holds. kNoCapacity means
// that the disk is full: an append may have written a part of its bytes, any other call has changed nothing.
// A sync never fails with kNoCapacity.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "core/error.hpp"

namespace pipitpond::storage {

class Disk {
 public:
  Disk() = default;
  Disk(const Disk&) = delete;
  Disk& operator=(const Disk&) = delete;
  virtual ~Disk() = default;

  /// Names of all files, sorted.
  virtual core::Result<std::vector<std::string>> list() = 0;
  /// Reads a whole file; fails with kNotFound if it does not exist.
  virtual core::Result<std::string> read(const std::string& name) = 0;
  /// Appends to a file; creates it if it does not exist.
  virtual core::Result<void> append(const std::string& name, std::string_view bytes) = 0;
  /// Writes `bytes` over as many bytes that the file has from `offset` on.
  virtual core::Result<void> rewrite(const std::string& name, std::uint64_t offset,
                                     std::string_view bytes) = 0;
  virtual core::Result<void> truncate(const std::string& name, std::uint64_t size) = 0;
  /// Makes the bytes of a file durable. After a sync that failed, also one of an earlier process, bytes may
  /// be in memory only that later syncs pass over: only those that are written again are durable then.
  virtual core::Result<void> sync(const std::string& name) = 0;
  /// Renames a file; replaces an existing file named `to`.
  virtual core::Result<void> rename(const std::string& from, const std::string& to) = 0;
  /// Removes a file; succeeds if it does not exist.
  virtual core::Result<void> remove(const std::string& name) = 0;
  /// Makes the creation, renaming and removal of files durable.
  virtual core::Result<void> sync_directory() = 0;
};

}  // namespace pipitpond::storage
