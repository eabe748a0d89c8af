#include "storage/durable_file.hpp"

#include "storage/frame.hpp"

namespace pipitpond::storage {

core::Result<void> write_durable_file(Disk& disk, const std::string& name, std::string_view payload) {
  const auto temporary = name + ".tmp";
  BOOST_OUTCOME_TRYV(disk.remove(temporary));
  auto written = disk.append(temporary, encode_frame(payload));
  if (!written) {
    // A partial temporary file would take up space on the full disk.
    BOOST_OUTCOME_TRYV(disk.remove(temporary));
    return written;
  }
  // The bytes must be durable before the rename makes them visible under `name`.
  BOOST_OUTCOME_TRYV(disk.sync(temporary));
  BOOST_OUTCOME_TRYV(disk.rename(temporary, name));
  return disk.sync_directory();
}

core::Result<std::string> read_durable_file(Disk& disk, const std::string& name) {
  BOOST_OUTCOME_TRY(bytes, disk.read(name));
  BOOST_OUTCOME_TRY(frames, scan_frames(bytes, name));
  if (frames.torn_tail || frames.payloads.size() != 1) {
    return core::outcome::failure(corrupt(name, "a checksum mismatch"));
  }
  return std::move(frames.payloads.front());
}

}  // namespace pipitpond::storage
