// A replicated state machine, and commands of route tables and of databases that register by themselves.
#pragma once

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "configuration/state_machine.hpp"
#include "wire/codec.hpp"

namespace pipitpond::configuration {

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

  /// The same from a database that says when its life began.
  static RegisterDatabase database_born(const std::string& id, std::uint16_t port, std::uint64_t born,
                                        bool draining = false) {
    RegisterDatabase registration = database(id, port, draining);
    registration.database.born = born;
    return registration;
  }

  /// The same after the endpoint was asked.
  static RegisterDatabase database_answered(const std::string& id, std::uint16_t port, EndpointAnswer answer,
                                            std::uint64_t born = 0) {
    RegisterDatabase registration = database_born(id, port, born);
    registration.endpoint_answer = answer;
    return registration;
  }

  [[nodiscard]] std::vector<std::string> members() const {
    std::vector<std::string> ids;
    for (const protocol::Database& database : plates().databases) {
      ids.push_back(database.id.value());
    }
    return ids;
  }

  [[nodiscard]] const protocol::Group& plates() const {
    return machine_.configuration().groups.at(core::GroupName("plates"));
  }

  StateMachine machine_;
  std::uint64_t index_ = 0;
};

}  // namespace pipitpond::configuration
