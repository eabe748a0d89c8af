#include "journal.hpp"

#include <nlohmann/json.hpp>
#include <string>

#include "storage/frame.hpp"

namespace pipitpond::database_program {
namespace {

using nlohmann::json;

constexpr const char* kFileName = "journal";

/// Each record is the pair of its type's number in the variant and its fields.
json to_json_record(const standin::DiskRecord& record) {
  return std::visit(
      [&record](const auto& typed) {
        return json::array({record.index(), json(typed)});
      },
      record);
}

standin::DiskRecord from_json_record(const json& record) {
  const auto& fields = record.at(1);
  switch (record.at(0).get<std::size_t>()) {
    case 0:
      return fields.get<standin::PromiseRecord>();
    case 1:
      return fields.get<database::LogEntry>();
    case 2:
      return fields.get<standin::TruncateRecord>();
    default:
      return fields.get<standin::CommitRecord>();
  }
}

core::Result<void> replay_frame(standin::DurableState& state, const std::string& payload) {
  try {
    for (const auto& record : json::from_msgpack(payload)) {
      if (!standin::replay(state, from_json_record(record))) {
        return core::outcome::failure(storage::corrupt(kFileName, "a record does not follow the one before"));
      }
    }
    return core::outcome::success();
  } catch (const json::exception& error) {
    return core::outcome::failure(storage::corrupt(kFileName, error.what()));
  }
}

}  // namespace

core::Result<Journal::Opened> Journal::open(const std::filesystem::path& folder) {
  BOOST_OUTCOME_TRY(disk, storage::FileDisk::open(folder.string()));
  standin::DurableState state;
  auto bytes = disk->read(kFileName);
  if (!bytes && bytes.error().kind != core::ErrorKind::kNotFound) {
    return bytes.as_failure();
  }
  if (bytes) {
    BOOST_OUTCOME_TRY(frames, storage::scan_frames(bytes.value(), kFileName));
    for (const auto& payload : frames.payloads) {
      BOOST_OUTCOME_TRY(replay_frame(state, payload));
    }
    if (frames.torn_tail) {
      BOOST_OUTCOME_TRY(disk->truncate(kFileName, frames.intact_bytes));
    }
  }
  return Opened{std::unique_ptr<Journal>(new Journal(std::move(disk))), std::move(state)};
}

core::Result<void> Journal::append(const std::vector<standin::DiskRecord>& records, bool sync) {
  auto frame = json::array();
  for (const auto& record : records) {
    frame.push_back(to_json_record(record));
  }
  const auto packed = json::to_msgpack(frame);
  const std::string payload(packed.begin(), packed.end());
  BOOST_OUTCOME_TRY(disk_->append(kFileName, storage::encode_frame(payload)));
  if (sync) {
    BOOST_OUTCOME_TRY(disk_->sync(kFileName));
  }
  return core::outcome::success();
}

}  // namespace pipitpond::database_program
