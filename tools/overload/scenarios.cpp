#include "scenarios.hpp"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <iostream>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "experiment/database_counters.hpp"
#include "fleet/fleet.hpp"
#include "summary.hpp"
#include "workload/open_load.hpp"
#include "workload/proxy_client.hpp"

namespace pipitpond::overload {
namespace {

using nlohmann::json;
using workload::OpenLoadPlan;
using workload::OpenSample;
using workload::OpenStream;

constexpr std::uint32_t kZones = 3;
constexpr std::uint32_t kConnectionLimit = 35;
constexpr core::Duration kConnectionCost = std::chrono::milliseconds(10);
constexpr core::Duration kSampleInterval = std::chrono::milliseconds(100);
/// A database without samples for so long was lost.
constexpr core::Duration kRestartGap = std::chrono::seconds(1);
/// Left out at the start of a phase: queues fill and connections of callers are made.
constexpr core::Duration kWarmUp = std::chrono::seconds(1);
/// Between phases, so that queues are empty and usage has faded.
constexpr core::Duration kRest = std::chrono::seconds(2);
/// After a lost group has come back.
constexpr core::Duration kAfterReturn = std::chrono::seconds(10);
constexpr std::array kLoads = {0.5, 1.0, 1.5, 2.0, 3.0};
constexpr double kRivalLoad = 10.0;  ///< Of the other's share.
constexpr std::uint64_t kMaxRequests = 200'000;
constexpr double kPercent = 100.0;
constexpr double kMicrosPerSecond = 1e6;
constexpr double kMicrosPerMilli = 1000.0;
constexpr const char* kPrimaryOnly =
    "function read(request) return {target = \"primary\"} end\n"
    "function retry(request) return {attempts = 3, repeatable_writes = true} end\n";

const core::GroupName kGroup("records");

std::vector<experiment::FleetProcess> processes_of(fleet::Fleet& fleet, const std::string& kind) {
  std::vector<experiment::FleetProcess> chosen;
  for (const experiment::FleetProcess& process : fleet.describe().processes) {
    if (process.kind == kind) {
      chosen.push_back(process);
    }
  }
  return chosen;
}

fleet::FleetPlan plan_of(const Settings& settings) {
  fleet::DeploymentPlan deployment = fleet::small_plan();
  deployment.groups = {kGroup};
  deployment.proxies_per_zone = std::max(1U, settings.proxies / kZones);
  deployment.slots = settings.slots;
  deployment.connection_limit = kConnectionLimit;
  deployment.connection_cost = kConnectionCost;
  deployment.policy = {core::PolicyName("primary-only"), kPrimaryOnly};
  fleet::FleetPlan plan;
  plan.binaries = settings.binaries;
  plan.folder = settings.folder;
  plan.deployments = {std::move(deployment)};
  plan.fault_proxies = false;
  plan.database_work = settings.work;
  plan.seed = settings.seed;
  return plan;
}

/// A running fleet and what drives it.
class Bench {
 public:
  static core::Result<std::unique_ptr<Bench>> start(const Settings& settings) {
    BOOST_OUTCOME_TRY(running, fleet::Fleet::start(plan_of(settings)));
    std::unique_ptr<Bench> bench(new Bench(settings, std::move(running)));
    return bench;
  }

  [[nodiscard]] fleet::Fleet& fleet() { return *fleet_; }
  [[nodiscard]] boost::asio::io_context& io() { return io_; }
  /// Statements a second that one database can run.
  [[nodiscard]] double capacity() const {
    return settings_.slots * kMicrosPerSecond / static_cast<double>(settings_.work.count());
  }

  [[nodiscard]] OpenLoadPlan load_plan(std::vector<OpenStream> streams, core::Duration duration) {
    OpenLoadPlan plan;
    for (const experiment::FleetProcess& proxy : processes_of(*fleet_, "proxy")) {
      plan.proxies.push_back(proxy.endpoint);
    }
    plan.group = kGroup;
    plan.streams = std::move(streams);
    plan.duration = duration;
    plan.deadline_ms = settings_.deadline_ms;
    plan.max_requests = kMaxRequests;
    plan.seed = settings_.seed + loads_;
    plan.key_prefix = "load" + std::to_string(++loads_);
    return plan;
  }

  /// Runs a load to its end, with a rest after it.
  std::vector<OpenSample> run(const OpenLoadPlan& plan) {
    std::vector<OpenSample> samples;
    workload::start_open_load(io_, plan, samples);
    drain();
    rest(kRest);
    return samples;
  }

  /// Runs what is on the io_context to its end.
  void drain() {
    io_.restart();
    io_.run();
  }

  void rest(core::Duration duration) {
    boost::asio::co_spawn(io_, workload::pause(io_, duration), boost::asio::detached);
    drain();
  }

  /// Counters of all databases, by database; one that does not answer is missing.
  std::map<std::string, std::map<std::string, std::uint64_t>> counters() {
    std::map<std::string, std::map<std::string, std::uint64_t>> all;
    for (const experiment::FleetProcess& database : processes_of(*fleet_, "database")) {
      const auto reply = fleet_->call(database.name, "GET", "/metrics");
      if (reply) {
        all[database.name] = experiment::parse_counters(reply.value().text, "pipitpond_database_");
      }
    }
    return all;
  }

