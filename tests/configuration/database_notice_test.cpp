// Databases that register and leave by themselves, in the replicated state machine: lives, endpoints,
// removal.
#include "configuration/database_notice_plan.hpp"

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "configuration/registry_fixture.hpp"

namespace pipitpond::configuration {
namespace {

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
  apply(DepartDatabase{core::DatabaseId("a"), 0});
  ASSERT_EQ(plates().databases.size(), 1U);
  EXPECT_TRUE(plates().databases[0].departed);
  apply(database("a", 9001));
  EXPECT_TRUE(plates().databases[0].departed) << "a late heartbeat";
  apply(RemoveDatabase{core::DatabaseId("a"), 0});
  EXPECT_TRUE(plates().databases.empty());
  EXPECT_FALSE(apply(database("a", 9001)).changed) << "a late heartbeat";
  EXPECT_TRUE(plates().databases.empty());
}

// Acknowledged writes were lost: a database that left and started again under its id never became a member
// again, so that fences were counted without it while it acknowledged entries.
TEST_F(RegistryTest, ADatabaseThatStartsAgainAfterItsRemovalIsAMemberAgain) {
  apply(table(1));
  apply(database_born("a", 9001, 100));
  apply(DepartDatabase{core::DatabaseId("a"), 100});
  apply(RemoveDatabase{core::DatabaseId("a"), 100});
  ASSERT_TRUE(plates().databases.empty());
  EXPECT_FALSE(apply(database_born("a", 9001, 100)).changed)
      << "a late heartbeat of the life that was removed";
  EXPECT_FALSE(apply(database_born("a", 9001, 50)).changed) << "a late heartbeat of a life before it";
  EXPECT_FALSE(apply(database("a", 9001)).changed) << "no birth is told: today's rule";
  EXPECT_TRUE(apply(database_born("a", 9001, 200)).changed);
  ASSERT_EQ(plates().databases.size(), 1U);
  EXPECT_FALSE(plates().databases[0].draining);
  EXPECT_FALSE(plates().databases[0].departed);
  apply(DepartDatabase{core::DatabaseId("a"), 200});
  apply(RemoveDatabase{core::DatabaseId("a"), 200});
  EXPECT_TRUE(apply(database_born("a", 9001, 300)).changed) << "again and again";
}

TEST_F(RegistryTest, ADatabaseThatStartsAgainAfterASuccessorTookItsAddressIsAMemberAgain) {
  apply(table(1));
  apply(database_born("a", 9001, 100));
  apply(database_born("a2", 9001, 200));
  EXPECT_FALSE(apply(database_born("a", 9001, 100)).changed) << "a heartbeat that a cut delayed";
  EXPECT_TRUE(apply(database_born("a", 9002, 300)).changed);
  EXPECT_EQ(plates().databases.size(), 2U);
}

// A database that was back before its removal kept what its earlier life had said: it stayed out of use, and
// was removed while it acknowledged entries.
TEST_F(RegistryTest, ALaterLifeOfAMemberBeginsAnewWithALogThatProvesNothing) {
  apply(table(1));
  apply(database_born("a", 9001, 100));
  apply(database_born("a", 9001, 100, true));
  apply(DepartDatabase{core::DatabaseId("a"), 100});
  EXPECT_TRUE(apply(database_born("a", 9001, 200)).changed);
  ASSERT_EQ(plates().databases.size(), 1U);
  EXPECT_FALSE(plates().databases[0].draining);
  EXPECT_FALSE(plates().databases[0].departed);
  EXPECT_TRUE(plates().databases[0].log_unproven);
  EXPECT_FALSE(apply(RemoveDatabase{core::DatabaseId("a"), 100}).changed) << "decided for the earlier life";
  EXPECT_FALSE(apply(RemoveDatabase{core::DatabaseId("a"), 0}).changed) << "it has not departed";
  EXPECT_EQ(plates().databases.size(), 1U);
}

TEST_F(RegistryTest, ALateMessageOfAnEarlierLifeChangesNothing) {
  apply(table(1));
  apply(database_born("a", 9001, 100));
  apply(database_born("a", 9002, 200));
  EXPECT_FALSE(apply(database_born("a", 9001, 100, true)).changed);
  EXPECT_FALSE(apply(DepartDatabase{core::DatabaseId("a"), 100}).changed);
  EXPECT_EQ(plates().databases[0].endpoint.port, 9002);
  EXPECT_EQ(plates().databases[0].born, 200U);
  EXPECT_FALSE(plates().databases[0].draining);
  EXPECT_TRUE(apply(DepartDatabase{core::DatabaseId("a"), 200}).changed);
}

TEST_F(RegistryTest, AFirstBirthIsTheOneOfTheKnownLife) {
  // The database was registered by a version that did not read births: what it has said holds on.
  apply(table(1));
  apply(database("a", 9001, true));
  EXPECT_TRUE(apply(database_born("a", 9001, 100)).changed);
  EXPECT_TRUE(plates().databases[0].draining);
  EXPECT_FALSE(plates().databases[0].log_unproven);
}

TEST_F(RegistryTest, ALogIsProvenForOneLife) {
  apply(table(1));
  apply(database_born("a", 9001, 100));
  apply(database_born("a", 9001, 200));
  EXPECT_FALSE(apply(ProveDatabaseLog{core::DatabaseId("a"), 100}).changed);
  EXPECT_TRUE(plates().databases[0].log_unproven);
  EXPECT_FALSE(apply(database_born("a", 9001, 200)).changed) << "a heartbeat proves nothing";
  EXPECT_TRUE(apply(database_born("a", 9001, 200, true)).changed);
  EXPECT_TRUE(plates().databases[0].log_unproven);
  EXPECT_TRUE(apply(ProveDatabaseLog{core::DatabaseId("a"), 200}).changed);
  EXPECT_FALSE(plates().databases[0].log_unproven);
}

TEST_F(RegistryTest, ASnapshotKeepsTheBirthsOfWhatWasRemoved) {
  apply(table(1));
  apply(database_born("a", 9001, 100));
  apply(DepartDatabase{core::DatabaseId("a"), 100});
  apply(RemoveDatabase{core::DatabaseId("a"), 100});
  StateMachine restored;
  ASSERT_TRUE(restored.restore(machine_.snapshot()).has_value());
  EXPECT_FALSE(restored.apply(index_ + 1, Command{{}, 0, database_born("a", 9001, 100)}).changed);
  EXPECT_TRUE(restored.apply(index_ + 2, Command{{}, 0, database_born("a", 9001, 200)}).changed);
}

// Acknowledged writes were lost: a heartbeat of another writer, of a group that no table names and at the
// endpoint of a live replica, took that one out of its group, so that fences were counted without it.
TEST_F(RegistryTest, AHeartbeatOfAGroupThatNoTableNamesChangesNothing) {
  apply(database_answered("a", 9001, EndpointAnswer::kNoAnswer));
  apply(table(1));
  RegisterDatabase foreign = database_answered("agent", 9001, EndpointAnswer::kNoAnswer);
  foreign.group = core::GroupName("inventory");
  const CommandResult refused = apply(foreign);
  ASSERT_TRUE(refused.error);
  EXPECT_EQ(refused.error->kind, core::ErrorKind::kNotFound);
  EXPECT_EQ(members(), std::vector<std::string>{"a"});
  EXPECT_FALSE(machine_.configuration().groups.contains(core::GroupName("inventory")));
}

TEST_F(RegistryTest, AClaimThatNobodyConfirmsTakesNoMembersPlace) {
  apply(table(1));
  apply(database_answered("a", 9001, EndpointAnswer::kThisDatabase));
  apply(database_answered("agent", 9001, EndpointAnswer::kNoAnswer));
  EXPECT_EQ(members(), (std::vector<std::string>{"a", "agent"})) << "one too few would lose writes";
  EXPECT_TRUE(apply(database_answered("agent", 9001, EndpointAnswer::kAnotherDatabase)).error);
  EXPECT_EQ(members(), (std::vector<std::string>{"a", "agent"}));
  EXPECT_TRUE(apply(database_answered("a", 9001, EndpointAnswer::kThisDatabase)).changed);
  EXPECT_EQ(members(), std::vector<std::string>{"a"});
  EXPECT_FALSE(apply(database_answered("agent", 9001, EndpointAnswer::kNoAnswer)).changed);
  EXPECT_EQ(members(), std::vector<std::string>{"a"});
}

TEST_F(RegistryTest, ADatabaseThatAnswersTakesThePlaceOfItsPredecessor) {
  apply(table(1));
  apply(database_answered("a", 9001, EndpointAnswer::kThisDatabase, 100));
  apply(database_answered("a2", 9001, EndpointAnswer::kThisDatabase, 200));
  EXPECT_EQ(members(), std::vector<std::string>{"a2"});
  EXPECT_FALSE(apply(database_answered("a", 9001, EndpointAnswer::kNoAnswer, 100)).changed)
      << "a heartbeat that a cut delayed";
  EXPECT_EQ(members(), std::vector<std::string>{"a2"});
}

TEST_F(RegistryTest, OfTwoThatNobodyConfirmsTheOneBornLaterIsBelieved) {
  apply(table(1));
  apply(database_answered("a2", 9001, EndpointAnswer::kNoAnswer, 200));
  EXPECT_FALSE(apply(database_answered("a", 9001, EndpointAnswer::kNoAnswer, 100)).changed);
  EXPECT_EQ(members(), std::vector<std::string>{"a2"});
}

// Its log has not passed to the other group's database: until another member holds what it may have held, it
// counts among those whose fences a change of primary needs.
TEST_F(RegistryTest, AMemberWhoseEndpointAnotherGroupUsesHasDepartedAndCounts) {
  PutRouteTable put = table(1);
  put.table.groups.push_back(protocol::RoutedGroup{core::GroupName("frames"), 34, 1});
  apply(put);
  apply(database_answered("a", 9001, EndpointAnswer::kThisDatabase));
  RegisterDatabase other = database_answered("x", 9001, EndpointAnswer::kThisDatabase);
  other.group = core::GroupName("frames");
  EXPECT_TRUE(apply(other).changed);
  ASSERT_EQ(members(), std::vector<std::string>{"a"});
  EXPECT_TRUE(plates().databases[0].departed);
  EXPECT_TRUE(plates().databases[0].draining);
  EXPECT_FALSE(apply(other).changed) << "no heartbeat may cost a revision for as long as both are known";
  EXPECT_FALSE(needs_endpoint_answer(machine_.configuration(), other));
}

TEST_F(RegistryTest, AMemberOfOneGroupJoinsNoOther) {
  PutRouteTable put = table(1);
  put.table.groups.push_back(protocol::RoutedGroup{core::GroupName("frames"), 34, 1});
  apply(put);
  apply(database_answered("a", 9001, EndpointAnswer::kThisDatabase));
  RegisterDatabase other = database_answered("a", 9002, EndpointAnswer::kThisDatabase);
  other.group = core::GroupName("frames");
  EXPECT_TRUE(apply(other).error);
  EXPECT_TRUE(machine_.configuration().groups.at(core::GroupName("frames")).databases.empty());
}

TEST_F(RegistryTest, AMoveIsBelievedOnceTheDatabaseAnswersThere) {
  apply(table(1));
  apply(database_answered("a", 9001, EndpointAnswer::kThisDatabase));
  EXPECT_FALSE(apply(database_answered("a", 9002, EndpointAnswer::kNoAnswer)).changed);
  EXPECT_TRUE(apply(database_answered("a", 9002, EndpointAnswer::kAnotherDatabase)).error);
  EXPECT_EQ(plates().databases[0].endpoint.port, 9001);
  EXPECT_TRUE(apply(database_answered("a", 9002, EndpointAnswer::kThisDatabase)).changed);
  EXPECT_EQ(plates().databases[0].endpoint.port, 9002);
}

TEST_F(RegistryTest, ADatabaseThatWasRemovedAndStillAnswersCountsAgainAndTakesNoWork) {
  apply(table(1));
  apply(database_answered("a", 9001, EndpointAnswer::kThisDatabase, 100));
  apply(DepartDatabase{core::DatabaseId("a"), 100});
  apply(RemoveDatabase{core::DatabaseId("a"), 100});
  EXPECT_FALSE(apply(database_answered("a", 9001, EndpointAnswer::kNoAnswer, 100)).changed);
  EXPECT_TRUE(apply(database_answered("a", 9001, EndpointAnswer::kThisDatabase, 100)).changed);
  ASSERT_EQ(members(), std::vector<std::string>{"a"});
  EXPECT_TRUE(plates().databases[0].departed);
  EXPECT_TRUE(plates().databases[0].draining);
}

TEST_F(RegistryTest, AHeartbeatThatLacksTheBirthOfItsDatabaseIsAnotherWriters) {
  apply(table(1));
  apply(database_answered("a", 9001, EndpointAnswer::kThisDatabase, 100));
  RegisterDatabase foreign = database_answered("a", 9001, EndpointAnswer::kNoAnswer);
  foreign.database.draining = true;
  EXPECT_TRUE(apply(foreign).error);
  EXPECT_FALSE(plates().databases[0].draining);
}

TEST_F(RegistryTest, EndpointsAreAskedOfWhoJoinsMovesOrSharesOne) {
  apply(table(1));
  const auto must_ask = [&](const std::string& id, std::uint16_t port) {
    return needs_endpoint_answer(machine_.configuration(),
                                 database_answered(id, port, EndpointAnswer::kNoAnswer));
  };
  EXPECT_TRUE(must_ask("a", 9001));
  apply(database_answered("a", 9001, EndpointAnswer::kThisDatabase));
  EXPECT_FALSE(must_ask("a", 9001));
  EXPECT_TRUE(must_ask("a", 9002));
  apply(database_answered("b", 9001, EndpointAnswer::kNoAnswer));
  EXPECT_TRUE(must_ask("a", 9001));
}

/// A copy of an array without its last elements, as versions that did not know them have written it.
msgpack::object without_last(const msgpack::object& array, std::uint32_t count, msgpack::zone& zone) {
  msgpack::object copy(array, zone);
  copy.via.array.size -= count;
  return copy;
}

TEST_F(RegistryTest, CommandsAndSnapshotsOfVersionsWithoutBirthsAreUnderstood) {
  msgpack::zone zone;
  const std::string packed = wire::pack(database("a", 9001));
  const auto handle = msgpack::unpack(packed.data(), packed.size());
  constexpr std::uint32_t kNewRegistrationFields = 1;
  msgpack::object registration = without_last(handle.get(), kNewRegistrationFields, zone);
  constexpr std::uint32_t kNewDatabaseFields = 2;
  registration.via.array.ptr[1] = without_last(registration.via.array.ptr[1], kNewDatabaseFields, zone);
  apply(table(1));
  const auto older_command = registration.as<RegisterDatabase>();
  EXPECT_EQ(older_command.endpoint_answer, EndpointAnswer::kNotAsked);
  EXPECT_TRUE(apply(older_command).changed);
  EXPECT_EQ(plates().databases[0].born, 0U);

  apply(DepartDatabase{core::DatabaseId("a"), 0});
  apply(RemoveDatabase{core::DatabaseId("a"), 0});
  const std::string snapshot = machine_.snapshot();
  const auto whole = msgpack::unpack(snapshot.data(), snapshot.size());
  msgpack::object older(whole.get(), zone);
  constexpr std::uint32_t kNewStateFields = 1;
  older.via.array.ptr[1] = without_last(older.via.array.ptr[1], kNewStateFields, zone);
  StateMachine restored;
  ASSERT_TRUE(restored.restore(wire::pack(older)).has_value());
  EXPECT_FALSE(restored.apply(index_ + 1, Command{{}, 0, database("a", 9001)}).changed) << "today's rule";
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

}  // namespace
}  // namespace pipitpond::configuration
