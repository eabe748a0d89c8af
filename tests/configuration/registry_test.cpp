// Route tables and the groups that they name, in the replicated state machine.
#include <gtest/gtest.h>

#include <string>

#include "configuration/registry_fixture.hpp"
#include "configuration/registry_plan.hpp"

namespace pipitpond::configuration {
namespace {

TEST_F(RegistryTest, TheHighestVersionPrevails) {
  EXPECT_TRUE(apply(table(7, "seven")).changed);
  EXPECT_FALSE(apply(table(6, "six")).changed);
  EXPECT_FALSE(apply(table(7, "other seven")).changed);
  EXPECT_EQ(machine_.route_document(), "seven");
  EXPECT_TRUE(apply(table(9, "nine")).changed);
  EXPECT_EQ(machine_.configuration().routes.version, 9U);
  EXPECT_EQ(machine_.route_document(), "nine");
}

TEST_F(RegistryTest, AnOldVersionIsAcknowledgedAndAnInvalidOneNever) {
  apply(table(7));
  EXPECT_FALSE(apply(table(3)).error);
  PutRouteTable invalid = table(3);
  invalid.table.routes[0].timeout_ms = 0;
  EXPECT_TRUE(apply(invalid).error);
  invalid = table(8);
  invalid.table.routes[0].group = core::GroupName("unknown");
  EXPECT_TRUE(apply(invalid).error);
  invalid = table(8);
  invalid.table.routes.push_back(invalid.table.routes[0]);
  EXPECT_TRUE(apply(invalid).error);
  EXPECT_EQ(machine_.configuration().routes.version, 7U);
}

protocol::Tenant tenant(const std::string& name, const std::vector<std::string>& keys) {
  protocol::Tenant made;
  made.name = core::TenantName(name);
  for (const std::string& key : keys) {
    made.keys.push_back(protocol::KeyDigest{key});
  }
  return made;
}

TEST_F(RegistryTest, TenantsAreReplacedWithTheTable) {
  PutRouteTable put = table(1);
  put.table.tenants = protocol::Tenants{tenant("a", {"k1"}), tenant("b", {"k2"})};
  EXPECT_TRUE(apply(put).changed);
  put.table.version = 2;
  put.table.tenants = protocol::Tenants{tenant("a", {}), tenant("c", {"k1", "k2"})};
  EXPECT_TRUE(apply(put).changed);
  EXPECT_EQ(machine_.configuration().routes.tenants, put.table.tenants);
  EXPECT_TRUE(apply(table(3)).changed);
  EXPECT_FALSE(machine_.configuration().routes.tenants.has_value());
}

TEST_F(RegistryTest, TenantsThatShareAKeyOrANameAreInvalidAndChangeNothing) {
  apply(table(1));
  PutRouteTable shared = table(2);
  shared.table.tenants = protocol::Tenants{tenant("a", {"k1", "k2"}), tenant("b", {"k3", "k2"})};
  const CommandResult refused = apply(shared);
  ASSERT_TRUE(refused.error);
  EXPECT_EQ(core::describe(*refused.error).find("k2"), std::string::npos);
  PutRouteTable same_name = table(2);
  same_name.table.tenants = protocol::Tenants{tenant("a", {"k1"}), tenant("a", {"k2"})};
  EXPECT_TRUE(apply(same_name).error);
  PutRouteTable nameless = table(2);
  nameless.table.tenants = protocol::Tenants{tenant("two words", {"k1"})};
  EXPECT_TRUE(apply(nameless).error) << "a name stands in a line of words";
  EXPECT_EQ(machine_.configuration().routes.version, 1U);
}

TEST_F(RegistryTest, ARestartThatNobodyNoticedLeavesADaemonLiveSinceItsFirstAdmission) {
  const auto admit = [&](std::uint64_t incarnation) {
    return apply(AdmitDaemon{core::DaemonId("d"), incarnation, core::ZoneName("z"), {"127.0.0.1", 1}, {}});
  };
  const auto since = [&] { return machine_.configuration().daemons.at(core::DaemonId("d")).live_since; };
  admit(1);
  const protocol::Revision first = since();
  admit(2);
  EXPECT_EQ(since(), first);
  apply(SetDaemonState{core::DaemonId("d"), 2, protocol::DaemonState::kLeaving});
  admit(3);
  EXPECT_GT(since(), first);
  const protocol::Revision second = since();
  apply(RemoveDaemon{core::DaemonId("d"), 3});
  admit(4);
  EXPECT_GT(since(), second);
}

TEST_F(RegistryTest, ATableCreatesItsGroupsAndLimitsTheirDatabases) {
  apply(database("a", 9001));
  EXPECT_EQ(plates().databases[0].max_owners, 0U) << "no limit is known yet";
  apply(table(1));
  EXPECT_TRUE(plates().self_registered);
  EXPECT_EQ(plates().sync_replicas, 1U);
  EXPECT_EQ(plates().databases[0].connection_limit, 34 - kConnectionsForControl);
}

TEST_F(RegistryTest, OwnersFollowTheConnectionsUpToAFewEach) {
  const auto owners_with = [&](std::uint64_t version, std::uint32_t limit) {
    PutRouteTable put = table(version);
    put.table.groups[0].connection_limit = limit;
    apply(put);
    apply(database("a", 9001));
    return plates().databases[0].max_owners;
  };
  EXPECT_EQ(owners_with(1, 16), 4U);
  EXPECT_EQ(owners_with(2, 6), kFewestOwners);
  EXPECT_EQ(owners_with(3, 600), kMostOwners);
}

TEST_F(RegistryTest, ADaemonThatStartsGetsTheConfigurationAndNotTheDaysChanges) {
  // 25 tables of 65 routes took a starting daemon a second on its link of 2 Mbit/s. All routes are others
  // each time: a change that edits few of them costs less than the configuration.
  constexpr std::uint64_t kTables = 25;
  constexpr int kRoutes = 65;
  for (std::uint64_t version = 1; version <= kTables; ++version) {
    PutRouteTable put = table(version);
    for (int number = 0; number < kRoutes; ++number) {
      protocol::Route route = put.table.routes[0];
      route.name = "r" + std::to_string(number) + "-" + std::to_string(version);
      route.database = "archive" + std::to_string(number);
      put.table.routes.push_back(route);
    }
    ASSERT_TRUE(apply(put).changed);
  }
  const auto from_nothing = machine_.changes_after(0);
  ASSERT_TRUE(from_nothing.snapshot);
  EXPECT_EQ(from_nothing.snapshot->routes.version, kTables);
  EXPECT_TRUE(from_nothing.changes.empty());
  const auto newest = machine_.changes_after(machine_.configuration().revision - 1);
  EXPECT_FALSE(newest.snapshot);
  EXPECT_EQ(newest.changes.size(), 1U);
}

TEST_F(RegistryTest, ASnapshotKeepsAllOfIt) {
  apply(table(7, "seven"));
  apply(database("a", 9001));
  apply(DepartDatabase{core::DatabaseId("a"), 0});
  apply(RemoveDatabase{core::DatabaseId("a"), 0});
  StateMachine restored;
  ASSERT_TRUE(restored.restore(machine_.snapshot()).has_value());
  EXPECT_EQ(restored.route_document(), "seven");
  EXPECT_EQ(restored.snapshot(), machine_.snapshot());
  EXPECT_FALSE(restored.apply(index_ + 1, Command{{}, 0, database("a", 9001)}).changed);
}

TEST_F(RegistryTest, GroupsOfOperatorsAreLeftAlone) {
  apply(PutZone{core::ZoneName("hall"), core::RegionName("kingston")});
  PutGroup declared{core::GroupName("plates"), {}, {}};
  declared.databases.push_back(
      protocol::Database{core::DatabaseId("a"), {"127.0.0.1", 9001}, core::ZoneName("hall"), 10, 4, false});
  ASSERT_FALSE(apply(declared).error);
  EXPECT_TRUE(apply(table(1)).error);
  EXPECT_TRUE(apply(database("b", 9002)).error);
}

}  // namespace
}  // namespace pipitpond::configuration
