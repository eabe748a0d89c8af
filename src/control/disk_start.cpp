#include "control/disk_start.hpp"

#include <algorithm>

#include "configuration/state_machine.hpp"
#include "control/random_number.hpp"
#include "raft/types.hpp"

namespace pipitpond::control {
namespace {

using boost::asio::awaitable;

constexpr core::Duration kPeerQueryTimeout = std::chrono::milliseconds(300);

/// Returns true if a peer reports a configuration, which means that the cluster was bootstrapped before.
awaitable<bool> cluster_exists(ControlOptions options, PeerChannels& peers) {
  for (const Peer& peer : options.peers) {
    if (peer.name == options.name) {
      continue;
    }
    const auto revision = co_await peers.revision_of(peer.internal, kPeerQueryTimeout);
    if (revision && revision.value() > 0) {
      co_return true;
    }
  }
  co_return false;
}

/// Initial state of a new cluster; identical on all its voters.
raft::PersistedState initial_state(const ControlOptions& options) {
  raft::Membership membership;
  for (const Peer& peer : options.peers) {
    membership.members.push_back(raft::Member{
        core::ControlId(peer.name), peer.internal, peer.operators, raft::MemberRole::kVoter, {}});
  }
  std::sort(membership.members.begin(), membership.members.end());
  return raft::bootstrap(std::move(membership), configuration::StateMachine().snapshot());
}

awaitable<core::Result<void>> initialize(ControlOptions options, PeerChannels& peers, storage::Disk& disk) {
  const bool named = std::any_of(options.peers.begin(), options.peers.end(),
                                 [&](const Peer& peer) { return peer.name == options.name; });
  const bool bootstraps = options.bootstrap && named && !(co_await cluster_exists(options, peers));
  if (bootstraps) {
    const storage::Identity identity{options.cluster, core::ControlId(options.name)};
    co_return storage::RaftStorage::create(disk, identity, initial_state(options));
  }
  const auto identity = storage::joining_identity(options.cluster, options.name, random_number());
  co_return storage::RaftStorage::create(disk, identity, raft::PersistedState{});
}

}  // namespace

awaitable<core::Result<OpenedDisk>> open_disk(ControlOptions options, PeerChannels& peers) {
  auto disk = storage::FileDisk::open(options.data_folder);
  if (!disk) {
    co_return disk.error();
  }
  OpenedDisk started;
  started.disk = std::move(disk.value());
  auto identity = storage::read_identity(*started.disk);
  if (!identity) {
    co_return identity.error();
  }
  if (!identity.value()) {
    const auto initialized = co_await initialize(options, peers, *started.disk);
    if (!initialized) {
      co_return initialized.error();
    }
    identity = storage::read_identity(*started.disk);
    if (!identity) {
      co_return identity.error();
    }
  }
  started.identity = identity.value().value();
  if (started.identity.cluster != options.cluster) {
    co_return core::fail(core::ErrorKind::kInvalidArgument,
                         "The data folder belongs to cluster " + started.identity.cluster + ".",
                         "Correct cluster.name or data.folder.");
  }
  auto storage = storage::RaftStorage::open(*started.disk);
  if (!storage) {
    co_return storage.error();
  }
  started.storage = std::make_unique<storage::RaftStorage>(std::move(storage.value()));
  co_return started;
}

}  // namespace pipitpond::control
