// Files that are replaced atomically: after a crash a file has its old or its new bytes, never a mix.
#pragma once

#include <string>
#include <string_view>

#include "core/error.hpp"
#include "storage/disk.hpp"

namespace pipitpond::storage {

/// Replaces a file: writes a temporary one, syncs it, renames it, syncs the directory. Durable on return.
/// Fails with kNoCapacity when the disk is full: the file is unchanged, and the call may be repeated.
core::Result<void> write_durable_file(Disk& disk, const std::string& name, std::string_view payload);
/// Reads a file written by write_durable_file. Fails with kNotFound, or with kCorrupt on a checksum mismatch.
core::Result<std::string> read_durable_file(Disk& disk, const std::string& name);

}  // namespace pipitpond::storage
