#include "storage/identity.hpp"

#include <fmt/format.h>

#include "storage/durable_file.hpp"
#include "storage/frame.hpp"
#include "storage/raft_storage.hpp"
#include "wire/codec.hpp"

namespace pipitpond::storage {

core::Result<std::optional<Identity>> read_identity(Disk& disk) {
  auto bytes = read_durable_file(disk, kIdentityFile);
  if (bytes.has_failure()) {
    if (bytes.error().kind == core::ErrorKind::kNotFound) return std::optional<Identity>();
    return std::move(bytes).as_failure();
  }
  auto identity = wire::unpack<Identity>(bytes.value());
  if (identity.has_failure()) return core::outcome::failure(corrupt(kIdentityFile, "an unreadable record"));
  return std::optional<Identity>(std::move(identity.value()));
}

Identity joining_identity(std::string cluster, const std::string& name, std::uint64_t random) {
  return Identity{std::move(cluster), core::ControlId(fmt::format("{}#{:016x}", name, random))};
}

}  // namespace pipitpond::storage
