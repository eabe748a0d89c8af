// Who may ask what of this daemon: callers' keys and their tenants' quotas, by the configuration in force.
// Judges keys itself and asks the tenants' homes for the right to run an operation. Single-threaded.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdint>

#include "agent/agent.hpp"
#include "core/clock.hpp"
#include "core/ids.hpp"
#include "pooling/quota_client.hpp"
#include "tenancy/access.hpp"
#include "tenancy/quota_home.hpp"
#include "tenancy/quota_homes.hpp"
#include "tenancy/tenant_directory.hpp"

namespace pipitpond::pooling {

/// What operators set.
struct AccessOptions {
  tenancy::AccessLimits keys;
  tenancy::QuotaLimits quotas;
};

/// Statements and sessions that were not let in since the start.
struct AccessCounters {
  std::uint64_t unknown_key = 0;
  std::uint64_t keys_not_certain = 0;
  std::uint64_t over_quota = 0;
  std::uint64_t quota_not_told = 0;  ///< No home could be asked.
};

/// Access of one daemon's callers.
class CallerAccess {
 public:
  CallerAccess(boost::asio::io_context& io, agent::Agent& agent, core::DaemonId self, core::ZoneName zone,
               AccessOptions options);

  /// A newer configuration is in force.
  void apply(core::Instant now, const protocol::Configuration& configuration);
  /// This daemon leaves: no longer a home of tenants.
  void stop() { home_.stop(); }

  /// Judges a key by the table in force. Call it again right before a statement is sent.
  [[nodiscard]] tenancy::Access judge(const protocol::Route& route, const protocol::KeyDigest& key,
                                      core::Instant now) const;
  /// True while nothing but a key that nobody holds keeps callers away.
  [[nodiscard]] bool keys_are_certain(core::Instant now) const;
  /// Takes the right to run one operation of a tenant: kGranted at once for those without a quota.
  boost::asio::awaitable<QuotaAnswer> take_operation(QuotaScope asked);

  /// An operation that was taken surely did not run.
  void give_back(const QuotaReceipt& receipt);

  /// Answers another daemon that takes this one for a tenant's home.
  [[nodiscard]] QuotaReply answer(core::Instant now, const QuotaRequest& request);

  /// How long ago the configuration was last known to be complete.
  [[nodiscard]] core::Duration proof_age(core::Instant now) const { return now - agent_.complete_until(); }
  void count(tenancy::Verdict verdict);
  void count(const QuotaAnswer& answer);
  [[nodiscard]] const AccessCounters& counters() const { return counters_; }
  [[nodiscard]] const tenancy::QuotaHome& home() const { return home_; }
  [[nodiscard]] const QuotaCounters& quota_counters() const { return asker_.counters(); }

 private:
  agent::Agent& agent_;
  core::DaemonId self_;
  AccessOptions options_;
  tenancy::TenantDirectory directory_;
  tenancy::QuotaHomes homes_;
  tenancy::QuotaHome home_;
  QuotaClient asker_;
  TakeFromLocalHome take_own_;
  std::uint64_t table_version_ = 0;
  bool admitted_ = false;  ///< This life of the daemon, as last seen.
  AccessCounters counters_;
};

}  // namespace pipitpond::pooling
