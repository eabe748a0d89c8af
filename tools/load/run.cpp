#include "run.hpp"

#include <boost/asio/co_spawn.hpp>
#include <exception>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <memory>

#include "experiment/baseline.hpp"
#include "experiment/fault_injector.hpp"
#include "experiment/group_watch.hpp"
#include "experiment/observer.hpp"
#include "experiment/operator_loop.hpp"
#include "plots.hpp"
#include "workload/workload.hpp"

namespace pipitpond::load {
namespace {

constexpr core::Duration kPollPause = std::chrono::milliseconds(100);
constexpr core::Duration kFinishPatience = std::chrono::seconds(45);
constexpr core::Duration kLogPatience = std::chrono::seconds(30);
constexpr core::Duration kSettleTime = std::chrono::seconds(1);

/// Everything of one run that lives until its report is written.
class Experiment {
 public:
  Experiment(boost::asio::io_context& io, const Options& options, const experiment::Fleet& fleet)
      : io_(io),
        options_(options),
        fleet_(fleet),
        observer_(io, fleet),
        operators_(io, fleet, observer_.observations()),
        injector_(io, fleet, options.workloads, operators_, observer_.observations()) {}

  void add(workload::Deployment deployment) {
    deployment.variant = options_.variant;
    workloads_.push_back(std::make_unique<workload::Workload>(io_, std::move(deployment), options_.seed));
  }

  boost::asio::awaitable<void> run() {
    if (options_.variant != workload::Variant::kSession) {
      co_await apply_baseline();
    }
    co_await drive();
    co_await read_logs();
    observer_.stop();
    report();
    io_.stop();
  }

  [[nodiscard]] const oracle::Report& result() const { return report_; }

 private:
  boost::asio::awaitable<void> apply_baseline() {
    for (const auto& one : workloads_) {
      for (const core::GroupName& group : one->deployment().groups) {
        const bool applied = co_await experiment::apply_baseline_policy(operators_, group);
        if (!applied) {
          fail("the baseline's policy could not be set for group " + group.value());
        }
      }
    }
  }

  boost::asio::awaitable<void> drive() {
    const core::Duration length = std::chrono::seconds(options_.seconds);
    began_us_ = workload::unix_micros_now();
    observer_.start();
    operators_.start();
    for (const auto& one : workloads_) {
      one->start(length);
    }
    if (options_.variant_name == kNoFailover) {
      injector_.prevent_failover();
    }
    injector_.start(experiment::plan_faults(options_.seed, length, options_.faults));
    co_await workload::pause(io_, length);
    for (const auto& one : workloads_) {
      one->stop();
    }
    operators_.stop();
    const core::Instant give_up = core::BootClock::now() + kFinishPatience;
    while (!finished() && core::BootClock::now() < give_up) {
      co_await workload::pause(io_, kPollPause);
    }
    if (!finished()) {
      fail("callers or faults did not finish in time");
    }
    // Lets the proxies show the last change.
    co_await workload::pause(io_, kSettleTime);
  }

  [[nodiscard]] bool finished() const {
    bool all = injector_.finished();
    for (const auto& one : workloads_) {
      all = all && one->finished();
    }
    return all;
  }

  boost::asio::awaitable<void> read_logs() {
    for (const auto& one : workloads_) {
      for (const core::GroupName& group : one->deployment().groups) {
        auto log = co_await experiment::read_log(io_, fleet_, group, kLogPatience);
        if (log) {
          logs_.push_back(std::move(log.value()));
        } else {
          fail(describe(log.error()));
        }
      }
    }
  }

  void report() {
    report_.seed = options_.seed;
    report_.seconds = options_.seconds;
    report_.commit = options_.commit;
    report_.variant = options_.variant_name;
    for (const std::string& failure : injector_.failures()) {
      fail(failure);
    }
    for (const auto& one : workloads_) {
      report_.workloads.push_back(report_of(*one));
    }
    std::size_t index = 0;
    for (const auto& one : workloads_) {
      write_files(*one, report_.workloads[index]);
      ++index;
    }
  }

  oracle::WorkloadReport report_of(const workload::Workload& one) const {
    const std::string& name = one.deployment().name;
    const oracle::Observations seen = observer_.of_deployment(name);
    oracle::WorkloadReport result;
    result.workload = name;
    result.faults = injector_.of_deployment(name);
    result.measures = oracle::measure(one.history(), result.faults);
    result.verdict = oracle::judge(one.history(), logs_, result.faults);
    result.connections_over_limit = oracle::connections_over_limit(seen);
    result.statements_over_limit = oracle::statements_over_limit(seen);
    result.spread = oracle::configuration_spread(seen);
    result.unfair_operator_races = injector_.unfair_races();
    return result;
  }

  void write_files(const workload::Workload& one, const oracle::WorkloadReport& result) {
    const oracle::Observations seen = observer_.of_deployment(result.workload);
    if (!write_plot_files({result, one.history(), seen, began_us_}, options_.out)) {
      fail("plot files could not be written");
    }
    const std::string path = options_.out + "/history-" + result.workload + ".jsonl";
    if (options_.keep_history && !write_history(one.history(), path)) {
      fail(path + " could not be written");
    }
  }

  void fail(const std::string& what) { report_.harness_failures.push_back(what); }

  boost::asio::io_context& io_;
  const Options& options_;
  const experiment::Fleet& fleet_;
  experiment::Observer observer_;
  experiment::OperatorLoop operators_;
  experiment::FaultInjector injector_;
  std::vector<std::unique_ptr<workload::Workload>> workloads_;
  std::vector<oracle::GroupLog> logs_;
  workload::UnixMicros began_us_ = 0;
  oracle::Report report_;
};

void write_text(const std::string& path, const std::string& text) {
  std::ofstream file(path);
  file << text;
  file.flush();
  if (!file) {
    std::cerr << "pipitpond-load: " << path << " could not be written\n";
  }
}

nlohmann::json read_baseline(const std::string& path) {
  if (path.empty()) {
    return nullptr;
  }
  std::ifstream file(path);
  const nlohmann::json baseline = nlohmann::json::parse(file, nullptr, false);
  return baseline.is_discarded() ? nlohmann::json() : baseline;
}

}  // namespace

core::Result<oracle::Report> run(const Options& options, const experiment::Fleet& fleet) {
  boost::asio::io_context io;
  Experiment experiment(io, options, fleet);
  for (const std::string& name : options.workloads) {
    auto deployment = experiment::deployment_in(fleet, name);
    if (!deployment) {
      return deployment.error();
    }
    experiment.add(std::move(deployment.value()));
  }
  std::error_code failed;
  std::filesystem::create_directories(options.out, failed);
  if (failed) {
    return core::Error{core::ErrorKind::kUnavailable, options.out + " can't be made: " + failed.message(),
                       "Name a folder that can be written with --out.", 0};
  }
  boost::asio::co_spawn(io, experiment.run(), [](std::exception_ptr failure) {
    if (failure) {
      std::rethrow_exception(failure);
    }
  });
  io.run();
  const oracle::Report& report = experiment.result();
  constexpr int kIndent = 2;
  write_text(options.out + "/report.json", to_report_json(report).dump(kIndent) + "\n");
  write_text(options.out + "/details.json", to_details_json(report).dump(kIndent) + "\n");
  write_text(options.out + "/report.md", to_markdown(report, read_baseline(options.baseline)));
  return report;
}

}  // namespace pipitpond::load
