// Settings of a pooling daemon.
#include "pooling/options.hpp"

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "settings/loader.hpp"

namespace pipitpond::pooling {
namespace {

/// The required arguments of the daemon, followed by `more`.
std::vector<std::string> arguments_with(std::vector<std::string> more) {
  std::vector<std::string> arguments = {"proxy",
                                        "--node.id",
                                        "d",
                                        "--node.zone",
                                        "z",
                                        "--listen.callers",
                                        "127.0.0.1:1",
                                        "--listen.admin",
                                        "127.0.0.1:2",
                                        "--listen.internal",
                                        "127.0.0.1:3",
                                        "--control.seeds",
                                        "127.0.0.1:4",
                                        "--control.internal_port",
                                        "5"};
  arguments.insert(arguments.end(), more.begin(), more.end());
  return arguments;
}

core::Result<double> excess_with(std::vector<std::string> more) {
  PoolingSettings settings;
  const auto loaded = settings::load(settings::Program{"proxy", "A proxy"}, settings.section(),
                                     arguments_with(std::move(more)));
  if (!loaded) {
    return loaded.error();
  }
  return settings.options().access.quotas.excess;
}

TEST(PoolingSettings, TheQuotaExcessIsADecimalFraction) {
  EXPECT_DOUBLE_EQ(excess_with({"--tenants.quota_excess", "0.25"}).value(), 0.25);
  EXPECT_DOUBLE_EQ(excess_with({"--tenants.quota_excess", "0"}).value(), 0);
  EXPECT_DOUBLE_EQ(
      excess_with({"--tenants.quota_excess", "0.25", "--tenants.quota_excess_percent", "7"}).value(), 0.25);
}

TEST(PoolingSettings, WithoutQuotaExcessThePercentageApplies) {
  EXPECT_DOUBLE_EQ(excess_with({}).value(), 0.1);
  EXPECT_DOUBLE_EQ(excess_with({"--tenants.quota_excess_percent", "7"}).value(), 0.07);
}

TEST(PoolingSettings, AnInvalidQuotaExcessIsRejected) {
  for (const char* wrong : {"ten", "0.1x", "-0.1", "11", "nan"}) {
    EXPECT_FALSE(excess_with({"--tenants.quota_excess", wrong})) << wrong;
  }
}

}  // namespace
}  // namespace pipitpond::pooling
