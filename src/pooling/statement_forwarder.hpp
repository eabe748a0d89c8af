// Has statements run by other daemons that own connections to a database, where this one owns none or can't
// reach it. Judges owners by their answers, and asks for a sign of life when one is overdue. Single-threaded.
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

/// An owner that owes an answer and has said nothing for this long is asked for a sign of life. It may be
/// waiting for its database, but it answers a probe at once.
inline constexpr core::Duration kOwnerSilenceBeforeProbe = std::chrono::milliseconds(200);

/// Another daemon, as one that may run statements for this one.
struct OwnerLink {
  core::DaemonId daemon;
  core::Endpoint endpoint;
  core::ZoneName zone;
  std::uint64_t incarnation = 0;
  std::unique_ptr<wire::Channel> channel;
  BackendHealth health{kOwnerSilenceBeforeProbe};
  std::uint32_t outstanding = 0;  ///< Statements that it has.
  /// Orders owners that are alike, differently for each daemon that asks.
  std::uint64_t preference = 0;
  core::Instant avoided_until{};  ///< It said that it takes no new work.
  /// Databases that it could not reach itself, and until when it is not asked for them again.
  std::map<core::DatabaseId, core::Instant> unreached;
};

/// Which statements are passed on, and what came of it.
struct ForwardCounters {
  std::uint64_t sent = 0;
  std::uint64_t not_run = 0;             ///< Owners that said so, or could not be reached.
  std::uint64_t lost = 0;                ///< Without an answer.
  std::uint64_t positions_asked = 0;     ///< Times that an owner was asked for a primary's position.
  std::uint64_t positions_received = 0;  ///< Of these, those that brought one.
  std::uint64_t probes = 0;
};

/// Passes statements on.
class StatementForwarder {
 public:
  StatementForwarder(boost::asio::io_context& io, core::DaemonId self, core::ZoneName zone);

  /// Follows the daemons that the configuration names.
  void apply(const protocol::Configuration& configuration);
  /// Call every kBackendsTick: probes owners in doubt, and gives up what a silent one has.
  void tick(core::Instant now);
  /// No further statements are passed on.
  void close() { links_.clear(); }

  /// True when one of the owners can be asked.
  [[nodiscard]] bool reaches(const std::vector<core::DaemonId>& owners, const core::DatabaseId& database,
                             core::Instant now) const;
  /// True when a tenant's statements are better run by another owner, although this daemon owns connections
  /// too.
  [[nodiscard]] bool prefers_other_owner(const std::vector<core::DaemonId>& owners, const BackendPool& pool,
                                         const core::TenantName& tenant, core::Instant now) const;
  /// A lease on a connection of one of the owners. Nothing is sent before its first statement.
  std::unique_ptr<StatementLease> lease(const std::shared_ptr<BackendPool>& pool,
                                        std::vector<core::DaemonId> owners, const ConnectionRequest& request);

  /// A database's status by way of one of its owners. Fails with kConnectionRefused when none can be reached,
  /// else as the owner's own question.
  boost::asio::awaitable<core::Result<BackendStatus>> status(std::shared_ptr<BackendPool> pool,
                                                             std::vector<core::DaemonId> owners,
                                                             core::Duration timeout);

  /// Positions of a group that an owner of its primary knows. Fails when none can be reached, or as the call.
  boost::asio::awaitable<core::Result<PositionReply>> positions(std::shared_ptr<BackendPool> primary,
                                                                std::vector<core::DaemonId> owners,
                                                                PositionRequest request,
                                                                core::Duration timeout);

  /// Has the best of the owners that were not tried show who a group's primary is, and adds it to `tried`.
  /// Fails with kConnectionRefused and tries none when none can be reached, else as the owner or the way to
  /// it.
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
  /// The best of the owners that were not tried; see rank. Null: none is left.
  [[nodiscard]] LinkPointer choose(const std::vector<core::DaemonId>& owners,
                                   const std::vector<core::DaemonId>& tried, const BackendPool& pool,
                                   const core::TenantName& tenant, core::Instant now) const;
  boost::asio::awaitable<void> probe(LinkPointer link);
  void renew_channel(OwnerLink& link);

  boost::asio::io_context& io_;
  core::DaemonId self_;
  core::ZoneName zone_;
  std::map<core::DaemonId, LinkPointer> links_;
  ForwardCounters counters_;
};

/// Longest wait for a connection at an owner while others may have one free, and at the last that is tried.
inline constexpr core::Duration kFirstOwnersMaxWait = std::chrono::milliseconds(30);
inline constexpr core::Duration kLastOwnerMaxWait = std::chrono::milliseconds(120);
/// Owners that one statement is offered to.
inline constexpr int kMaxOwnersTried = 3;
/// Longest time from a statement's passing on until it runs, if it does.
inline constexpr core::Duration kMaxForwardWait =
    kFirstOwnersMaxWait * (kMaxOwnersTried - 1) + kLastOwnerMaxWait;

}  // namespace pipitpond::pooling
