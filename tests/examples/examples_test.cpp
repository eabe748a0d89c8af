// The examples that come with the product work as they stand: settings files and the calls of docs/API.md.
#include <gtest/gtest.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>

#include "fleet/fleet.hpp"
#include "process/child.hpp"

namespace pipitpond {
namespace {

constexpr core::Duration kRunLimit = std::chrono::seconds(120);

std::filesystem::path from_environment(const char* name) {
  const char* value = std::getenv(name);
  return value == nullptr ? "." : value;
}

std::string text_of(const std::filesystem::path& path) {
  std::ostringstream text;
  text << std::ifstream(path).rdbuf();
  return text.str();
}

class ExamplesTest : public ::testing::Test {
 protected:
  ExamplesTest() { std::filesystem::remove_all(folder); }
  ~ExamplesTest() override { std::filesystem::remove_all(folder); }

  /// Exit code; its output is in `output`.
  int run(const std::filesystem::path& program, std::vector<std::string> arguments) {
    std::filesystem::create_directories(folder);
    const std::filesystem::path log = folder / "output.log";
    std::filesystem::remove(log);
    auto child = process::Child::start({program, std::move(arguments), log});
    if (!child) {
      output = describe(child.error());
      return -1;
    }
    const int code = child.value()->wait(kRunLimit).value_or(-1);
    output = text_of(log);
    return code;
  }

  std::filesystem::path bin = from_environment("PIPITPOND_BIN");
  std::filesystem::path source = from_environment("PIPITPOND_SOURCE");
  std::filesystem::path folder =
      std::filesystem::path(::testing::TempDir()) / ("pipitpond-examples-" + std::to_string(::getpid()));
  std::string output;
};

TEST_F(ExamplesTest, EveryExampleFileIsWhole) {
  std::set<std::string> programs;
  for (const auto& entry : std::filesystem::directory_iterator(source / "config")) {
    const std::string name = entry.path().filename().string();
    const std::string program = "pipitpond-" + name.substr(0, name.find('.'));
    EXPECT_EQ(run(bin / program, {"--config", entry.path().string(), "--check"}), 0)
        << name << ": " << output;
    programs.insert(program);
  }
  EXPECT_GE(programs.size(), 7U);
  EXPECT_TRUE(programs.contains("pipitpond-proxy"));
}

TEST_F(ExamplesTest, EveryProgramTellsItsUseAndRefusesUnknownFlags) {
  for (const char* program :
       {"pipitpond-control", "pipitpond-proxy", "pipitctl", "pipitpond-database", "pipitpond-platform",
        "pipitpond-faultproxy", "pipitpond-load", "pipitpond-fleet", "pipitpond-simulate",
        "pipitpond-platform-proxy", "pipitpond-platform-control"}) {
    EXPECT_EQ(run(bin / program, {"--help"}), 0) << program << ": " << output;
    EXPECT_EQ(run(bin / program, {"--version"}), 0) << program << ": " << output;
    EXPECT_EQ(output.rfind(std::string(program) + " ", 0), 0U) << output;
    EXPECT_EQ(run(bin / program, {"--no-such-flag", "1"}), 2) << program << ": " << output;
  }
}

TEST_F(ExamplesTest, ABrokenFileIsRefused) {
  const std::string file = (source / "config" / "proxy.example.toml").string();
  EXPECT_EQ(run(bin / "pipitpond-proxy", {"--config", file, "--check", "--session.secret", "short"}), 2);
  EXPECT_NE(output.find("session.secret"), std::string::npos) << output;
}

TEST_F(ExamplesTest, TheCallsOfTheInterfacePageWorkAsPasted) {
  fleet::FleetPlan plan;
  plan.binaries = bin;
  plan.folder = folder / "fleet";
  plan.fault_proxies = false;
  fleet::DeploymentPlan deployment = fleet::small_plan();
  deployment.groups = {core::GroupName("plates")};
  plan.deployments = {deployment};
  auto started = fleet::Fleet::start(plan);
  ASSERT_TRUE(started.has_value()) << describe(started.error());
  fleet::Fleet& fleet = *started.value();
  std::string proxy;
  for (const auto& process : fleet.describe().processes) {
    proxy = process.kind == "proxy" ? core::to_string(process.endpoint) : proxy;
  }
  ASSERT_FALSE(proxy.empty());
  ::setenv("PROXY", proxy.c_str(), 1);
  ::setenv("CONTROL", core::to_string(fleet.control_endpoints().front()).c_str(), 1);
  const std::string script = (source / "tests" / "examples" / "api_examples.sh").string();
  EXPECT_EQ(run("/bin/bash", {script, (source / "docs" / "API.md").string()}), 0) << output;
}

}  // namespace
}  // namespace pipitpond
