// Route tables and databases that register and leave by themselves, in the replicated state machine.
#include <gtest/gtest.h>

#include <string>

#include "configuration/registry_plan.hpp"
#include "configuration/state_machine.hpp"
#include "wire/codec.hpp"

namespace pipitpond::configuration {
namespace {

class RegistryTest : public ::testing::Test {
 protected:
  CommandResult apply(const Operation& operation) {
    const Command command{{}, 0, operation};
    const auto copy = wire::unpack<Command>(wire::pack(command));  // As it comes out of the log.
    EXPECT_TRUE(copy.has_value());
    return machine_.apply(++index_, copy.value());
  }

  static PutRouteTable table(std::uint64_t version, const std::string& document = "{}") {
    PutRouteTable put;
    put.table.version = version;
    put.table.groups.push_back(protocol::RoutedGroup{core::GroupName("plates"), 34, 1});
    protocol::Route route;
    route.name = "r";
    route.database = "archive";
    route.path_prefix = "/";
    route.group = core::GroupName("plates");
    route.timeout_ms = 800;
    put.table.routes.push_back(route);
    put.document = document;
    return put;
  }

  static RegisterDatabase database(const std::string& id, std::uint16_t port, bool draining = false) {
    RegisterDatabase registration;
    registration.group = core::GroupName("plates");
    registration.database.id = core::DatabaseId(id);
    registration.database.endpoint = {"127.0.0.1", port};
    registration.database.zone = core::ZoneName("hall");
    registration.database.slots = 3;
    registration.database.draining = draining;
    return registration;
  }

  [[nodiscard]] const protocol::Group& plates() const {
    return machine_.configuration().groups.at(core::GroupName("plates"));
  }

