// Runs of a fleet of real processes under overlapping faults, judged by an oracle. Seeds that once failed are
// kept here; scripts/soak plays fresh ones (PIPITPOND_SOAK_SEEDS="FIRST LAST", PIPITPOND_SOAK_SECONDS).
#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <filesystem>
#include <iostream>
#include <optional>
#include <sstream>

#include "pooling/waiting.hpp"
#include "soak/configuration_rule.hpp"
#include "soak/configuration_traffic.hpp"
#include "soak/judge.hpp"
#include "soak/moving_route_callers.hpp"
#include "soak/platform_links.hpp"
#include "soak/soak_caller.hpp"
#include "soak/soak_faults.hpp"

namespace pipitpond::soak {
namespace {

using std::chrono::milliseconds;

constexpr int kDatabases = 3;
constexpr int kDefaultSeconds = 8;
/// In which every proxy serves writes again after all has been without power, half of what users allow.
constexpr milliseconds kRecoverLimit(7500);

/// How long the fleet stays without a fault once all bounds in time have passed.
constexpr core::Duration kCalmTime = std::chrono::seconds(1);
/// The draws of the configuration's traffic are not those of the faults.
constexpr std::uint64_t kTrafficSeed = 0x9E3779B97F4A7C15;
constexpr std::uint64_t kMovingRouteSeed = 0x8EBC6AF09C88C6E3;

/// Pause of a probe between two tries.
constexpr milliseconds kProbePause(20);

/// A proxy that is asked for a write until it serves one.
struct ProxyProbe {
  std::size_t proxy = 0;
  bool ended = false;
  std::optional<core::Instant> served;
  milliseconds write_took{0};
  int sessions_refused = 0;
  int writes_refused = 0;
  std::string last_refusal;
};

/// How many processes a run has.
struct FleetSize {
  int controls = 3;
  int proxies = 3;
  std::uint64_t callers = 8;
};

/// A folder of its own for each run's fault proxy.
std::filesystem::path run_folder(std::uint64_t seed) {
  std::filesystem::path folder = std::filesystem::temp_directory_path() /
                                 ("pipitpond-soak-" + std::to_string(getpid()) + "-" + std::to_string(seed));
  std::filesystem::create_directories(folder);
  return folder;
}

/// The service beside the fleet's own one. Nothing happens to its databases.
platform_stage::ServiceOptions second_service(const platform::PlatformFleet& fleet) {
  platform_stage::ServiceOptions options;
  options.name = kSecondServiceName;
  options.databases = kDatabases;
  for (std::size_t number = 0; number < fleet.controls(); ++number) {
    options.control.push_back(fleet.control_http(number));
  }
  return options;
}

class SoakRun {
 public:
  SoakRun(std::uint64_t seed, const FleetSize& size)
      : folder_(run_folder(seed)),
        database_links_(folder_, kDatabases, seed),
        rule_(static_cast<std::size_t>(size.controls)),
        fleet_(database_links_.service(), size.controls, size.proxies,
               [this, seed](platform::PlatformFleet& fleet) {
                 machine_links_ = std::make_unique<MachineLinks>(fleet, kMostReplacedControls, seed);
               }),
        second_service_(fleet_.io(), second_service(fleet_)),
        platform_links_(fleet_, kMostReplacedControls, seed),
        moving_route_callers_(fleet_, second_service_, kDatabases, rule_, seed ^ kMovingRouteSeed),
        traffic_(fleet_, rule_, seed ^ kTrafficSeed),
        faults_(fleet_, database_links_, *machine_links_, platform_links_, rule_, traffic_, seed) {
    fleet_.service().take_orders_for(second_service_);
    second_service_.start();
    std::vector<core::Endpoint> proxies;
    for (std::size_t number = 0; number < fleet_.proxies(); ++number) {
      proxies.push_back(fleet_.callers(number));
    }
    for (std::uint64_t number = 0; number < size.callers; ++number) {
      callers_.push_back(std::make_unique<SoakCaller>(fleet_.io(), proxies, number, seed));
    }
  }
  ~SoakRun() { std::filesystem::remove_all(folder_); }
  SoakRun(const SoakRun&) = delete;
  SoakRun& operator=(const SoakRun&) = delete;

  bool become_ready() { return fleet_.become_ready(); }

  void play(milliseconds length) {
    for (const auto& caller : callers_) {
      boost::asio::co_spawn(fleet_.io(), caller->run(), boost::asio::detached);
    }
    traffic_.start();
    moving_route_callers_.start();
    const core::Instant end = core::BootClock::now() + length;
    while (core::BootClock::now() < end) {
      faults_.step(core::BootClock::now());
      fleet_.pause(milliseconds(20));
    }
  }

  /// Ends all faults and waits until every proxy serves writes again.
  bool recover() {
    faults_.heal();
    for (std::size_t number = 0; number < fleet_.proxies(); ++number) {
      if (!fleet_.wait([&] { return serves(number); })) {
        return false;
      }
    }
    return true;
  }

