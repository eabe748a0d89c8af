// Record framing of durable files: magic number, length and checksum before each payload.
//
// A writer syncs each frame before it writes the next one. So a crash can tear only the last frame of a file,
// and a damaged frame that is followed by an intact one is corruption.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "core/error.hpp"

namespace pipitpond::storage {

/// Returns the payload with its header.
std::string encode_frame(std::string_view payload);

/// Result of scan_frames.
struct ScannedFrames {
  std::vector<std::string> payloads;
  std::size_t intact_bytes = 0;  ///< Length of the prefix that holds the intact frames.
  bool torn_tail = false;        ///< The intact frames are followed by bytes that are not a frame.
};

/// Reads the frames of a file. Fails with kCorrupt if an intact frame follows a damaged one. `name` is the
/// file name for the error message.
core::Result<ScannedFrames> scan_frames(std::string_view bytes, const std::string& name);

/// A kCorrupt error for file `name`, with the remedy for a control replica. `what` completes "it has ...", as
/// in "a missing segment".
core::Error corrupt(const std::string& name, const std::string& what);

}  // namespace pipitpond::storage
