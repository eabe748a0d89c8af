// Operations that a home keeps back for a tenant's more urgent requests.
#include "tenancy/quota_reserve.hpp"

#include <gtest/gtest.h>

#include <cstdio>
#include <random>

#include "tenancy/quota_home.hpp"

namespace pipitpond::tenancy {
namespace {

using std::chrono::milliseconds;

constexpr std::uint32_t kUrgent = 0;
constexpr std::uint32_t kCheap = 2;

/// A home with one tenant.
class OneHome {
 public:
  explicit OneHome(protocol::TenantQuota quota) {
    protocol::Configuration configuration;
    protocol::Tenant tenant;
    tenant.name = tenant_;
    tenant.quota = quota;
    configuration.routes.version = 1;
    configuration.routes.tenants = protocol::Tenants{tenant};
    protocol::Daemon daemon;
    daemon.id = core::DaemonId("d");
    daemon.zone = core::ZoneName("z");
    daemon.revision = 2;
    daemon.live_since = 1;
    configuration.daemons[daemon.id] = daemon;
    TenantDirectory directory;
    directory.apply(configuration.routes);
    QuotaHomes homes(daemon.zone);
    homes.apply(configuration);
    home_.apply(core::Instant(std::chrono::hours(1)), directory, homes, &daemon);
  }
  bool take(core::Instant now, std::uint32_t priority) {
    return home_.take(now, tenant_, now, {1, priority}).granted > 0;
  }

 private:
  core::TenantName tenant_{"t"};
  QuotaHome home_{core::DaemonId("d"), QuotaLimits{}};
};

struct Share {
  int asked = 0;
  int granted = 0;

  [[nodiscard]] double part() const { return static_cast<double>(granted) / asked; }
};

struct Played {
  Share urgent;
  Share cheap;
};

Played play(protocol::TenantQuota quota, double urgent_per_s, double cheap_per_s, std::uint64_t seed) {
  constexpr std::chrono::seconds kDuration{20};
  constexpr milliseconds kStep{1};
  OneHome home(quota);
  std::mt19937_64 random(seed);
  const double step = std::chrono::duration<double>(kStep).count();
  std::poisson_distribution<int> urgent(urgent_per_s * step);
  std::poisson_distribution<int> cheap(cheap_per_s * step);
  Played played;
  const core::Instant start = core::Instant(std::chrono::hours(1)) + std::chrono::seconds(10);
  for (core::Instant now = start; now < start + kDuration; now += kStep) {
    for (int count = cheap(random); count > 0; --count) {
      ++played.cheap.asked;
      played.cheap.granted += home.take(now, kCheap) ? 1 : 0;
    }
    for (int count = urgent(random); count > 0; --count) {
      ++played.urgent.asked;
      played.urgent.granted += home.take(now, kUrgent) ? 1 : 0;
    }
  }
  return played;
}

TEST(QuotaReserve, ACheapFloodLeavesUrgentRequestsBelowTheLimitTheirOperations) {
  // Eight times the usual, half of it urgent; the usual is a fifth of the limit.
  for (const protocol::TenantQuota& quota :
       {protocol::TenantQuota{580, 580}, protocol::TenantQuota{30, 30}}) {
    const double usual = 0.2 * quota.rate_per_s;
    Share urgent;
    Share cheap;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
      const Played played = play(quota, 4 * usual, 4 * usual, seed);
      urgent = Share{urgent.asked + played.urgent.asked, urgent.granted + played.urgent.granted};
      cheap = Share{cheap.asked + played.cheap.asked, cheap.granted + played.cheap.granted};
    }
    std::printf("limit %u/s: granted %.2f %% of the urgent, %.2f %% of the cheap ones\n", quota.rate_per_s,
                100 * urgent.part(), 100 * cheap.part());
    EXPECT_GE(urgent.part(), 0.99);
    EXPECT_GE(urgent.granted + cheap.granted, 20 * 20 * 0.97 * (quota.rate_per_s + quota.burst / 5.0));
  }
}

TEST(QuotaReserve, WithoutMoreUrgentDemandNothingIsKeptBack) {
  QuotaReserve reserve;
  core::Instant now{std::chrono::hours(1)};
  for (int count = 0; count < 100; ++count) {
    reserve.note(now, kCheap, 1);
    EXPECT_EQ(reserve.before(kCheap, 100), 0);
    now += milliseconds(1);
  }
}

TEST(QuotaReserve, ItFollowsTheMoreUrgentDemandAndFadesWithIt) {
  QuotaReserve reserve;
  core::Instant now{std::chrono::hours(1)};
  for (int count = 0; count < 1000; ++count) {
    reserve.note(now, kUrgent, 1);
    now += milliseconds(10);
  }
  EXPECT_NEAR(reserve.rate_before(kCheap), 100, 2);
  EXPECT_NEAR(reserve.before(kCheap, 1000), 25, 1);
  EXPECT_EQ(reserve.before(kUrgent, 1000), 0);
  EXPECT_EQ(reserve.before(kCheap, 10), 10 * kMostReserved);
  reserve.note(now + 10 * kDemandHalfLife, kCheap, 1);
  EXPECT_LT(reserve.before(kCheap, 1000), 0.1);
}

TEST(QuotaReserve, PrioritiesBeyondTheLastAreOne) {
  QuotaReserve reserve;
  const core::Instant now{std::chrono::hours(1)};
  reserve.note(now, 1000, 5);
  EXPECT_EQ(reserve.before(2000, 100), 0);
}

}  // namespace
}  // namespace pipitpond::tenancy
