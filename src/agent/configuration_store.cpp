#include "agent/configuration_store.hpp"

#include <string>
#include <utility>
#include <vector>

#include "storage/durable_file.hpp"
#include "storage/frame.hpp"
#include "wire/codec.hpp"

namespace pipitpond::agent {
namespace {

const std::string kWholeFile = "configuration";
const std::string kChangesFile = "configuration.changes";

/// Bytes of a file; none when there is no such file.
core::Result<std::string> read_or_nothing(storage::Disk& disk, const std::string& name) {
  auto bytes = disk.read(name);
  if (!bytes && bytes.error().kind == core::ErrorKind::kNotFound) {
    return std::string();
  }
  return bytes;
}

core::Result<protocol::Configuration> read_whole(storage::Disk& disk) {
  const auto bytes = storage::read_durable_file(disk, kWholeFile);
  if (!bytes && bytes.error().kind == core::ErrorKind::kNotFound) {
    return protocol::Configuration{};
  }
  if (!bytes) {
    return bytes.error();
  }
  return wire::unpack<protocol::Configuration>(bytes.value());
}

/// Applies the changes of one frame. Those that the whole configuration holds already are passed over.
core::Result<void> apply_frame(protocol::Configuration& configuration, const std::string& payload) {
  BOOST_OUTCOME_TRY(changes, wire::unpack<std::vector<protocol::Change>>(payload));
  for (const protocol::Change& change : changes) {
    if (change.revision > configuration.revision + 1) {
      return core::outcome::failure(storage::corrupt(kChangesFile, "a missing revision"));
    }
    protocol::apply(configuration, change);
  }
  return core::outcome::success();
}

}  // namespace

core::Result<protocol::Configuration> ConfigurationStore::load() {
  BOOST_OUTCOME_TRY(configuration, read_whole(disk_));
  BOOST_OUTCOME_TRY(bytes, read_or_nothing(disk_, kChangesFile));
  // A torn frame at the end was never applied: its store did not return.
  BOOST_OUTCOME_TRY(frames, storage::scan_frames(bytes, kChangesFile));
  for (const std::string& payload : frames.payloads) {
    BOOST_OUTCOME_TRYV(apply_frame(configuration, payload));
  }
  if (!bytes.empty()) {
    BOOST_OUTCOME_TRYV(write_whole(configuration));
  }
  whole_next_ = false;
  return std::move(configuration);
}

core::Result<void> ConfigurationStore::store(const protocol::Configuration& before,
                                             const protocol::FetchReply& fetched) {
  if (!fetched.snapshot && !whole_next_ && changes_bytes_ < kMaxChangesBytes) {
    return append(fetched.changes);
  }
  protocol::Configuration next = fetched.snapshot ? *fetched.snapshot : before;
  for (const protocol::Change& change : fetched.changes) {
    protocol::apply(next, change);
  }
  return write_whole(next);
}

core::Result<void> ConfigurationStore::append(const std::vector<protocol::Change>& changes) {
  const std::string frame = storage::encode_frame(wire::pack(changes));
  // Until all is durable: what a failure leaves at the file's end must not be followed by another frame.
  whole_next_ = true;
  BOOST_OUTCOME_TRYV(disk_.append(kChangesFile, frame));
  BOOST_OUTCOME_TRYV(disk_.sync(kChangesFile));
  if (changes_bytes_ == 0) {
    BOOST_OUTCOME_TRYV(disk_.sync_directory());
  }
  changes_bytes_ += frame.size();
  whole_next_ = false;
  return core::outcome::success();
}

core::Result<void> ConfigurationStore::write_whole(const protocol::Configuration& configuration) {
  whole_next_ = true;
  BOOST_OUTCOME_TRYV(storage::write_durable_file(disk_, kWholeFile, wire::pack(configuration)));
  // Only now: until here the changes on disk lead to what was stored last.
  BOOST_OUTCOME_TRYV(disk_.remove(kChangesFile));
  BOOST_OUTCOME_TRYV(disk_.sync_directory());
  changes_bytes_ = 0;
  whole_next_ = false;
  return core::outcome::success();
}

}  // namespace pipitpond::agent