  /// Attempts and retries of all proxies.
  json proxy_counters() {
    json sums = {
        {"attempts_total", 0}, {"retries_total", 0}, {"forwarded_total", 0}, {"overloaded_total", 0}};
    for (const experiment::FleetProcess& proxy : processes_of(*fleet_, "proxy")) {
      const auto reply = fleet_->call(proxy.name, "GET", "/metrics");
      if (!reply) {
        continue;
      }
      const auto values = experiment::parse_counters(reply.value().text, "pipitpond_proxy_");
      for (auto& [name, sum] : sums.items()) {
        const auto found = values.find(name);
        sum = sum.get<std::uint64_t>() + (found == values.end() ? 0 : found->second);
      }
    }
    return sums;
  }

  /// What the databases counted against their limits, since their start.
  json limits() {
    json report;
    for (const auto& [name, values] : counters()) {
      report[name] = values;
    }
    return {{"slots", settings_.slots}, {"connection_limit", kConnectionLimit}, {"databases", report}};
  }

  json description() {
    return {{"proxies", settings_.proxies},
            {"slots", settings_.slots},
            {"work_ms", static_cast<double>(settings_.work.count()) / kMicrosPerMilli},
            {"capacity_per_second", capacity()},
            {"deadline_ms", settings_.deadline_ms},
            {"seed", settings_.seed},
            {"policy", kPrimaryOnly}};
  }

 private:
  Bench(Settings settings, std::unique_ptr<fleet::Fleet> fleet)
      : settings_(std::move(settings)), fleet_(std::move(fleet)) {}

