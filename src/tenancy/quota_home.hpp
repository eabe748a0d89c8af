// A daemon as the home of tenants: counts what may still run of each. No input or output.
//
// The promise: in every window, all daemons together let no more than
// (rate x window + burst) x (1 + excess) + slack operations of a tenant run, whatever is cut off, frozen or
// lost.
//
// - Each operation needs a token of one of the tenant's homes, asked for after the operation came. So those
//   that come and run within a window took their tokens within it.
// - With permitted = rate x window + burst and extra = permitted x excess + slack, the buckets of all homes
//   together fill with rate + burst / window and hold kHeldPart of extra. A bucket gives at most what it
//   holds plus what flows in: any window sees at most kHeldPart x extra + permitted.
// - A bucket begins empty, but for a part of the rest of extra: whoever was home before, here or elsewhere,
//   may have given all that it held. kBeginningsInWindow beginnings within a window add all of that rest.
// - Where kHeldPart of extra is less than one operation for each home, buckets are those that quotas
//   describe: they fill with rate and hold burst, at least 1.
// - An operation that surely did not run is given back by its token's number. The bucket then stands as if
//   the token had never been taken (see QuotaBucket), so that the bounds above hold for those that did run.
//   What comes later than kGiveBackTime, twice, or to another life of the home changes nothing.
// - A home gives nothing unless it has proved within kHomeProofAge that its configuration is complete. A
//   daemon that joins and so takes tenants over gives nothing for as long: whoever had them has learnt of it
//   by then, or has stopped. A silent daemon is removed later than that (after its lease and the databases'
//   rest limit), and one that leaves stops by itself before: those who take over from them need not wait.
//
// What it gains: a tenant that asks for more than its limit gets rate + burst / window instead of rate, and
// one that asks for less finds more in each of its homes when its quota is small: a rate of 5, a burst of 5
// and three homes hold 4.6 operations instead of 1.7 each. A tenant with a great burst that comes after a
// rest gets less of it at once, and the rest within the window.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <vector>

#include "core/clock.hpp"
#include "core/ids.hpp"
#include "protocol/tenant.hpp"
#include "tenancy/quota_bucket.hpp"
#include "tenancy/quota_homes.hpp"
#include "tenancy/quota_reserve.hpp"
#include "tenancy/quota_turns.hpp"
#include "tenancy/tenant_directory.hpp"

namespace pipitpond::tenancy {

/// By how much quotas may be exceeded for a while.
struct QuotaLimits {
  core::Duration window = std::chrono::seconds(5);
  double excess = 0.1;       ///< Part of what a window allows.
  std::uint32_t slack = 20;  ///< Operations in a window.
};

/// A home gives nothing when its configuration was not proved complete for this long. Long enough for control
/// to elect a leader after a loss of all its processes (2 to 3 s), less than the 4.8 s after which a silent
/// daemon is removed.
inline constexpr core::Duration kHomeProofAge = std::chrono::milliseconds(3000);
/// Times within one window that all homes of a tenant may begin anew with their part of what quotas may be
/// exceeded by. Each takes a start of processes or a change of daemons; that six in 5 s are more than a fleet
/// sees is a guess.
inline constexpr int kBeginningsInWindow = 6;

/// Part of what quotas may be exceeded by that buckets hold; the rest is for beginnings. The more they hold,
/// the less often a small tenant below its limit finds all of its homes empty; with less for beginnings a
/// small tenant waits longer for its first operation after a start of all processes. With a limit of 5 a
/// second, callers in three zones in unequal parts and four fifths of the limit asked, this refuses 0.08 %
/// and a half 0.21 %.
inline constexpr double kHeldPart = 0.6;

/// A home's bucket, and the tokens with which it begins.
struct HomePart {
  BucketLimits limits;
  double first_tokens = 0;
};

/// The part of one of `homes` equal homes; see the head of this file.
HomePart part_of_home(const protocol::TenantQuota& quota, const QuotaLimits& limits, std::size_t homes);

/// Most operations in one question.
inline constexpr std::uint32_t kMostOperationsAsked = 64;

/// A question of a daemon for operations of a tenant.
struct QuotaDemand {
  std::uint32_t operations = 1;  ///< As many as wait for the answer; kMostOperationsAsked at most count.
  std::uint32_t priority = 0;    ///< Of their route; 0 is most urgent.
};

/// A home's answer to a question for operations.
struct QuotaGrant {
  std::uint32_t granted = 0;  ///< Operations that may run.
  bool is_home = false;       ///< False: ask another daemon.
  core::Duration retry_in{};  ///< A home granted less than was asked for: when to ask again.
  TokenNumber first = 0;      ///< Granted: number of the first one; the others follow it.
};

/// The buckets of the tenants that this daemon is a home of.
class QuotaHome {
 public:
  QuotaHome(core::DaemonId self, QuotaLimits limits);

  /// The tenants or the live daemons have changed. `self`: the entry of this life of the daemon; null while
  /// there is none. That of an earlier life tells nothing: whoever was home then was this daemon itself.
  void apply(core::Instant now, const TenantDirectory& directory, const QuotaHomes& homes,
             const protocol::Daemon* self);
  /// This daemon leaves: others become the homes.
  void stop() { stopped_ = true; }
  /// `complete_until`: up to when this daemon's configuration is known to be complete.
  QuotaGrant take(core::Instant now, const core::TenantName& tenant, core::Instant complete_until,
                  QuotaDemand demand = {});

  /// An operation that this home granted surely did not run.
  void give_back(core::Instant now, const core::TenantName& tenant, TokenNumber number);

  /// Operations that came back in time, since the start.
  [[nodiscard]] std::uint64_t given_back() const { return given_back_; }
  /// Tokens left by tenant, for metrics.
  [[nodiscard]] const std::map<core::TenantName, QuotaBucket>& buckets() const { return buckets_; }

 private:
  /// What was asked of a bucket.
  struct Asked {
    QuotaReserve reserve;
    std::array<QuotaTurns, kQuotaPriorities> turns;  ///< By priority.
  };

  void note_own_entry(core::Instant now, const protocol::Daemon* self);

  core::DaemonId self_;
  QuotaLimits limits_;
  bool stopped_ = false;
  protocol::Revision live_since_ = 0;
  core::Instant rests_until_{};  ///< Whoever was home before this daemon joined may give until then.
  std::map<core::TenantName, QuotaBucket> buckets_;
  std::map<core::TenantName, Asked> asked_;  ///< Of tenants with a bucket.
  std::uint64_t given_back_ = 0;
};

}  // namespace pipitpond::tenancy
