// Loss of power on a machine whose process ran with the library of tests/soak/preload.
#pragma once

#include <cstdint>
#include <filesystem>
#include <optional>

namespace pipitpond::platform {

/// What becomes of bytes that were written and not synced.
struct UnsyncedFate {
  /// Draws for each file whether they are lost, torn, replaced by zeros or there. Empty: all are lost.
  std::optional<std::uint64_t> seed;
};

/// Where the library keeps what was synced of a data folder.
std::filesystem::path synced_folder(const std::filesystem::path& data);

/// Whether a data folder has bytes that a loss of power may take.
bool has_unsynced(const std::filesystem::path& data);

/// Takes from a data folder what was not synced. File names are those of the last sync that covered them. The
/// process that writes there must have ended. What was never synced is lost whole.
void lose_unsynced(const std::filesystem::path& data, const UnsyncedFate& fate);

}  // namespace pipitpond::platform
