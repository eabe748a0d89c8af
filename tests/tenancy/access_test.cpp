#include "tenancy/access.hpp"

#include <gtest/gtest.h>

#include "tenancy/key_digest.hpp"

namespace pipitpond::tenancy {
namespace {

using std::chrono::milliseconds;

protocol::Tenant tenant(const std::string& name, const std::vector<std::string>& keys) {
  protocol::Tenant made;
  made.name = core::TenantName(name);
  for (const std::string& key : keys) {
    made.keys.push_back(digest_of(key));
  }
  return made;
}

class AccessTest : public ::testing::Test {
 protected:
  void put(std::optional<protocol::Tenants> tenants) {
    table_.tenants = std::move(tenants);
    ++table_.version;
    directory_.apply(table_);
  }

  [[nodiscard]] Access judge(const std::string& key, bool certain = true, bool is_public = false) const {
    protocol::Route route;
    route.is_public = is_public;
    return tenancy::judge(directory_, route, digest_of(key), certain);
  }

  protocol::RouteTable table_;
  TenantDirectory directory_;
};

TEST(KeyDigest, DiffersBetweenKeysAndShowsNothingOfThem) {
  EXPECT_EQ(digest_of("one"), digest_of("one"));
  EXPECT_NE(digest_of("one"), digest_of("two"));
  EXPECT_EQ(digest_of("one").bytes.size(), protocol::kKeyDigestBytes);
  EXPECT_EQ(digest_of("one").bytes.find("one"), std::string::npos);
}

TEST_F(AccessTest, WithoutTenantsNobodyNeedsAKey) {
  put(std::nullopt);
  EXPECT_EQ(judge("any", false).verdict, Verdict::kAllowed);
  EXPECT_TRUE(judge("any").tenant.empty());
}

TEST_F(AccessTest, AKeyLetsItsTenantInAndNoOtherKeyDoes) {
  put(protocol::Tenants{tenant("a", {"k1", "k2"}), tenant("b", {"k3"})});
  EXPECT_EQ(judge("k2").tenant, core::TenantName("a"));
  EXPECT_EQ(judge("k3").tenant, core::TenantName("b"));
  EXPECT_EQ(judge("k4").verdict, Verdict::kUnknownKey);
}

TEST_F(AccessTest, AnEmptyListOfTenantsLetsNobodyIn) {
  put(protocol::Tenants{});
  EXPECT_EQ(judge("k1").verdict, Verdict::kUnknownKey);
}

TEST_F(AccessTest, AKeyFollowsItsTenantsChanges) {
  put(protocol::Tenants{tenant("a", {"k1"}), tenant("b", {"k2"})});
  put(protocol::Tenants{tenant("a", {}), tenant("b", {"k1", "k2"})});
  EXPECT_EQ(judge("k1").tenant, core::TenantName("b")) << "moved";
  put(protocol::Tenants{tenant("c", {"k1", "k2"})});
  EXPECT_EQ(judge("k1").tenant, core::TenantName("c")) << "the tenant was renamed";
  put(protocol::Tenants{tenant("c", {"k2"})});
  EXPECT_EQ(judge("k1").verdict, Verdict::kUnknownKey) << "removed";
}

TEST_F(AccessTest, APublicRouteNeedsNoKeyAndStillKnowsWhoseItIs) {
  put(protocol::Tenants{tenant("a", {"k1"})});
  EXPECT_EQ(judge("nobody's", true, true).verdict, Verdict::kAllowed);
  EXPECT_TRUE(judge("nobody's", true, true).tenant.empty());
  EXPECT_EQ(judge("k1", true, true).tenant, core::TenantName("a"));
  EXPECT_EQ(judge("nobody's", true, false).verdict, Verdict::kUnknownKey) << "public no more";
}

TEST_F(AccessTest, WhatCannotBeCertainIsNeitherAllowedNorDenied) {
  put(protocol::Tenants{tenant("a", {"k1"})});
  EXPECT_EQ(judge("k1", false).verdict, Verdict::kUncertain);
  EXPECT_EQ(judge("k2", false).verdict, Verdict::kUncertain) << "it may have been added meanwhile";
  EXPECT_EQ(judge("k1", false, true).verdict, Verdict::kAllowed);
  EXPECT_TRUE(judge("k1", false, true).tenant.empty()) << "the key may be another tenant's by now";
}

TEST(KeysAreCertain, WhileTheTableIsCompleteUpToAMomentAgo) {
  const core::Instant now(std::chrono::hours(1));
  const AccessLimits strict{milliseconds(5000)};
  EXPECT_TRUE(keys_are_certain(strict, now - milliseconds(4499), now));
  EXPECT_FALSE(keys_are_certain(strict, now - milliseconds(4500), now));
  EXPECT_FALSE(keys_are_certain(strict, core::Instant{}, now)) << "nothing was ever proved";
  EXPECT_TRUE(keys_are_certain(AccessLimits{}, core::Instant{}, now)) << "revocation without a limit";
}

}  // namespace
}  // namespace pipitpond::tenancy
