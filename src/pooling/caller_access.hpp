// Access control for callers: checks API keys and enforces tenants' quotas by the configuration in force.
// Keys are checked locally; quota comes from the tenant's homes, the daemons that count its operations.
// Not thread-safe.
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

/// Limits that operators configure.
struct AccessOptions {
  tenancy::AccessLimits keys;
  tenancy::QuotaLimits quotas;
};

/// Statements and sessions that were refused since the start, by reason.
struct AccessCounters {
  std::uint64_t unknown_key = 0;
  std::uint64_t keys_not_certain = 0;
  std::uint64_t over_quota = 0;
  std::uint64_t quota_not_told = 0;  ///< None of the tenant's homes could answer.
};

/// Access control for the callers of one daemon.
class CallerAccess {
 public:
  CallerAccess(boost::asio::io_context& io, agent::Agent& agent, core::DaemonId self, core::ZoneName zone,
               AccessOptions options);

  /// Takes over a newer configuration.
  void apply(core::Instant now, const protocol::Configuration& configuration);
  /// Stops granting operations as a home, because this daemon leaves the cluster.
  void stop() { home_.stop(); }

  /// Checks a key against the table in force. Must be repeated right before a statement is sent.
  [[nodiscard]] tenancy::Access judge(const protocol::Route& route, const protocol::KeyDigest& key,
                                      core::Instant now) const;
  /// True if the key table is recent enough to decide on keys, or if no keys are required. While false, even
  /// callers with a valid key are refused.
  [[nodiscard]] bool keys_are_certain(core::Instant now) const;
  /// Takes one operation from a tenant's quota. Tenants without a quota get kGranted at once.
  boost::asio::awaitable<QuotaAnswer> take_operation(QuotaScope scope);

  /// Returns a granted operation that definitely did not run.
  void give_back(const QuotaReceipt& receipt);

  /// Answers a daemon that asks this one as a home of a tenant.
  [[nodiscard]] QuotaReply answer(core::Instant now, const QuotaRequest& request);

  /// Time since the configuration was last known to be complete.
  [[nodiscard]] core::Duration proof_age(core::Instant now) const { return now - agent_.complete_until(); }
  void count(tenancy::Verdict verdict);
  void count(const QuotaAnswer& answer);
  [[nodiscard]] const AccessCounters& counters() const { return counters_; }
  [[nodiscard]] const tenancy::QuotaHome& home() const { return home_; }
  [[nodiscard]] const QuotaCounters& quota_counters() const { return quota_client_.counters(); }

 private:
  agent::Agent& agent_;
  core::DaemonId self_;
  AccessOptions options_;
  tenancy::TenantDirectory directory_;
  tenancy::QuotaHomes homes_;
  tenancy::QuotaHome home_;
  QuotaClient quota_client_;
  TakeFromLocalHome take_from_local_home_;
  std::uint64_t table_version_ = 0;
  bool incarnation_listed_ = false;  ///< The configuration lists this incarnation of the daemon.
  AccessCounters counters_;
};

}  // namespace pipitpond::pooling