  StateMachine machine_;
  std::uint64_t index_ = 0;
};

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

TEST_F(RegistryTest, ARepeatedHeartbeatChangesNothing) {
  apply(table(1));
  EXPECT_TRUE(apply(database("a", 9001)).changed);
  EXPECT_FALSE(apply(database("a", 9001)).changed);
}

TEST_F(RegistryTest, ALateHeartbeatDoesNotTakeDrainingBack) {
  apply(table(1));
  apply(database("a", 9001));
  apply(database("a", 9001, true));
  apply(database("a", 9001, false));
  EXPECT_TRUE(plates().databases[0].draining);
}

TEST_F(RegistryTest, ASuccessorAtAnAddressReplacesItsPredecessor) {
  apply(table(1));
  apply(database("a", 9001));
  apply(database("a2", 9001));
  ASSERT_EQ(plates().databases.size(), 1U);
  EXPECT_EQ(plates().databases[0].id, core::DatabaseId("a2"));
}

TEST_F(RegistryTest, ALateHeartbeatOfAPredecessorDoesNotTakeTheAddressBack) {
  apply(table(1));
  apply(database("a", 9001));
  apply(database("a2", 9001));
  EXPECT_FALSE(apply(database("a", 9001)).changed);
  ASSERT_EQ(plates().databases.size(), 1U);
  EXPECT_EQ(plates().databases[0].id, core::DatabaseId("a2"));
}

TEST_F(RegistryTest, AnAddressMayPassToAnotherGroup) {
  apply(table(1));
  apply(database("a", 9001));
  RegisterDatabase other = database("x", 9001);
  other.group = core::GroupName("frames");
  apply(other);
  EXPECT_TRUE(plates().databases.empty());
}

TEST_F(RegistryTest, ADepartedDatabaseStaysUntilItIsRemovedAndDoesNotComeBack) {
  apply(table(1));
  apply(database("a", 9001));
  apply(DepartDatabase{core::DatabaseId("a")});
  ASSERT_EQ(plates().databases.size(), 1U);
  EXPECT_TRUE(plates().databases[0].departed);
  apply(database("a", 9001));
  EXPECT_TRUE(plates().databases[0].departed) << "a late heartbeat";
  apply(RemoveDatabase{core::DatabaseId("a")});
  EXPECT_TRUE(plates().databases.empty());
  EXPECT_FALSE(apply(database("a", 9001)).changed) << "a late heartbeat";
  EXPECT_TRUE(plates().databases.empty());
}

RegisterDatabase born_at(RegisterDatabase registration, std::uint64_t born) {
  registration.database.born = born;
  return registration;
}

TEST_F(RegistryTest, ANewStartMakesDrainingAndDepartureVoid) {
  apply(table(1));
  apply(born_at(database("a", 9001, true), 1000));
  apply(DepartDatabase{core::DatabaseId("a")});
  EXPECT_TRUE(apply(born_at(database("a", 9001), 2000)).changed);
  EXPECT_FALSE(plates().databases[0].draining);
  EXPECT_FALSE(plates().databases[0].departed);
  EXPECT_EQ(plates().databases[0].born, 2000U);
}

TEST_F(RegistryTest, AHeartbeatOfAnEarlierStartChangesNothing) {
  apply(table(1));
  apply(born_at(database("a", 9001), 2000));
  EXPECT_FALSE(apply(born_at(database("a", 9002, true), 1000)).changed);
  EXPECT_EQ(plates().databases[0].endpoint.port, 9001);
  EXPECT_FALSE(apply(born_at(database("a", 9001), 2000)).changed) << "resent";
}

TEST_F(RegistryTest, ADatabaseThatWasRemovedComesBackOnlyWithANewStart) {
  apply(table(1));
  apply(born_at(database("a", 9001), 1000));
  apply(DepartDatabase{core::DatabaseId("a")});
  apply(RemoveDatabase{core::DatabaseId("a")});
  StateMachine restored;
  ASSERT_TRUE(restored.restore(machine_.snapshot()).has_value());
  for (StateMachine* machine : {&machine_, &restored}) {
    std::uint64_t index = index_;
    EXPECT_FALSE(machine->apply(++index, Command{{}, 0, born_at(database("a", 9001), 1000)}).changed);
    EXPECT_FALSE(machine->apply(++index, Command{{}, 0, database("a", 9001)}).changed);
    EXPECT_TRUE(machine->apply(++index, Command{{}, 0, born_at(database("a", 9001), 2000)}).changed);
  }
}

TEST_F(RegistryTest, OneReplacedAtItsAddressComesBackOnlyWithANewStart) {
  apply(table(1));
  apply(born_at(database("a", 9001), 1000));
  apply(born_at(database("b", 9001), 1500));
  EXPECT_FALSE(apply(born_at(database("a", 9001), 1000)).changed);
  EXPECT_TRUE(apply(born_at(database("a", 9002), 2000)).changed);
  EXPECT_EQ(plates().databases.size(), 2U);
}

TEST_F(RegistryTest, AnUntoldStartIsTakenForTheSame) {
  apply(table(1));
  apply(database("a", 9001, true));
  apply(born_at(database("a", 9001), 1000));
  EXPECT_TRUE(plates().databases[0].draining);
  EXPECT_FALSE(apply(database("a", 9001)).changed);
  EXPECT_EQ(plates().databases[0].born, 1000U);
}

TEST_F(RegistryTest, APrimaryIsAdoptedOnce) {
  apply(table(1));
  apply(database("a", 9001));
  apply(database("b", 9002));
  EXPECT_TRUE(apply(AdoptPrimary{core::GroupName("plates"), 3, core::DatabaseId("a")}).changed);
  EXPECT_FALSE(apply(AdoptPrimary{core::GroupName("plates"), 4, core::DatabaseId("b")}).changed);
  EXPECT_EQ(plates().terms.back().primary, core::DatabaseId("a"));
  EXPECT_TRUE(apply(AdoptPrimary{core::GroupName("plates"), 4, core::DatabaseId("x")}).error);
}

TEST_F(RegistryTest, ASnapshotKeepsAllOfIt) {
  apply(table(7, "seven"));
  apply(database("a", 9001));
  apply(DepartDatabase{core::DatabaseId("a")});
  apply(RemoveDatabase{core::DatabaseId("a")});
  StateMachine restored;
  ASSERT_TRUE(restored.restore(machine_.snapshot()).has_value());
  EXPECT_EQ(restored.route_document(), "seven");
  EXPECT_EQ(restored.snapshot(), machine_.snapshot());
  EXPECT_FALSE(restored.apply(index_ + 1, Command{{}, 0, database("a", 9001)}).changed);
}

TEST_F(RegistryTest, ManyNoticesMakeOneRevision) {
  apply(table(1));
  apply(database("gone", 9500));
  const protocol::Revision before = machine_.configuration().revision;
  ChangeDatabases changes;
  for (int number = 0; number < 400; ++number) {
    changes.registrations.push_back(
        database("i-" + std::to_string(number), static_cast<std::uint16_t>(10000 + number)));
  }
  changes.registrations[7].group = core::GroupName("frames");
  changes.departures.push_back(DepartDatabase{core::DatabaseId("gone")});
  const CommandResult result = apply(changes);
  EXPECT_FALSE(result.error);
  EXPECT_TRUE(result.refused.empty());
  EXPECT_EQ(result.revision, before + 1);
  EXPECT_EQ(plates().databases.size(), 400U);
  EXPECT_TRUE(plates().databases[0].departed);
  EXPECT_EQ(plates().databases[1].connection_limit, 30U) << "as if it had come alone";
  EXPECT_EQ(machine_.configuration().groups.at(core::GroupName("frames")).databases.size(), 1U);
  const protocol::FetchReply reply = machine_.changes_after(before);
  ASSERT_TRUE(reply.snapshot || reply.changes.size() == 1);
  EXPECT_FALSE(apply(changes).changed) << "resent";
  EXPECT_EQ(machine_.configuration().revision, before + 1);
}

TEST_F(RegistryTest, ARefusedNoticeDoesNotHoldUpTheOthers) {
  apply(table(1));
  ChangeDatabases changes;
  changes.registrations = {database("a", 9001), database("b", 0), database("c", 9003)};
  const CommandResult result = apply(changes);
  EXPECT_FALSE(result.error);
  EXPECT_TRUE(result.changed);
  ASSERT_EQ(result.refused.size(), 1U);
  EXPECT_EQ(result.refused[0].database, core::DatabaseId("b"));
  EXPECT_EQ(plates().databases.size(), 2U);
}

TEST_F(RegistryTest, NoticesOfOneRevisionArePlannedOneAfterTheOther) {
  apply(table(1));
  ChangeDatabases changes;
  changes.registrations = {database("a", 9001), database("a2", 9001), database("a", 9001)};
  changes.departures = {DepartDatabase{core::DatabaseId("a2")}};
  EXPECT_TRUE(apply(changes).changed);
  ASSERT_EQ(plates().databases.size(), 1U);
  EXPECT_EQ(plates().databases[0].id, core::DatabaseId("a2")) << "the third is a late one of a predecessor";
  EXPECT_TRUE(plates().databases[0].departed);
  EXPECT_FALSE(apply(database("a", 9001)).changed) << "remembered as gone";
}

TEST_F(RegistryTest, ACommandHoldsABoundedNumberOfNotices) {
  ChangeDatabases changes;
  changes.departures.resize(kMaxDatabaseChanges + 1, DepartDatabase{core::DatabaseId("a")});
  EXPECT_TRUE(apply(changes).error);
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
