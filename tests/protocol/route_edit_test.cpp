#include <gtest/gtest.h>

#include <random>

#include "protocol/configuration.hpp"
#include "wire/codec.hpp"

namespace pipitpond::protocol {
namespace {

Route route(std::uint64_t number, std::uint32_t timeout = 800) {
  Route route;
  route.name = "route-" + std::to_string(number);
  route.database = "database-" + std::to_string(number);
  route.path_prefix = "/";
  route.group = core::GroupName("plates");
  route.timeout_ms = timeout;
  return route;
}

RouteTable table(std::uint64_t version, std::size_t routes) {
  RouteTable table;
  table.version = version;
  table.groups = {RoutedGroup{core::GroupName("plates"), 60, 1}};
  for (std::size_t number = 0; number < routes; ++number) {
    table.routes.push_back(route(number));
  }
  return table;
}

/// Changes, removes and adds a few routes anywhere, and now and then a group.
RouteTable varied(RouteTable table, std::mt19937_64& random) {
  table.version += 1 + random() % 3;
  for (std::uint64_t step = random() % 4; step > 0; --step) {
    const std::size_t position = random() % (table.routes.size() + 1);
    const auto at = table.routes.begin() + static_cast<std::ptrdiff_t>(position);
    if (random() % 2 == 0) {
      table.routes.insert(at, route(random() % 1000, 100));
    } else if (at != table.routes.end()) {
      table.routes.erase(at);
    }
  }
  if (random() % 4 == 0) {
    table.groups.push_back(RoutedGroup{core::GroupName("g" + std::to_string(random() % 9)), 34, 1});
  }
  table.transaction_idle_ms = static_cast<std::uint32_t>(random() % 2);
  return table;
}

TEST(RouteTableEdit, TurnsAnyTableIntoTheNext) {
  constexpr int kTables = 2000;
  std::mt19937_64 random(7);
  RouteTable current = table(1, 5);
  for (int round = 0; round < kTables; ++round) {
    const RouteTable next = varied(current, random);
    const std::string packed = wire::pack(edit_between(current, next));
    const auto edit = wire::unpack<RouteTableEdit>(packed);
    ASSERT_TRUE(edit.has_value());
    ASSERT_TRUE(apply(current, edit.value()));
    ASSERT_EQ(current, next) << "round " << round;
  }
}

TEST(RouteTableEdit, CostsWhatChangedAndNotTheTable) {
  const RouteTable before = table(1, 1000);
  RouteTable after = before;
  after.version = 2;
  after.routes[500].timeout_ms = 900;
  EXPECT_LT(wire::pack(edit_between(before, after)).size(), 150U);
  EXPECT_GT(wire::pack(after).size(), 40'000U);
}

Tenant tenant(std::uint64_t number, std::uint64_t keys, std::uint32_t rate) {
  Tenant tenant;
  tenant.name = core::TenantName("tenant-" + std::to_string(100 + number));
  for (std::uint64_t key = 0; key < keys; ++key) {
    tenant.keys.push_back(KeyDigest{std::string(kKeyDigestBytes, static_cast<char>('a' + key))});
  }
  tenant.quota = TenantQuota{rate, rate};
  return tenant;
}

TEST(RouteTableEdit, TurnsAnyTenantsIntoTheNext) {
  constexpr int kTables = 1000;
  std::mt19937_64 random(11);
  RouteTable current = table(1, 3);
  for (int round = 0; round < kTables; ++round) {
    RouteTable next = current;
    ++next.version;
    next.tenants.reset();
    if (random() % 8 != 0) {
      next.tenants.emplace();
      for (std::uint64_t number = 0; number < 6; ++number) {
        if (random() % 2 == 0) {
          next.tenants->push_back(tenant(number, random() % 3, static_cast<std::uint32_t>(random() % 3)));
        }
      }
    }
    const auto edit = wire::unpack<RouteTableEdit>(wire::pack(edit_between(current, next)));
    ASSERT_TRUE(edit.has_value());
    ASSERT_TRUE(apply(current, edit.value()));
    ASSERT_EQ(current, next) << "round " << round;
  }
}

TEST(RouteTableEdit, OfOneTenantCostsWhatChanged) {
  RouteTable before = table(1, 3);
  before.tenants.emplace();
  for (std::uint64_t number = 0; number < 84; ++number) {
    before.tenants->push_back(tenant(number, 2, 100));
  }
  RouteTable after = before;
  after.version = 2;
  after.tenants->at(40).quota->rate_per_s = 7;
  EXPECT_LT(wire::pack(edit_between(before, after)).size(), 200U);
  after.tenants->at(41).keys.pop_back();
  EXPECT_LT(wire::pack(edit_between(before, after)).size(), 200U);
  EXPECT_GT(wire::pack(after).size(), 4'000U);
}

TEST(RouteTableEdit, OfAnotherTableChangesNothing) {
  Configuration configuration;
  configuration.routes = table(3, 2);
  Change change;
  change.revision = 1;
  change.route_edit = edit_between(table(2, 1), table(4, 5));
  EXPECT_FALSE(apply(configuration, change));
  change.route_edit->base_version = 3;
  change.route_edit->kept_first = 2;
  change.route_edit->replaced = 1;
  EXPECT_FALSE(apply(configuration, change)) << "beyond the table's end";
  EXPECT_EQ(configuration.routes, table(3, 2));
  EXPECT_EQ(configuration.revision, 0U);
}

}  // namespace
}  // namespace pipitpond::protocol
