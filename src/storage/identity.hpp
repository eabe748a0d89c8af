// Identity of a control replica, stored on its disk. A replica that lost its disk no longer knows which votes
// it has cast, so it must rejoin with a new identity.
#pragma once

#include <msgpack.hpp>
#include <optional>
#include <string>

#include "core/error.hpp"
#include "core/ids.hpp"
#include "storage/disk.hpp"

namespace pipitpond::storage {

struct Identity {
  std::string cluster;
  core::ControlId id;

  MSGPACK_DEFINE(cluster, id);
};

/// The identity stored on the disk; empty if the disk is not initialized.
core::Result<std::optional<Identity>> read_identity(Disk& disk);

/// Identity for a replica that joins an existing cluster: its configured name with a random suffix, so that
/// it is never mistaken for a replica that has already voted.
Identity joining_identity(std::string cluster, const std::string& name, std::uint64_t random);

}  // namespace pipitpond::storage
