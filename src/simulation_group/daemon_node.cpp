#include "simulation_group/daemon_node.hpp"

#include <algorithm>
#include <utility>
#include <variant>

#include "ownership/ownership.hpp"
#include "protocol/tunables.hpp"
#include "simulation_group/request_flow.hpp"

namespace pipitpond::simulation::group {
namespace {

using core::ErrorKind;
using core::Outcome;

constexpr core::Duration kStoreMin = std::chrono::microseconds(500);
constexpr core::Duration kStoreMax = std::chrono::milliseconds(5);
/// How much longer than its deadline an attempt through another daemon may take.
constexpr core::Duration kReplyAllowance = std::chrono::milliseconds(50);

/// Answers about a term that took longer than this say how it was, not how it is.
constexpr core::Duration kOldestConfirmation = 2 * protocol::kProbeTimeout;

/// The simulated network needs no addresses.
const core::Endpoint kInternal{"10.0.1.1", 1};
const core::Endpoint kCallers{"10.0.1.1", 2};

session::FleetKey make_fleet_key() {
  return std::move(session::FleetKey::create("a secret of the simulated fleet")).value();
}

protocol::ForwardReply failed_reply(Outcome outcome, ErrorKind kind) {
  protocol::ForwardReply reply;
  reply.outcome = outcome;
  reply.error = core::Error{kind, "The owner could not be reached.", "Try again.", 0};
  return reply;
}

}  // namespace

DaemonNode::DaemonNode(Fabric& fabric, const Directory& directory, core::DaemonId id, core::ZoneName zone,
                       ClockDrift drift)
    : fabric_(fabric),
      directory_(directory),
      id_(std::move(id)),
      zone_(std::move(zone)),
      host_(fabric.scheduler, id_.value(), drift),
      fleet_key_(make_fleet_key()),
      random_(fabric.random.fork()) {}

core::RequestId DaemonNode::next_request_id() {
  return core::RequestId(id_.value() + "-" + std::to_string(incarnation_) + "-" +
                         std::to_string(++last_request_));
}

configuration::AdmitDaemon DaemonNode::admission() const {
  return {id_, 1, zone_, kInternal, kCallers};
}

void DaemonNode::start() {
  host_.start();
  ++incarnation_;
  const core::Endpoint control{"10.0.0.1", 1};
  agent::SessionOptions options{id_, incarnation_, zone_, kInternal, kCallers, {control}};
  session_ = std::make_unique<agent::Session>(std::move(options), durable_);
  views_ = std::make_unique<proxy::DatabaseViews>(zone_);
  links_.clear();
  former_links_.clear();
  directory_.control->set_notify(id_, host_, [this, control](protocol::Revision revision) {
    session_->on_revision_notice(host_.now(), control, revision);
    carry_out();
  });
  apply();
  tick();
}

void DaemonNode::stop(bool silently) {
  fabric_.trace.line(host_.name(), "stops{}", silently ? " with its machine" : "");
  for (const auto& [id, link] : former_links_) {
    if (silently) {
      link->lose_machine();
    }
  }
  for (const auto& [id, link] : links_) {
    if (silently) {
      link->lose_machine();
    } else {
      link->close();
      link->break_off_calls();
    }
  }
  host_.stop();
}

void DaemonNode::tick() {
  host_.after(failover::kMonitorInterval, [this] { tick(); });
  session_->tick(host_.now());
  for (const auto& [id, link] : links_) {
    if (link->monitor().tick(host_.now())) {
      probe(link);
    }
    link->tick();
  }
  for (const auto& [id, link] : former_links_) {
    link->report_held();
  }
  std::erase_if(former_links_, [](const auto& entry) { return entry.second->held() == 0; });
  judge();
  refresh_budgets();
  carry_out();
}

// --- Databases ---------------------------------------------------------------------------------------------

void DaemonNode::probe(const std::shared_ptr<DatabaseLink>& link) {
  const core::Instant asked_at = host_.now();
  call<standin::Response>(
      fabric_, host_, link->database().host(), protocol::kProbeTimeout,
      [link](const DatabaseNode::Reply& reply) {
        link->database().handle(0, standin::StatusRequest{}, reply);
      },
      [this, link, asked_at](const CallEnd<standin::Response>& end) {
        if (!end.answer) {
          link->on_probe_failed(end.failure == CallFailure::kRefused);
          return;
        }
        const auto status = std::get<database::StatusAnswer>(*end.answer);
        link->observe_status(asked_at, status);
        views_->observe_status(status.group, asked_at, host_.now(), status);
      });
}

void DaemonNode::judge() {
  std::vector<protocol::SuspicionReport> suspicions;
  for (const auto& [id, link] : links_) {
    auto suspicion = link->monitor().suspicion(host_.now());
    const bool unreachable = suspicion && suspicion->suspicion == protocol::Suspicion::kUnreachable;
    views_->set_reachable(id, !unreachable);
    if (unreachable) {
      link->break_off_calls();
    }
    if (suspicion) {
      suspicions.push_back(std::move(*suspicion));
    }
  }
  const bool changed = session_->set_suspicions(host_.now(), std::move(suspicions));
  counters_.suspicions += changed ? 1 : 0;
}

void DaemonNode::refresh_budgets() {
  const bool leased = fabric_.switches.on(Mechanism::kBudgetLeases);
  for (const auto& [id, link] : links_) {
    const ownership::Budget budget =
        leased ? session_->allowed(id) : ownership::budget(session_->configuration(), id, id_);
    link->set_budget(budget, !leased || session_->lease_valid(host_.now()));
  }
}

// --- Control -----------------------------------------------------------------------------------------------

void DaemonNode::carry_out() {
  for (const agent::Effect& effect : session_->take_effects()) {
    std::visit([this](const auto& one) { send(one); }, effect);
  }
}

void DaemonNode::send(const agent::SendHeartbeat& effect) {
  ControlNode* control = directory_.control;
  call<protocol::HeartbeatReply>(
      fabric_, host_, control->host(), agent::kHeartbeatTimeout,
      [control, heartbeat = effect.heartbeat](const auto& reply) { reply(control->on_heartbeat(heartbeat)); },
      [this, effect](const CallEnd<protocol::HeartbeatReply>& end) {
        if (end.answer) {
          session_->on_heartbeat_reply(host_.now(), effect.to, *end.answer);
        } else {
          session_->on_heartbeat_failed(host_.now(), effect.to, effect.heartbeat.sequence);
        }
        carry_out();
      });
}

void DaemonNode::send(const agent::SendFetch& effect) {
  ControlNode* control = directory_.control;
  call<protocol::FetchReply>(
      fabric_, host_, control->host(), effect.timeout,
      [control, request = effect.request](const auto& reply) { reply(control->on_fetch(request)); },
      [this, effect](const CallEnd<protocol::FetchReply>& end) {
        if (effect.probe) {
          session_->on_probe_ended(host_.now(), effect.to, end.answer.has_value());
        } else if (!end.answer) {
          session_->on_fetch_failed(host_.now(), effect.to);
        } else if (const auto next = session_->on_fetch_reply(host_.now(), effect.to, *end.answer)) {
          store_and_apply(*next);
        }
        carry_out();
      });
}

void DaemonNode::store_and_apply(const protocol::Configuration& next) {
  host_.after(fabric_.random.between(kStoreMin, kStoreMax), [this, next] {
    durable_ = next;
    session_->apply_fetched(host_.now());
    apply();
    release();
    carry_out();
  });
}

/// Only listened to in the comparison of mechanisms.
void DaemonNode::release() {
  ControlNode* control = directory_.control;
  if (!control->release_by_owners()) {
    return;
  }
  fabric_.network.send(host_, control->host(),
                       [control, id = id_, revision = session_->configuration().revision] {
                         control->on_release(id, revision);
                       });
}

void DaemonNode::apply() {
  std::map<core::DatabaseId, bool> owned;
  for (const auto& [name, group] : session_->configuration().groups) {
    apply_group(group, owned);
  }
  std::erase_if(links_, [&](const auto& entry) {
    const bool given_up = !owned.contains(entry.first);
    if (given_up) {
      entry.second->close();
      former_links_[entry.first] = entry.second;
    }
    return given_up;
  });
  refresh_budgets();
}

void DaemonNode::apply_group(const protocol::Group& group, std::map<core::DatabaseId, bool>& owned) {
  for (const protocol::Database& database : group.databases) {
    const auto& owners = session_->owner_table().owners(database.id);
    if (std::find(owners.begin(), owners.end(), id_) == owners.end()) {
      continue;
    }
    owned[database.id] = true;
    std::shared_ptr<DatabaseLink>& link = links_[database.id];
    if (link == nullptr) {
      link = take_up(database.id);
    }
    if (!group.terms.empty()) {
      const protocol::TermStart& last = group.terms.back();
      link->set_expectation(last.term, last.primary == database.id);
    }
  }
}

std::shared_ptr<DatabaseLink> DaemonNode::take_up(const core::DatabaseId& database) {
  if (auto former = former_links_.extract(database)) {
    former.mapped()->reopen();
    return former.mapped();
  }
  const auto held_changed = [this, database, life = host_.life()](std::uint32_t held) {
    if (host_.life() == life) {
      session_->report_held(database, held);
    }
  };
  return std::make_shared<DatabaseLink>(fabric_, host_, *directory_.databases.at(database), held_changed);
}

// --- Requests ----------------------------------------------------------------------------------------------

void DaemonNode::serve(const CallerRequest& request, Answer answer) {
  std::make_shared<RequestFlow>(*this, request, std::move(answer))->start();
}

const protocol::Group* DaemonNode::find_group(const core::GroupName& name) const {
  const auto& groups = session_->configuration().groups;
  const auto found = groups.find(name);
  return found == groups.end() ? nullptr : &found->second;
}

retry::Standing DaemonNode::standing(const core::GroupName& group) const {
  retry::Standing standing;
  if (!fabric_.switches.on(Mechanism::kTermConfirmation)) {
    standing.lease_valid = true;  // And no later term, whatever is known: every answer is passed on.
    return standing;
  }
  standing.lease_valid = session_->lease_valid(host_.now());
  const protocol::Group* declared = find_group(group);
  if (declared != nullptr && !declared->terms.empty()) {
    standing.latest_term = declared->terms.back().term;
  }
  return standing;
}

void DaemonNode::attempt(protocol::ForwardRequest request, core::Instant deadline, ForwardDone done) {
  const core::Instant sent_at = host_.now();
  views_->begin_attempt(request.database);
  const auto finish = [this, request, sent_at, done = std::move(done)](const protocol::ForwardReply& reply) {
    views_->end_attempt(request, reply, sent_at, host_.now());
    done(reply);
  };
  const auto link = links_.find(request.database);
  if (link != links_.end()) {
    execute_here(link->second, request, deadline, finish);
    return;
  }
  const auto& owners = session_->owner_table().owners(request.database);
  if (owners.empty()) {
    finish(failed_reply(Outcome::kNotRun, ErrorKind::kUnavailable));
    return;
  }
  pass_on(owners[fabric_.random.below(owners.size())], request, deadline, finish);
}

void DaemonNode::pass_on(const core::DaemonId& owner, const protocol::ForwardRequest& request,
                         core::Instant deadline, ForwardDone done) {
  protocol::ForwardRequest forward = request;
  forward.deadline_ms = static_cast<std::uint32_t>(core::to_millis(deadline - host_.now()));
  DaemonNode* to = directory_.daemons.at(owner);
  call<protocol::ForwardReply>(
      fabric_, host_, to->host(), deadline - host_.now() + kReplyAllowance,
      [to, forward](const auto& reply) { to->serve_forward(forward, reply); },
      [done = std::move(done)](const CallEnd<protocol::ForwardReply>& end) {
        const bool refused = end.failure == CallFailure::kRefused;
        done(end.answer ? *end.answer
                        : failed_reply(refused ? Outcome::kNotRun : Outcome::kUnknown,
                                       refused ? ErrorKind::kConnectionRefused : ErrorKind::kTimeout));
      });
}

void DaemonNode::serve_forward(const protocol::ForwardRequest& request, ForwardDone done) {
  const auto link = links_.find(request.database);
  if (link == links_.end()) {
    done(failed_reply(Outcome::kNotRun, ErrorKind::kUnavailable));
    return;
  }
  execute_here(link->second, request, host_.now() + std::chrono::milliseconds(request.deadline_ms),
               std::move(done));
}

void DaemonNode::execute_here(const std::shared_ptr<DatabaseLink>& link,
                              const protocol::ForwardRequest& request, core::Instant deadline,
                              ForwardDone done) {
  LinkCall call;
  call.deadline = deadline;
  if (request.operation == protocol::Operation::kResolveKey) {
    call.request = database::KeyRequest{next_request_id(), request.key, request.term, request.settle};
    call.term = request.term;
    // A question that was not asked tells nothing about the key.
    call.done = [done = std::move(done)](protocol::ForwardReply reply) {
      const ErrorKind kind = reply.error.kind;
      const bool not_asked = kind == ErrorKind::kNoCapacity || kind == ErrorKind::kUnavailable;
      reply.outcome = reply.outcome == Outcome::kNotRun && not_asked ? Outcome::kUnknown : reply.outcome;
      done(reply);
    };
    link->execute(std::move(call));
    return;
  }
  database::ExecuteRequest execute;
  execute.request = next_request_id();
  execute.kind = request.kind;
  execute.statement = nlohmann::json::parse(request.statement);
  execute.key = request.key;
  execute.wait_ms = request.wait_ms;
  const bool is_write = request.kind == core::StatementKind::kWrite;
  execute.term = is_write ? request.term : 0;
  call.term = execute.term;
  if (fabric_.switches.on(Mechanism::kMinPosition)) {
    execute.min_position = request.min_position;
  }
  call.request = std::move(execute);
  call.done = std::move(done);
  link->execute(std::move(call));
}

void DaemonNode::confirm(const protocol::Group& group, core::Term term, std::function<void(bool)> done) {
  ++counters_.confirmations;
  struct Round {
    std::size_t open = 0;
    std::size_t agreeing = 0;
    bool over = false;
  };
  auto round = std::make_shared<Round>();
  round->open = group.databases.size();
  const std::size_t databases = group.databases.size();
  const core::Instant asked_at = host_.now();
  for (const protocol::Database& database : group.databases) {
    DatabaseNode* node = directory_.databases.at(database.id);
    call<standin::Response>(
        fabric_, host_, node->host(), protocol::kProbeTimeout,
        [node](const DatabaseNode::Reply& reply) { node->handle(0, standin::StatusRequest{}, reply); },
        [this, asked_at, round, databases, term, done](const CallEnd<standin::Response>& end) {
          --round->open;
          const bool current = host_.now() - asked_at <= kOldestConfirmation;
          const bool agrees =
              current && end.answer && std::get<database::StatusAnswer>(*end.answer).term <= term;
          round->agreeing += agrees ? 1 : 0;
          const bool majority = 2 * round->agreeing > databases;
          if (!round->over && (majority || round->open == 0)) {
            round->over = true;
            done(majority);
          }
        });
  }
}

}  // namespace pipitpond::simulation::group