  /// Time for the rule on configurations to hold at every proxy, and for what breaks it to show.
  void stay_calm() {
    fleet_.pause(std::chrono::duration_cast<milliseconds>(kContactTime + kInForceLimit + kCalmTime));
  }

  /// Loses one disk and all power, and waits until every proxy serves writes again.
  bool come_back_from_a_loss_of_everything() {
    faults_.wait_until_disks_caught_up();
    faults_.lose_a_disk_and_all_power();
    returned_ = core::BootClock::now();
    probes_.resize(fleet_.proxies());
    for (std::size_t number = 0; number < probes_.size(); ++number) {
      probes_[number].proxy = number;
      boost::asio::co_spawn(fleet_.io(), probe(probes_[number], returned_ + kRecoverLimit),
                            boost::asio::detached);
    }
    const core::Instant end = returned_ + kRecoverLimit;
    for (std::size_t number = 0; number < fleet_.proxies(); ++number) {
      const auto left = std::chrono::duration_cast<milliseconds>(end - core::BootClock::now());
      if (!fleet_.wait([&] { return serves(number); }, std::max(left, milliseconds(1)))) {
        return false;
      }
    }
    return fleet_.wait([this] { return probes_have_ended(); }) && all_probes_were_served();
  }

  bool stop_callers() {
    traffic_.stop();
    moving_route_callers_.stop();
    for (const auto& caller : callers_) {
      caller->stop();
    }
    return fleet_.wait([&] {
      return traffic_.ended() && moving_route_callers_.ended() &&
             std::all_of(callers_.begin(), callers_.end(),
                         [](const auto& caller) { return caller->ended(); });
    });
  }

  std::vector<std::string> judged() {
    const std::vector<Operation> operations = operations_of(callers_);
    operations_ = operations.size();
    return judge(operations, databases_end(fleet_.service(), kDatabases));
  }

  /// The rule on configurations, once more than while the run went on: read back from every replica.
  std::vector<std::string> judged_configurations() {
    std::vector<std::string> broken;
    if (!traffic_.read_back()) {
      broken.emplace_back("CONFIG: read back at the end: a replica gives no configuration");
    }
    broken.insert(broken.end(), rule_.broken().begin(), rule_.broken().end());
    return broken;
  }
  [[nodiscard]] const ConfigurationRule& rule() const { return rule_; }
  [[nodiscard]] std::size_t held_reads() const { return traffic_.held_reads(); }
  [[nodiscard]] const std::vector<std::string>& crashes() const { return faults_.crashes(); }

  [[nodiscard]] std::size_t operations() const { return operations_; }
  [[nodiscard]] std::size_t orders() { return fleet_.service().orders().size(); }
  [[nodiscard]] std::string story() const {
    std::string text;
    for (const std::string& line : faults_.told()) {
      text += line + "\n";
    }
    for (const ProxyProbe& one : probes_) {
      text += describe(one) + "\n";
    }
    return text;
  }

 private:
  bool serves(std::size_t proxy) {
    auto caller = fleet_.caller(proxy, "writes");
    return caller != nullptr && caller->query("WRITE probe probe/x").ok();
  }

  [[nodiscard]] bool probes_have_ended() const {
    return std::all_of(probes_.begin(), probes_.end(), [](const ProxyProbe& one) { return one.ended; });
  }

  [[nodiscard]] bool all_probes_were_served() const {
    const core::Instant end = returned_ + kRecoverLimit;
    return std::all_of(probes_.begin(), probes_.end(),
                       [end](const ProxyProbe& one) { return one.served && *one.served <= end; });
  }

  /// Asks one proxy for a write until it serves one, beside the other proxies: tells a proxy that serves
  /// nobody from one that was asked late.
  boost::asio::awaitable<void> probe(ProxyProbe& probe, core::Instant end) {
    while (!probe.served && core::BootClock::now() < end) {
      co_await try_write(probe);
      co_await pooling::pause_for(fleet_.io(), kProbePause);
    }
    probe.ended = true;
  }

  boost::asio::awaitable<void> try_write(ProxyProbe& probe) {
    const core::Instant begun = core::BootClock::now();
    platform::Caller caller(fleet_.io(), fleet_.callers(probe.proxy));
    const bool opened = co_await caller.open_session("writes");
    if (!opened) {
      ++probe.sessions_refused;
      co_return;
    }
    const platform::Answer answer = co_await caller.ask("WRITE probe probe/x");
    if (answer.ok()) {
      probe.served = core::BootClock::now();
      probe.write_took = std::chrono::duration_cast<milliseconds>(*probe.served - begun);
      co_return;
    }
    ++probe.writes_refused;
    probe.last_refusal = answer.connected ? answer.error : "the connection ended";
  }

