#include "database_lives/model.hpp"

#include <utility>

#include "configuration/database_notice_plan.hpp"

namespace pipitpond::database_lives {

using configuration::EndpointAnswer;
using std::chrono::milliseconds;

namespace {

const core::GroupName kGroup("plates");
constexpr int kDaemons = 4;
constexpr std::uint32_t kConnectionLimit = 34;
constexpr milliseconds kHeartbeatInterval(400);
constexpr std::uint64_t kOneCallInIsLost = 20;
constexpr std::uint64_t kLongestCallMs = 60;
/// A primary that waits longer for a receipt is reported as stalled.
constexpr milliseconds kStalledAfter(300);
/// In which the group is served once all faults have ended, as users ask of the whole system.
constexpr std::chrono::seconds kRecoverLimit(12);

core::DaemonId daemon_id(int number) {
  return core::DaemonId("d" + std::to_string(number));
}

}  // namespace

Model::Model(std::uint64_t seed, ModelOptions options)
    : seed_(seed),
      random_(seed),
      options_(options),
      coordinator_([this](core::Instant now, protocol::Revision) { return now >= daemons_learn_at_; }) {
  configuration::PutRouteTable put;
  put.table.version = 1;
  put.table.groups.push_back(protocol::RoutedGroup{kGroup, kConnectionLimit, 1});
  apply(put);
  for (int number = 0; number < kDaemons; ++number) {
    apply(configuration::AdmitDaemon{daemon_id(number), 1, core::ZoneName("z"), {"127.0.0.1", 1}, {}});
  }
  for (int number = 0; number < options_.databases; ++number) {
    ModelDatabase database;
    database.id = core::DatabaseId("db" + std::to_string(number));
    database.endpoint = {"127.0.0.1", static_cast<std::uint16_t>(9000 + number)};
    database.start(now_ms(), true);
    databases_.push_back(database);
  }
  databases_.front().primary = true;
  coordinator_.on_configuration(now_, machine_.configuration());
  coordinator_.on_leadership(now_, true);
}

void Model::run(core::Duration length) {
  const core::Instant end = now_ + length;
  next_fault_ = now_ + milliseconds(1500);
  while (now_ < end) {
    if (now_ >= next_fault_) {
      begin_fault();
      next_fault_ = now_ + draw_between(200, 1200);
    }
    step();
  }
  end_faults();
  const core::Instant recovered_by = now_ + kRecoverLimit;
  const Write newest = last_write_;
  while (now_ < recovered_by && (acknowledged_.empty() || acknowledged_.back() <= newest)) {
    step();
  }
  if (acknowledged_.empty() || acknowledged_.back() <= newest) {
    broken_.emplace_back("RECOVER: no write is acknowledged after all faults have ended");
  }
}

void Model::step() {
  now_ += failover::kTickInterval;
  while (!due_.empty() && due_.begin()->first <= now_) {
    const Action action = due_.begin()->second;
    due_.erase(due_.begin());
    action();
  }
  write_and_replicate();
  retire_replaced_primaries();
  send_heartbeats();
  report_suspicions();
  coordinator_.tick(now_);
  for (const failover::Effect& effect : coordinator_.take_effects()) {
    std::visit([this](const auto& one) { carry_out(one); }, effect);
  }
}

void Model::at(core::Duration delay, Action action) {
  due_.emplace(now_ + delay, std::move(action));
}

core::Duration Model::draw_between(int least_ms, int most_ms) {
  return milliseconds(least_ms + static_cast<int>(random_() % static_cast<unsigned>(most_ms - least_ms + 1)));
}

std::mt19937_64 Model::draws_for_call(const core::Endpoint& database) const {
  std::seed_seq sequence{seed_, now_ms(), std::uint64_t{database.port}};
  return std::mt19937_64(sequence);
}

std::uint64_t Model::now_ms() const {
  return static_cast<std::uint64_t>(core::to_millis(now_.time_since_epoch()));
}

void Model::tell(const std::string& what) {
  story_.push_back(std::to_string(now_ms()) + " " + what);
}

// --- Control ---

configuration::CommandResult Model::apply(configuration::Operation operation) {
  auto result = machine_.apply(++log_index_, configuration::Command{{}, 0, std::move(operation)});
  if (result.changed) {
    coordinator_.on_configuration(now_, machine_.configuration());
  }
  return result;
}

EndpointAnswer Model::identify(const configuration::RegisterDatabase& registration) const {
  for (const ModelDatabase& database : databases_) {
    if (database.endpoint == registration.database.endpoint && database.answers_control()) {
      return database.id == registration.database.id ? EndpointAnswer::kThisDatabase
                                                     : EndpointAnswer::kAnotherDatabase;
    }
  }
  return EndpointAnswer::kNoAnswer;
}

void Model::take_notice(configuration::RegisterDatabase registration) {
  registration.endpoint_answer = EndpointAnswer::kNoAnswer;
  if (configuration::needs_endpoint_answer(machine_.configuration(), registration)) {
    registration.endpoint_answer = identify(registration);
  }
  if (!machine_.plan(registration).error && apply(registration).changed) {
    tell("registered " + registration.database.id.value() + " born " +
         std::to_string(registration.database.born));
  }
}

configuration::RegisterDatabase Model::heartbeat_of(const ModelDatabase& database) const {
  configuration::RegisterDatabase registration;
  registration.group = kGroup;
  registration.database.id = database.id;
  registration.database.endpoint = database.endpoint;
  registration.database.zone = core::ZoneName("z");
  registration.database.slots = 3;
  registration.database.draining = database.draining;
  registration.database.born = database.born;
  return registration;
}

void Model::send_heartbeats() {
  for (ModelDatabase& database : databases_) {
    if (!database.running || now_ < database.next_heartbeat) {
      continue;
    }
    database.next_heartbeat = now_ + kHeartbeatInterval;
    const auto heartbeat = heartbeat_of(database);
    if (one_in(8)) {  // A copy that a cut holds back.
      at(draw_between(500, 6000), [this, heartbeat] { take_notice(heartbeat); });
    }
    if (!database.cut_off_control) {
      take_notice(heartbeat);
    }
  }
}

void Model::report_suspicions() {
  const protocol::Group& group = machine_.configuration().groups.at(kGroup);
  const auto primary = protocol::current_primary(group);
  std::vector<protocol::SuspicionReport> reports;
  if (primary) {
    const ModelDatabase& database = find(primary->primary);
    std::optional<protocol::Suspicion> suspicion;
    if (!database.running) {
      suspicion = protocol::Suspicion::kUnreachable;
    } else if (!database.primary) {
      suspicion = protocol::Suspicion::kNotPrimary;
    } else if (!database.unacknowledged.empty() && now_ - database.unacknowledged_since > kStalledAfter) {
      suspicion = protocol::Suspicion::kReplicationStalled;
    }
    if (suspicion) {
      reports.push_back(protocol::SuspicionReport{database.id, *suspicion, primary->term, 0});
    }
  }
  for (int number = 0; number < kDaemons; ++number) {
    coordinator_.on_suspicions(now_, daemon_id(number), reports);
  }
}

void Model::carry_out(const failover::ProbeDatabase& probe) {
  std::mt19937_64 draws = draws_for_call(probe.endpoint);
  const ModelDatabase& database = find(probe.database);
  const bool another_there = database.endpoint != probe.endpoint;
  const bool is_lost = draws() % kOneCallInIsLost == 0;
  if (!database.answers_control() || another_there || is_lost) {
    coordinator_.on_probe_failed(now_, probe.database);
    return;
  }
  database::StatusAnswer answer;
  answer.database = database.id;
  answer.group = kGroup;
  answer.role = database.primary ? database::Role::kPrimary : database::Role::kReplica;
  answer.term = std::max(database.term, database.held);
  answer.received = database.end();
  answer.committed = database.end();
  // Answers take their time; the database may have begun another life meanwhile.
  at(milliseconds(draws() % kLongestCallMs), [this, answer] { coordinator_.on_probe_answer(now_, answer); });
}

/// A fence that is repeated is drawn by its call, so that a play stays the same when control repeats more.
bool Model::fence_is_lost(const failover::FenceDatabase& fence, const ModelDatabase& database) {
  const auto answered = answered_fences_.find(fence.database);
  const bool is_repeated =
      answered != answered_fences_.end() && answered->second == std::pair{fence.term, database.born};
  return is_repeated ? draws_for_call(fence.endpoint)() % kOneCallInIsLost == 0 : one_in(kOneCallInIsLost);
}

void Model::carry_out(const failover::FenceDatabase& fence) {
  ModelDatabase& database = find(fence.database);
  if (database.answers_control() && database.refuses_fence(fence.term)) {
    const core::Term newer = std::max(database.term, database.held);
    coordinator_.on_refused(now_, fence.group, fence.database, fence.term, newer);
    return;
  }
  if (database.answers_control() && database.primary) {
    database.follow(database.term);
  }
  if (database.answers_control() && database.held < fence.term) {
    database.held = fence.term;
    database.held_since = now_;
  }
  if (!database.answers_control() || fence_is_lost(fence, database)) {
    coordinator_.on_fence_failed(now_, fence.group, fence.database, fence.term);
    return;
  }
  tell(database.id.value() + " is fenced at " + std::to_string(database.end().term) + "." +
       std::to_string(database.end().index));
  fenced_at_[fence.database] = database.end();
  answered_fences_[fence.database] = {fence.term, database.born};
  coordinator_.on_fence_answer(now_, fence,
                               database::FenceAnswer{fence.database, fence.term, database.end(), false});
}

void Model::carry_out(const failover::PromoteDatabase& call) {
  if (options_.late_orders) {
    send_order(call);
    return;
  }
  if (!find(call.database).running) {
    coordinator_.on_promote_failed(now_, call.group, call.database, call.term);
    return;
  }
  tell("promotion of " + call.database.value() + " ordered");
  ++promotions_under_way_;
  at(milliseconds(300), [this, call, born = find(call.database).born] { promote(call, born); });
}

void Model::carry_out(const failover::DemoteDatabase& call) {
  std::mt19937_64 draws = draws_for_call(call.endpoint);
  if (draws() % kOneCallInIsLost != 0) {
    at(milliseconds(draws() % kLongestCallMs), [this, call] { demote(call); });
  }
  if (draws() % 8 == 0) {  // A copy that a cut holds back.
    at(milliseconds(500 + draws() % 5500), [this, call] { demote(call); });
  }
}

void Model::demote(const failover::DemoteDatabase& call) {
  ModelDatabase& database = find(call.database);
  if (database.answers_control() && database.primary && database.term < call.term) {
    tell(database.id.value() + " is demoted");
    database.follow(database.term);
  }
}

void Model::carry_out(const failover::ProposeBeginPrimaryChange& begin) {
  tell("change to term " + std::to_string(begin.new_term) + " begins");
  const configuration::BeginPrimaryChange change{begin.group, begin.expected_term, begin.new_term};
  const auto& terms = machine_.configuration().groups.at(begin.group).terms;
  const bool is_begun = !terms.empty() && terms.back().term == begin.new_term;
  if (!is_begun && !machine_.plan(change).error) {
    on_change_begun();
  }
  apply(change);
}

void Model::carry_out(const failover::ProposeCompletePrimaryChange& complete) {
  const configuration::CompletePrimaryChange change{complete.group, complete.term, complete.primary,
                                                    complete.start};
  if (apply(change).changed) {
    on_change_completed(complete.primary);
  }
}

void Model::carry_out(const failover::ProposeAdoptPrimary& adopt) {
  apply(configuration::AdoptPrimary{adopt.group, adopt.term, adopt.primary});
}

void Model::carry_out(const failover::ProposeRemoveDatabase& remove) {
  tell("removal of " + remove.database.value());
  apply(configuration::RemoveDatabase{remove.database, remove.born});
}

void Model::carry_out(const failover::ProposeProveDatabaseLog& proof) {
  tell("log of " + proof.database.value() + " proven");
  apply(configuration::ProveDatabaseLog{proof.database, proof.born});
}

}  // namespace pipitpond::database_lives
