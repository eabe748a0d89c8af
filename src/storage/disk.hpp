// The narrow view of a file system that durable state is built on: one flat data folder.
//
// What was not synced may be lost in a crash: bytes of a file until sync(name), and the creation, renaming or
// removal of a file until sync_directory(). After a failure other than kNotFound and kNoCapacity the state on
// disk is unknown: the process must stop and start again from what the disk holds. kNoCapacity says that the
// disk is full: an append may have written a part of its bytes, any other call has changed nothing. A sync
// never fails with it.
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

  /// Names of all files, in order.
  virtual core::Result<std::vector<std::string>> list() = 0;
  /// All bytes of a file; kNotFound if there is none.
  virtual core::Result<std::string> read(const std::string& name) = 0;
  /// Appends to a file, which is created if need be.
  virtual core::Result<void> append(const std::string& name, std::string_view bytes) = 0;
  virtual core::Result<void> truncate(const std::string& name, std::uint64_t size) = 0;
  /// Makes a file's bytes durable.
  virtual core::Result<void> sync(const std::string& name) = 0;
  /// Gives a file another name, replacing the file of that name.
  virtual core::Result<void> rename(const std::string& from, const std::string& to) = 0;
  /// Removes a file; one that does not exist is no error.
  virtual core::Result<void> remove(const std::string& name) = 0;
  /// Makes creations, renamings and removals durable.
  virtual core::Result<void> sync_directory() = 0;
};

}  // namespace pipitpond::storage
