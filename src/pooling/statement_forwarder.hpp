// Forwards statements to owners: other daemons that hold connections to a database. Used when this daemon
// holds none or cannot reach the database. Tracks the owners' health by their replies, and probes owners that
// are silent for too long. Not thread-safe.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <vector>

#include "core/clock.hpp"
#include "core/endpoint.hpp"
#include "core/ids.hpp"
#include "pooling/backend_health.hpp"
#include "pooling/backend_pool.hpp"
#include "pooling/forward_messages.hpp"
#include "pooling/shown_primary.hpp"
#include "pooling/statement_lease.hpp"
#include "protocol/configuration.hpp"
#include "wire/channel.hpp"

namespace pipitpond::pooling {

/// An owner that has a statement outstanding and has been silent for this long is probed. A live owner
/// answers a probe at once, even while it waits for its database.
inline constexpr core::Duration kOwnerSilenceBeforeProbe = std::chrono::milliseconds(200);

/// Another daemon to which statements may be forwarded.
struct OwnerLink {
  core::DaemonId daemon;
  core::Endpoint endpoint;
  core::ZoneName zone;
  std::uint64_t incarnation = 0;
  std::unique_ptr<wire::Channel> channel;
  BackendHealth health{kOwnerSilenceBeforeProbe};
  std::uint32_t outstanding = 0;  ///< Forwarded statements without a reply.
  /// Tie-breaker among equal owners, different at each forwarding daemon, which spreads the load.
  std::uint64_t preference = 0;
  core::Instant avoided_until{};  ///< Not asked until then, as it is stopping.
  /// Databases that the owner could not reach, and until when it is not asked for them.
  std::map<core::DatabaseId, core::Instant> unreachable_until;
};

/// Counts of forwarded statements and their results.
struct ForwardCounters {
  std::uint64_t sent = 0;
  std::uint64_t not_run = 0;             ///< Attempts that an owner refused, or that did not reach it.
  std::uint64_t lost = 0;                ///< Attempts without an answer; they may have run.
  std::uint64_t positions_asked = 0;     ///< Requests to owners for a primary's log position.
  std::uint64_t positions_received = 0;  ///< Of these, those that returned a position.
  std::uint64_t probes = 0;
};

class StatementForwarder {
 public:
  StatementForwarder(boost::asio::io_context& io, core::DaemonId self, core::ZoneName zone);

  /// Updates the links to the daemons that the configuration lists.
  void apply(const protocol::Configuration& configuration);
  /// Must be called every kBackendsTick. Probes silent owners, and gives up the statements outstanding at
  /// those that do not answer.
  void tick(core::Instant now);
  /// Stops forwarding.
  void close() { links_.clear(); }

  /// True if at least one of the owners can be asked.
  [[nodiscard]] bool reaches(const std::vector<core::DaemonId>& owners, const core::DatabaseId& database,
                             core::Instant now) const;
  /// True if another owner is the better choice for the tenant's statements, although this daemon holds
  /// connections too.
  [[nodiscard]] bool prefers_other_owner(const std::vector<core::DaemonId>& owners, const BackendPool& pool,
                                         const core::TenantName& tenant, core::Instant now) const;
  /// A lease on a connection of one of the owners, which is chosen when the first statement is run.
  std::unique_ptr<StatementLease> lease(const std::shared_ptr<BackendPool>& pool,
                                        std::vector<core::DaemonId> owners, const ConnectionRequest& request);

  /// Fetches a database's status through one of its owners. Fails with kConnectionRefused if no owner can be
  /// reached, else with the error of the owner's own status request or of the call.
  boost::asio::awaitable<core::Result<BackendStatus>> status(std::shared_ptr<BackendPool> pool,
                                                             std::vector<core::DaemonId> owners,
                                                             core::Duration timeout);

  /// Fetches log positions of a group from an owner of connections to its primary. Fails with
  /// kConnectionRefused if no owner can be reached, else with the error of the call.
  boost::asio::awaitable<core::Result<PositionReply>> positions(std::shared_ptr<BackendPool> primary,
                                                                std::vector<core::DaemonId> owners,
                                                                PositionRequest request,
                                                                core::Duration timeout);

  /// Asks the best owner that is not in `tried` to confirm a group's primary, and adds that owner to `tried`.
  /// Fails with kConnectionRefused, without a change to `tried`, if no owner can be reached; else with the
  /// error of the owner or of the call.
  boost::asio::awaitable<core::Result<ShownPrimaryReply>> shown_primary(std::shared_ptr<BackendPool> primary,
                                                                        std::vector<core::DaemonId> owners,
                                                                        std::vector<core::DaemonId>& tried,
                                                                        ShownPrimaryRequest request);

  [[nodiscard]] const ForwardCounters& counters() const { return counters_; }

 private:
  friend class ForwardedLease;
  using LinkPointer = std::shared_ptr<OwnerLink>;

  [[nodiscard]] static bool usable(const OwnerLink& link, const core::DatabaseId& database,
                                   core::Instant now);
  /// The best usable owner that is not in `tried`, by rank(). Null if there is none.
  [[nodiscard]] LinkPointer choose(const std::vector<core::DaemonId>& owners,
                                   const std::vector<core::DaemonId>& tried, const BackendPool& pool,
                                   const core::TenantName& tenant, core::Instant now) const;
  boost::asio::awaitable<void> probe(LinkPointer link);
  void replace_channel(OwnerLink& link);

  boost::asio::io_context& io_;
  core::DaemonId self_;
  core::ZoneName zone_;
  std::map<core::DaemonId, LinkPointer> links_;
  ForwardCounters counters_;
};

/// Longest wait for a connection at an owner while other owners remain to be tried, and at the last one.
inline constexpr core::Duration kFirstOwnersMaxWait = std::chrono::milliseconds(30);
inline constexpr core::Duration kLastOwnerMaxWait = std::chrono::milliseconds(120);
/// Limit on the owners tried for one statement.
inline constexpr int kMaxOwnersTried = 3;
/// Longest time from forwarding a statement until an owner begins to run it.
inline constexpr core::Duration kMaxForwardWait =
    kFirstOwnersMaxWait * (kMaxOwnersTried - 1) + kLastOwnerMaxWait;

}  // namespace pipitpond::pooling
