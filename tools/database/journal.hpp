// The database's disk: one file of frames, each with the records of one flush.
#pragma once

#include <cstdint>
#include <filesystem>
#include <memory>
#include <vector>

#include "core/error.hpp"
#include "standin/types.hpp"
#include "storage/file_disk.hpp"

namespace pipitpond::database_program {

/// Appends disk records. One frame is synced before the next is written, so only the last can be torn.
class Journal {
 public:
  /// A journal and the state it held. A torn last frame is cut off.
  struct Opened {
    std::unique_ptr<Journal> journal;
    standin::DurableState state;
  };

  /// Opens or creates the journal of a folder. Fails with kCorrupt when it can't be trusted, kAlreadyExists
  /// when another process uses the folder.
  static core::Result<Opened> open(const std::filesystem::path& folder);

  /// Writes the records; with `sync` they are durable on return.
  core::Result<void> append(const std::vector<standin::DiskRecord>& records, bool sync);

 private:
  explicit Journal(std::unique_ptr<storage::FileDisk> disk) : disk_(std::move(disk)) {}

  std::unique_ptr<storage::FileDisk> disk_;
};

}  // namespace pipitpond::database_program
