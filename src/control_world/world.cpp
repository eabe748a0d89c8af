#include "control_world/world.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <functional>
#include <memory>

#include "configuration/state_machine.hpp"
#include "control_world/daemon.hpp"
#include "control_world/faults.hpp"
#include "control_world/fleet.hpp"
#include "control_world/machine.hpp"
#include "control_world/operator.hpp"
#include "raft/types.hpp"

namespace pipitpond::control_world {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::size_t kFewFounders = 3;
constexpr std::size_t kManyFounders = 5;
constexpr std::uint32_t kManyPerMille = 400;
constexpr std::size_t kSpares = 2;
constexpr std::size_t kSeeds = 3;
constexpr std::uint64_t kMostEntriesPerAppend = 4;
constexpr std::size_t kDaemons = 4;
constexpr std::size_t kOperators = 4;
/// Rates of clocks differ by up to 5% from true time: what leases allow for.
constexpr std::int64_t kMostDriftPpm = 50'000;
constexpr core::Duration kFaultTime = seconds(40);
/// Of a thousand seeds, those in which a machine is cut off in silence for minutes, and how long faults go on
/// then.
constexpr std::uint32_t kLongSilencePerMille = 125;
constexpr core::Duration kFaultTimeAfterSilence = seconds(10);
/// Once faults have ended: until a change is accepted, until the daemons have it, and until lost disks are
/// replaced.
constexpr core::Duration kAcceptLimit = seconds(10);
constexpr core::Duration kSpreadLimit = seconds(5);
constexpr core::Duration kRepairLimit = seconds(20);
constexpr core::Duration kStep = milliseconds(20);
constexpr core::Duration kStable = seconds(2);

/// One run.
class Run : public Directory {
 public:
  explicit Run(const simulation::RunOptions& options)
      : random_(options.seed),
        trace_(scheduler_, options.trace),
        oracle_(trace_),
        network_(scheduler_, random_.fork()),
        fleet_{scheduler_, network_, trace_,           oracle_,
               *this,      random_,  options.switches, 1 + random_.below(kMostEntriesPerAppend)} {
    make_machines();
    make_daemons();
    for (std::uint16_t number = 1; number <= kOperators; ++number) {
      operators_.push_back(std::make_unique<Operator>(fleet_, number));
    }
  }

  simulation::SeedReport run() {
    Targets targets{machines(), {}, founders_};
    for (auto& daemon : daemons_) targets.daemons.push_back(daemon.get());
    FaultSchedule faults(fleet_, targets);
    start();
    faults.begin();
    pass(random_.chance(kLongSilencePerMille) ? faults.begin_long_silence() + kFaultTimeAfterSilence
                                              : kFaultTime);
    faults.end_all();
    check_recovery(faults);
    return report(faults);
  }

  ControlMachine* machine_at(const core::Endpoint& endpoint) override {
    for (auto& machine : machines_) {
      if (machine->endpoint() == endpoint) return machine.get();
    }
    return nullptr;
  }
  std::vector<core::Endpoint> seeds() override {
    std::vector<core::Endpoint> seeds;
    for (std::size_t place = 0; place < kSeeds; ++place) seeds.push_back(machines_[place]->endpoint());
    return seeds;
  }
  std::vector<ControlMachine*> machines() override {
    std::vector<ControlMachine*> all;
    for (auto& machine : machines_) all.push_back(machine.get());
    return all;
  }

 private:
  simulation::ClockDrift any_drift() {
    const auto rate = static_cast<std::int64_t>(random_.below(2 * kMostDriftPpm + 1)) - kMostDriftPpm;
    return {random_.between({}, seconds(1000)), static_cast<std::int32_t>(rate)};
  }

  void make_machines() {
    founders_ = random_.chance(kManyPerMille) ? kManyFounders : kFewFounders;
    for (std::size_t number = 1; number <= founders_ + kSpares; ++number) {
      machines_.push_back(
          std::make_unique<ControlMachine>(fleet_, static_cast<std::uint16_t>(number), any_drift()));
    }
    raft::Membership membership;
    for (std::size_t place = 0; place < founders_; ++place) {
      auto member = machines_[place]->as_member();
      member.id = core::ControlId(machines_[place]->host().name());
      membership.members.push_back(member);
    }
    const auto state = raft::bootstrap(membership, configuration::StateMachine().snapshot());
    for (std::size_t place = 0; place < founders_; ++place) machines_[place]->found(state);
  }

  void make_daemons() {
    std::vector<core::Endpoint> control;
    for (std::size_t place = 0; place < founders_; ++place) control.push_back(machines_[place]->endpoint());
    for (std::uint16_t number = 1; number <= kDaemons; ++number) {
      daemons_.push_back(std::make_unique<ControlDaemon>(fleet_, number, any_drift(), control));
    }
  }