  [[nodiscard]] std::string describe(const ProxyProbe& one) const {
    std::string text = "proxy " + std::to_string(one.proxy);
    if (one.served) {
      text += " served a write " + std::to_string(core::to_millis(*one.served - returned_)) +
              " ms after the return, in " + std::to_string(one.write_took.count()) + " ms";
    } else {
      text += " served no write";
    }
    return text + "; sessions refused: " + std::to_string(one.sessions_refused) +
           ", writes: " + std::to_string(one.writes_refused) + " " + one.last_refusal;
  }

  std::filesystem::path folder_;
  DatabaseLinks database_links_;
  std::vector<std::unique_ptr<SoakCaller>>
      callers_;                     ///< Outlive the fleet's io_context and their coroutines in it.
  std::vector<ProxyProbe> probes_;  ///< Of the return from the loss of everything; outlives its coroutines.
  ConfigurationRule rule_;
  std::unique_ptr<MachineLinks> machine_links_;  ///< Made while the fleet is.
  platform::PlatformFleet fleet_;
  platform_stage::Service second_service_;
  PlatformLinks platform_links_;
  MovingRouteCallers moving_route_callers_;
  ConfigurationTraffic traffic_;
  SoakFaults faults_;
  std::size_t operations_ = 0;
  core::Instant returned_{};
};

void soak(std::uint64_t seed, int seconds, const FleetSize& size = {}) {
  SCOPED_TRACE("seed " + std::to_string(seed));
  SoakRun run(seed, size);
  ASSERT_TRUE(run.become_ready());
  run.play(std::chrono::seconds(seconds));
  const bool recovered = run.recover();
  EXPECT_TRUE(recovered) << "a proxy serves no writes after all faults have ended\n" << run.story();
  run.stay_calm();
  if (recovered) {
    EXPECT_TRUE(run.come_back_from_a_loss_of_everything())
        << "a proxy serves no writes after a disk and all power were lost\n"
        << run.story();
    run.stay_calm();
  }
  EXPECT_TRUE(run.stop_callers()) << "a caller got no answer\n" << run.story();
  const std::vector<std::string> broken = run.judged();
  for (const std::string& line : broken) {
    ADD_FAILURE() << line;
  }
  EXPECT_THAT(run.judged_configurations(), ::testing::IsEmpty());
  EXPECT_THAT(run.crashes(), ::testing::IsEmpty()) << "processes that ended by themselves";
  EXPECT_GT(run.operations(), 100U);
  if (::testing::Test::HasFailure() || std::getenv("PIPITPOND_KEEP_LOGS") != nullptr) {
    std::cout << "seed " << seed << ":\n" << run.story();
  }
  std::cout << "soak: seed " << seed << ", " << run.operations() << " operations, "
            << run.rule().acknowledged().size() << " versions, " << run.rule().reads() << " reads, "
            << run.rule().observations() << " looks at proxies, " << run.held_reads()
            << " of them on held sessions, " << run.rule().route_uses() << " uses of the moving route, "
            << run.orders() << " orders to promote, " << broken.size() + run.rule().broken().size()
            << " broken promises" << std::endl;
}

class SoakSeeds : public ::testing::TestWithParam<std::uint64_t> {};

TEST_P(SoakSeeds, KeepsEveryPromise) {
  soak(GetParam(), kDefaultSeconds);
}

INSTANTIATE_TEST_SUITE_P(Kept, SoakSeeds, ::testing::Values(1, 2, 53009, 71006));

/// Five control replicas bear overlapping faults, and replaced machines.
TEST(Soak, KeepsEveryPromiseWithFiveControlReplicas) {
  soak(101, kDefaultSeconds, FleetSize{5, 4, 8});
}

/// A number from the environment, or the given one.
int number_or(const char* name, int otherwise) {
  const char* text = std::getenv(name);
  return text == nullptr ? otherwise : std::atoi(text);
}

TEST(Soak, FreshSeeds) {
  const char* range = std::getenv("PIPITPOND_SOAK_SEEDS");
  if (range == nullptr) {
    GTEST_SKIP() << "scripts/soak gives the seeds";
  }
  const int seconds = number_or("PIPITPOND_SOAK_SECONDS", kDefaultSeconds);
  FleetSize size;
  size.controls = number_or("PIPITPOND_SOAK_CONTROLS", size.controls);
  size.proxies = number_or("PIPITPOND_SOAK_PROXIES", size.proxies);
  size.callers =
      static_cast<std::uint64_t>(number_or("PIPITPOND_SOAK_CALLERS", static_cast<int>(size.callers)));
  std::istringstream words(range);
  std::uint64_t first = 0;
  std::uint64_t last = 0;
  words >> first >> last;
  for (std::uint64_t seed = first; seed <= last; ++seed) {
    soak(seed, seconds, size);
  }
}

}  // namespace
}  // namespace pipitpond::soak
