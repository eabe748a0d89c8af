#include "fuzz/run.hpp"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <fstream>
#include <future>
#include <iterator>
#include <memory>
#include <optional>
#include <thread>

#include "experiment/group_watch.hpp"
#include "experiment/observer.hpp"
#include "fleet/fleet.hpp"
#include "fuzz/caller.hpp"
#include "fuzz/faults.hpp"
#include "oracle/judge.hpp"
#include "oracle/marks.hpp"

namespace pipitpond::fuzz {
namespace {

using workload::Ending;
using workload::RequestRecord;

constexpr core::Duration kPoll = std::chrono::milliseconds(10);
constexpr core::Duration kIdleLimit = std::chrono::seconds(120);
constexpr core::Duration kLogLimit = std::chrono::seconds(60);
constexpr std::uint32_t kConnectionLimit = 24;
constexpr std::uint32_t kSlots = 4;
constexpr std::uint32_t kLongestPauseMs = 1500;
/// An answer that comes later than this after its deadline was held. Far above what a busy machine adds.
constexpr std::int64_t kHeldMs = 3000;
/// A request that began this long before a planned stop has reached its proxy.
constexpr workload::UnixMicros kArrivalTime = 50'000;
constexpr std::int64_t kMicrosPerMilli = 1000;

fleet::FleetPlan plan_of(const RunOptions& options) {
  fleet::FleetPlan plan;
  plan.binaries = options.binaries;
  plan.folder = options.folder;
  plan.deployments = {fleet::small_plan()};
  plan.deployments.front().proxies_per_zone = options.proxies_per_zone;
  plan.deployments.front().slots = kSlots;
  plan.deployments.front().connection_limit = kConnectionLimit;
  plan.deployments.front().connection_cost = std::chrono::milliseconds(10);
  plan.platform_lag = std::chrono::milliseconds(500);
  plan.seed = options.seed;
  return plan;
}

std::string dump(const nlohmann::json& json) {
  return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

/// Callers and the observer on a thread of their own, beside the thread that begins and ends faults.
class Callers {
 public:
  Callers(const experiment::Fleet& fleet, core::GroupName group)
      : fleet_(fleet),
        work_(io_.get_executor()),
        context_{io_, std::move(group), {}, {}, {}, {}},
        observer_(io_, fleet_) {
    for (const experiment::FleetProcess& process : fleet_.of_kind("proxy", "")) {
      context_.proxies.push_back({process.name, process.zone, process.endpoint});
    }
    for (std::uint32_t number = 0; number < kCallers; ++number) {
      callers_.push_back(std::make_unique<Caller>(context_, "caller-" + std::to_string(number)));
    }
    observer_.start();
    thread_ = std::thread([this] { io_.run(); });
  }
  ~Callers() { stop(); }
  Callers(const Callers&) = delete;
  Callers& operator=(const Callers&) = delete;

  void push(const Command& command) {
    boost::asio::post(io_, [this, command] { callers_.at(command.caller)->push(command); });
  }
  void push_settlement() {
    boost::asio::post(io_, [this] {
      for (const auto& caller : callers_) {
        caller->push_settlement();
      }
    });
  }
  bool wait_idle() {
    const core::Instant give_up = core::BootClock::now() + kIdleLimit;
    while (core::BootClock::now() < give_up) {
      std::promise<bool> idle;
      boost::asio::post(io_, [this, &idle] {
        idle.set_value(
            std::all_of(callers_.begin(), callers_.end(), [](const auto& caller) { return caller->idle(); }));
      });
      if (idle.get_future().get()) {
        return true;
      }
      std::this_thread::sleep_for(kPoll);
    }
    return false;
  }
  void stop() {
    if (thread_.joinable()) {
      io_.stop();
      thread_.join();
    }
  }
  /// Once stopped.
  [[nodiscard]] CallerContext& context() { return context_; }
  [[nodiscard]] const oracle::Observations& observations() const { return observer_.observations(); }

 private:
  experiment::Fleet fleet_;
  boost::asio::io_context io_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
  CallerContext context_;
  experiment::Observer observer_;
  std::vector<std::unique_ptr<Caller>> callers_;
  std::thread thread_;
};

boost::asio::awaitable<void> read_log(boost::asio::io_context& io, experiment::Fleet fleet,
                                      core::GroupName group,
                                      std::optional<core::Result<oracle::GroupLog>>& log) {
  log.emplace(co_await experiment::read_log(io, std::move(fleet), std::move(group), kLogLimit));
}

core::Result<oracle::GroupLog> read_log(const experiment::Fleet& fleet, const core::GroupName& group) {
  boost::asio::io_context io;
  std::optional<core::Result<oracle::GroupLog>> log;
  boost::asio::co_spawn(io, read_log(io, fleet, group, log), [](std::exception_ptr failure) {
    if (failure) {
      std::rethrow_exception(failure);
    }
  });
  io.run();
  return std::move(*log);
}

/// Whether the proxy was killed, frozen or being stopped at any time of the request.
bool was_absent(const RequestRecord& record, const std::vector<oracle::Absence>& absences) {
  return std::any_of(absences.begin(), absences.end(), [&record](const oracle::Absence& absence) {
    return absence.proxy == record.proxy && absence.began_us <= record.ended_us &&
           absence.ended_us >= record.began_us;
  });
}

std::string name_of(const RequestRecord& record) {
  return record.caller + " at " + record.proxy + ", key '" + record.key.value() + "', request " +
         record.request + ", began " + std::to_string(record.began_us);
}

/// Whether the proxy had the request when its planned stop began.
bool was_in_progress(const RequestRecord& record, const std::vector<oracle::Absence>& planned_stops) {
  return std::any_of(planned_stops.begin(), planned_stops.end(), [&record](const oracle::Absence& stop) {
    return stop.proxy == record.proxy && record.began_us + kArrivalTime < stop.began_us &&
           stop.began_us < record.ended_us;
  });
}

/// Each request to a sound proxy got its whole answer within its deadline.
void judge_answers(const CallerContext& context, const Faults& faults, RunReport& report) {
  for (std::size_t index = 0; index < context.history.requests.size(); ++index) {
    const RequestRecord& record = context.history.requests[index];
    ++report.endings[nlohmann::json(record.ending).get<std::string>()];
    report.unsettled += workload::is_write(record) && record.ending == Ending::kUnknown ? 1 : 0;
    if (record.ending == Ending::kUnfinished) {
      report.findings.push_back("held: " + name_of(record) + " never ended");
      continue;
    }
    if (record.remark == kLeftRemark) {
      continue;
    }
    if (record.ending == Ending::kAnswerLost && was_in_progress(record, faults.planned_stops())) {
      report.findings.push_back("cut: a planned stop cut " + name_of(record));
    }
    if (was_absent(record, faults.absences())) {
      continue;
    }
    const std::int64_t took_ms = (record.ended_us - record.began_us) / kMicrosPerMilli;
    const std::int64_t overshoot_ms = took_ms - context.deadline_ms[index];
    report.longest_overshoot_ms = std::max(report.longest_overshoot_ms, overshoot_ms);
    if (overshoot_ms > kHeldMs) {
      report.findings.push_back("held: " + name_of(record) + " took " + std::to_string(took_ms) + " ms");
    } else if (record.ending == Ending::kAnswerLost) {
      report.findings.push_back("cut: " + name_of(record) + " got no answer: " + record.error_message);
    }
  }
}

void judge_limits(const oracle::Observations& observations, RunReport& report) {
  for (const oracle::DatabaseSample& sample : observations.databases) {
    const database::StatusAnswer& status = sample.status;
    if (status.connections > status.connection_limit || status.slots_in_use > status.slots) {
      report.findings.push_back("limit: " + dump(status));
    }
  }
  report.connections_refused = oracle::connections_over_limit(observations);
  report.statements_refused = oracle::statements_over_limit(observations);
}

/// True when a finding names the text.
bool is_named(const std::vector<std::string>& findings, const std::string& text) {
  return !text.empty() && std::any_of(findings.begin(), findings.end(), [&text](const std::string& finding) {
    return finding.find(text) != std::string::npos;
  });
}

std::string mark_of(const std::vector<nlohmann::json>& statements) {
  const std::string mark = statements.empty() ? "" : statements.front().value("mark", "");
  return mark.empty() ? "" : "'" + mark + "'";
}

/// Writes all requests, entries and faults into the run's folder, and keeps what the findings name as
/// excerpts.
void keep_evidence(const workload::History& history, const oracle::GroupLog& log,
                   const std::vector<std::string>& faults, const std::filesystem::path& folder,
                   RunReport& report) {
  std::ofstream requests(folder / "history.jsonl");
  for (const RequestRecord& record : history.requests) {
    const std::string line = dump(record);
    requests << line << '\n';
    if (is_named(report.findings, record.key.value()) || is_named(report.findings, record.request) ||
        is_named(report.findings, mark_of(record.statements))) {
      report.excerpts.push_back("request " + line);
    }
  }
  std::ofstream entries(folder / "log.jsonl");
  for (const database::LogEntry& entry : log.entries) {
    const std::string line = dump(entry);
    entries << line << '\n';
    if (entry.statements.empty() || is_named(report.findings, entry.key.value()) ||
        is_named(report.findings, mark_of(entry.statements))) {
      report.excerpts.push_back("log " + line);
    }
  }
  std::ofstream journal(folder / "faults.txt");
  for (const std::string& line : faults) {
    journal << line << '\n';
    report.excerpts.push_back("fault " + line);
  }
}

void add_findings(const std::vector<std::string>& findings, RunReport& report) {
  report.findings.insert(report.findings.end(), findings.begin(), findings.end());
}

void perform(const std::vector<Command>& commands, Callers& callers, Faults& faults) {
  for (const Command& command : commands) {
    const std::uint32_t pause =
        command.action == Action::kPause ? std::min(command.lasts_ms, kLongestPauseMs) : command.before_ms;
    const core::Instant next = core::BootClock::now() + std::chrono::milliseconds(pause);
    do {
      faults.end_due();
      std::this_thread::sleep_for(
          std::min(kPoll, std::max(core::Duration::zero(), next - core::BootClock::now())));
    } while (core::BootClock::now() < next);
    if (is_request(command.action)) {
      callers.push(command);
    } else {
      faults.begin(command);
    }
  }
}

}  // namespace

core::Result<RunReport> run(const std::vector<Command>& commands, const RunOptions& options) {
  BOOST_OUTCOME_TRY(running, fleet::Fleet::start(plan_of(options)));
  const core::GroupName group = running->plan().deployments.front().groups.front();
  Faults faults(*running, group);
  Callers callers(running->describe(), group);
  perform(commands, callers, faults);
  faults.end_all();
  callers.push_settlement();
  RunReport report;
  if (!callers.wait_idle()) {
    report.findings.push_back("held: callers still waited long after all faults had ended");
  }
  callers.stop();
  BOOST_OUTCOME_TRY(log, read_log(running->describe(), group));
  const CallerContext& context = callers.context();
  add_findings(context.findings, report);
  add_findings(faults.failures(), report);
  add_findings(oracle::judge(context.history, {log}, {}).findings, report);
  add_findings(oracle::judge_marks(context.history, log), report);
  judge_answers(context, faults, report);
  judge_limits(callers.observations(), report);
  report.faults = faults.begun();
  keep_evidence(context.history, log, faults.journal(), options.folder, report);
  return report;
}

}  // namespace pipitpond::fuzz
