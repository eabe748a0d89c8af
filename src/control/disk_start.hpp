// Opens the data folder of a control replica: with the state on disk, the initial state of a new cluster, or
// an empty state if the replica is to join an existing cluster.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <memory>

#include "control/options.hpp"
#include "control/peer_channels.hpp"
#include "core/error.hpp"
#include "storage/file_disk.hpp"
#include "storage/raft_storage.hpp"

namespace pipitpond::control {

/// An opened data folder.
struct OpenedDisk {
  std::unique_ptr<storage::FileDisk> disk;
  std::unique_ptr<storage::RaftStorage> storage;
  storage::Identity identity;
};

/// Opens the data folder. An empty one bootstraps the cluster if the options allow it and no peer reports an
/// existing one. Otherwise it gets a new identity under which the replica asks to join, so that a machine
/// that has lost its disk never reuses an identity that has voted.
boost::asio::awaitable<core::Result<OpenedDisk>> open_disk(ControlOptions options, PeerChannels& peers);

}  // namespace pipitpond::control