  void start() {
    for (std::size_t place = 0; place < founders_; ++place) machines_[place]->start();
    for (auto& daemon : daemons_) daemon->start();
    for (auto& each : operators_) each->start();
  }

  /// Lets time pass; ends early at the first violation.
  void pass(core::Duration duration) {
    pass_until([] { return false; }, duration);
  }
  bool pass_until(const std::function<bool()>& condition, core::Duration limit) {
    const auto end = scheduler_.now() + limit;
    while (oracle_.violations().empty() && scheduler_.now() < end) {
      if (condition()) return true;
      scheduler_.run_for(kStep);
    }
    return oracle_.violations().empty() && condition();
  }
  void expect_within(const std::function<bool()>& condition, core::Duration limit, const std::string& what) {
    const bool held = pass_until(condition, limit);
    if (oracle_.violations().empty()) oracle_.require(held, what);
  }

  [[nodiscard]] protocol::Revision newest_accepted() const {
    protocol::Revision newest = 0;
    for (const auto& each : operators_) newest = std::max(newest, each->last_accepted());
    return newest;
  }

  void check_recovery(FaultSchedule& faults) {
    const auto before = newest_accepted();
    const auto end_of_faults = scheduler_.now();
    expect_within([&] { return newest_accepted() > before; }, kAcceptLimit,
                  "No change was accepted after the faults ended.");
    accepted_after_ = scheduler_.now() - end_of_faults;
    const auto wanted = newest_accepted();
    const auto accepted_at = scheduler_.now();
    const auto has_it = [&](const auto& daemon) {
      return daemon->revision() >= wanted && daemon->has_lease();
    };
    expect_within([&] { return std::all_of(daemons_.begin(), daemons_.end(), has_it); }, kSpreadLimit,
                  "A daemon has no lease, or not the accepted change, in time.");
    spread_after_ = scheduler_.now() - accepted_at;
    expect_within([&] { return faults.whole(); }, kRepairLimit, "A lost disk was not replaced in time.");
    for (auto& each : operators_) each->finish();
    const auto idle = [](const auto& each) { return each->idle(); };
    expect_within([&] { return std::all_of(operators_.begin(), operators_.end(), idle); }, kAcceptLimit,
                  "A change was never answered.");
    check_calm(faults);
  }

  void check_calm(FaultSchedule& faults) {
    pass(kStable);
    const auto term = oracle_.newest_leader_term();
    pass(kStable);
    if (!oracle_.violations().empty()) return;
    oracle_.require(term == oracle_.newest_leader_term(), "The leader changed although nothing was wrong.");
    auto* leader = faults.leader();
    oracle_.require(leader != nullptr, "Nobody leads although nothing was wrong.");
    if (leader == nullptr) return;
    for (const auto& member : leader->process()->node().membership().members) {
      auto* machine = machine_at(member.internal);
      const bool runs = machine->process() != nullptr;
      oracle_.require(runs, "Member " + member.id.value() + " does not run.");
      if (!runs) continue;
      oracle_.check_final(member.id, machine->process()->machine().configuration());
    }
  }

  simulation::SeedReport report(const FaultSchedule& faults) {
    simulation::SeedReport report;
    report.violations = oracle_.violations();
    report.counts = faults.counts();
    report.counts["elections"] = oracle_.elections();
    report.counts["changes-answered"] = oracle_.changes_answered();
    report.counts["conflicts-answered"] = oracle_.conflicts_answered();
    report.counts["resent-to-another-machine"] = oracle_.resends().to_another_machine;
    report.counts["resent-after-leader-change"] = oracle_.resends().after_leader_change;
    report.counts["resent-after-restart"] = oracle_.resends().after_restart;
    report.counts["log-entries"] = oracle_.last_index();
    report.counts["events"] = scheduler_.events_run();
    report.counts["accept-ms-sum"] = static_cast<std::uint64_t>(core::to_millis(accepted_after_));
    report.counts["spread-ms-sum"] = static_cast<std::uint64_t>(core::to_millis(spread_after_));
    return report;
  }

  simulation::Scheduler scheduler_;
  simulation::Random random_;
  simulation::Trace trace_;
  Oracle oracle_;
  simulation::Network network_;
  Fleet fleet_;
  std::size_t founders_ = 0;
  std::vector<std::unique_ptr<ControlMachine>> machines_;
  std::vector<std::unique_ptr<ControlDaemon>> daemons_;
  std::vector<std::unique_ptr<Operator>> operators_;
  core::Duration accepted_after_{0};
  core::Duration spread_after_{0};
};

}  // namespace

simulation::SeedReport ControlWorld::run(const simulation::RunOptions& options) const {
  return Run(options).run();
}

}  // namespace pipitpond::control_world