  Settings settings_;
  std::unique_ptr<fleet::Fleet> fleet_;
  boost::asio::io_context io_{1};
  std::uint64_t loads_ = 0;
};

OpenStream stream_of(const std::string& tenant, double per_second) {
  return {core::TenantName(tenant), per_second, 0.5};
}

double p99_of(const json& summary) {
  const json& value = summary.at("done_ms").at("p99");
  return value.is_null() ? 0.0 : value.get<double>();
}

/// Connections opened at all databases in each second, from consecutive samples. The counters of processes
/// that were killed began anew after the gap in their samples.
json opened_per_second(const std::vector<experiment::CounterSample>& samples, Loss loss) {
  std::map<std::string, experiment::CounterSample> last;
  std::map<std::int64_t, std::uint64_t> opened;
  for (const experiment::CounterSample& sample : samples) {
    const std::uint64_t value = sample.values.at("connections_opened_total");
    const auto known = last.find(sample.database);
    if (known != last.end()) {
      const bool began_anew = loss == Loss::kKilled && sample.at - known->second.at > kRestartGap;
      const auto second = std::chrono::duration_cast<std::chrono::seconds>(sample.at).count();
      opened[second] += began_anew ? value : value - known->second.values.at("connections_opened_total");
    }
    last[sample.database] = sample;
  }
  json report = json::object();
  for (const auto& [second, count] : opened) {
    report[std::to_string(second)] = count;
  }
  return report;
}

core::Result<void> lose(fleet::Fleet& fleet, const std::vector<experiment::FleetProcess>& databases,
                        Loss loss) {
  for (const experiment::FleetProcess& database : databases) {
    BOOST_OUTCOME_TRYV(loss == Loss::kKilled ? fleet.kill(database.name) : fleet.freeze(database.name));
  }
  return core::outcome::success();
}

core::Result<void> bring_back(fleet::Fleet& fleet, const std::vector<experiment::FleetProcess>& databases,
                              Loss loss) {
  for (const experiment::FleetProcess& database : databases) {
    BOOST_OUTCOME_TRYV(loss == Loss::kKilled ? fleet.start_process(database.name)
                                             : fleet.thaw(database.name));
  }
  return core::outcome::success();
}

/// Loses all databases after one phase and brings them back after another.
boost::asio::awaitable<void> lose_for_a_phase(Bench& bench, core::Duration phase, Loss loss,
                                              core::Result<void>& result) {
  const auto databases = processes_of(bench.fleet(), "database");
  co_await workload::pause(bench.io(), phase);
  result = lose(bench.fleet(), databases, loss);
  if (!result) {
    co_return;
  }
  co_await workload::pause(bench.io(), phase);
  result = bring_back(bench.fleet(), databases, loss);
}

boost::asio::awaitable<void> stop_later(Bench& bench, experiment::DatabaseCounters& counters,
                                        core::Duration duration) {
  co_await workload::pause(bench.io(), duration);
  counters.stop();
}

/// Milliseconds from `since` until the first answer "done" to a request that arrived after it; null without
/// any.
json first_done_after(const std::vector<OpenSample>& samples, core::Duration since) {
  std::optional<core::Duration> first;
  for (const OpenSample& sample : samples) {
    const core::Duration at = sample.sent_at + sample.took;
    if (sample.sent_at >= since && sample.outcome == "done" && (!first || at < *first)) {
      first = at;
    }
  }
  return first ? json(static_cast<double>((*first - since).count()) / kMicrosPerMilli) : json(nullptr);
}

}  // namespace

core::Result<json> run_capacity(const Settings& settings) {
  BOOST_OUTCOME_TRY(bench, Bench::start(settings));
  json phases = json::array();
  double peak = 0;
  for (const double load : kLoads) {
    const OpenLoadPlan plan =
        bench->load_plan({stream_of("callers", load * bench->capacity())}, settings.phase);
    const auto samples = bench->run(plan);
    json summary = summarize(samples, {kWarmUp, settings.phase, {}}, settings.deadline_ms);
    peak = std::max(peak, summary["goodput_per_second"].get<double>());
    summary["load"] = load;
    std::cerr << summary.dump() << "\n";
    phases.push_back(std::move(summary));
  }
  const double last = phases.back()["goodput_per_second"].get<double>();
  return json{{"fleet", bench->description()},
              {"phases", std::move(phases)},
              {"goodput_at_greatest_load_by_peak", peak > 0 ? last / peak : 0},
              {"at_databases", bench->limits()},
              {"at_proxies", bench->proxy_counters()}};
}

core::Result<json> run_tenants(const Settings& settings) {
  BOOST_OUTCOME_TRY(bench, Bench::start(settings));
  const double share = bench->capacity() / 2;
  const double load = settings.tenant_percent / kPercent;
  const OpenStream board = stream_of("board", load * share);
  const OpenStream rival = stream_of("ingest", kRivalLoad * share);
  json rounds = json::array();
  std::vector<double> ratios;
  for (std::uint32_t round = 0; round < settings.rounds; ++round) {
    const auto alone = bench->run(bench->load_plan({board}, settings.phase));
    const auto both = bench->run(bench->load_plan({board, rival}, settings.phase));
    const Window first{kWarmUp, settings.phase, 0};
    const Window second{kWarmUp, settings.phase, 1};
    json figures = {{"board_alone", summarize(alone, first, settings.deadline_ms)},
                    {"board_with_rival", summarize(both, first, settings.deadline_ms)},
                    {"rival", summarize(both, second, settings.deadline_ms)}};
    ratios.push_back(p99_of(figures["board_with_rival"]) / std::max(0.001, p99_of(figures["board_alone"])));
    figures["p99_ratio"] = ratios.back();
    std::cerr << figures.dump() << "\n";
    rounds.push_back(std::move(figures));
  }
  std::sort(ratios.begin(), ratios.end());
  return json{{"fleet", bench->description()},
              {"board_load_of_its_share", load},
              {"rival_load_of_its_share", kRivalLoad},
              {"rounds", std::move(rounds)},
              {"p99_ratio_median", ratios.empty() ? 0 : ratios[ratios.size() / 2]},
              {"at_databases", bench->limits()},
              {"at_proxies", bench->proxy_counters()}};
}

core::Result<json> run_group_down(const Settings& settings, Loss loss) {
  BOOST_OUTCOME_TRY(bench, Bench::start(settings));
  const core::Duration length = 2 * settings.phase + kAfterReturn;
  const OpenLoadPlan plan = bench->load_plan({stream_of("callers", bench->capacity() / 2)}, length);
  const json before = bench->proxy_counters();
  experiment::DatabaseCounters counters(bench->io(), processes_of(bench->fleet(), "database"));
  counters.start(kSampleInterval);
  std::vector<OpenSample> samples;
  core::Result<void> faults = core::outcome::success();
  workload::start_open_load(bench->io(), plan, samples);
  boost::asio::co_spawn(bench->io(), lose_for_a_phase(*bench, settings.phase, loss, faults),
                        boost::asio::detached);
  boost::asio::co_spawn(bench->io(), stop_later(*bench, counters, length), boost::asio::detached);
  bench->drain();
  BOOST_OUTCOME_TRYV(faults);
  const core::Duration back = 2 * settings.phase;
  json phases = {
      {"before", summarize(samples, {kWarmUp, settings.phase, {}}, settings.deadline_ms)},
      {"down", summarize(samples, {settings.phase, back, {}}, settings.deadline_ms)},
      {"down_after_1_s", summarize(samples, {settings.phase + kWarmUp, back, {}}, settings.deadline_ms)},
      {"back", summarize(samples, {back, length, {}}, settings.deadline_ms)},
      {"back_after_5_s", summarize(samples, {back + kAfterReturn / 2, length, {}}, settings.deadline_ms)}};
  std::cerr << phases.dump() << "\n";
  return json{{"fleet", bench->description()},
              {"loss", loss == Loss::kKilled ? "killed" : "frozen"},
              {"down_from_second", static_cast<double>(settings.phase.count()) / kMicrosPerSecond},
              {"down_until_second", static_cast<double>(back.count()) / kMicrosPerSecond},
              {"phases", std::move(phases)},
              {"first_done_after_return_ms", first_done_after(samples, back)},
              {"connections_opened_by_second", opened_per_second(counters.samples(), loss)},
              {"at_databases", bench->limits()},
              {"at_proxies_before", before},
              {"at_proxies", bench->proxy_counters()}};
}

}  // namespace pipitpond::overload
