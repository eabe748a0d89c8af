#include "control/operator_api.hpp"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>
#include <utility>

#include "configuration/database_notice_plan.hpp"
#include "configuration/plan.hpp"
#include "control/control_id.hpp"
#include "control/daemon_service.hpp"
#include "control/route_json.hpp"
#include "control/status_json.hpp"
#include "logging/logging.hpp"

namespace pipitpond::control {
namespace {

using boost::asio::awaitable;
using nlohmann::json;
using protocol::OperatorReply;
using protocol::OperatorRequest;

std::string dump(const json& value) {
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

constexpr std::uint32_t kOk = 200;
constexpr core::Duration kRefusalLogInterval = std::chrono::seconds(1);

void log_refused_routes(const core::Error& error) {
  logging::logger("control")->warn("event=routes_refused reason={}", logging::field(error.message));
}

OperatorReply ok(const json& body) {
  return OperatorReply{200, dump(body)};
}

std::uint32_t status_of(core::ErrorKind kind) {
  switch (kind) {
    case core::ErrorKind::kInvalidArgument:
      return 400;
    case core::ErrorKind::kNotFound:
      return 404;
    case core::ErrorKind::kAlreadyExists:
    case core::ErrorKind::kConflict:
      return 409;
    case core::ErrorKind::kTooLarge:
      return 413;
    case core::ErrorKind::kOverloaded:
      return 429;
    case core::ErrorKind::kNotLeader:
    case core::ErrorKind::kLeaving:
    case core::ErrorKind::kUnavailable:
    case core::ErrorKind::kConnectionRefused:
      return 503;
    case core::ErrorKind::kTimeout:
    case core::ErrorKind::kConnectionLost:
      return 504;
    default:
      return 500;
  }
}

/// Returns true if the request may succeed with another leader or a little later. A retry is safe even if the
/// outcome of the first attempt is unknown: changes carry idempotency keys and reads have no side effects.
bool is_retryable(const OperatorReply& reply) {
  const auto kind = error_kind_of(reply);
  return kind && (*kind == core::ErrorKind::kNotLeader || *kind == core::ErrorKind::kLeaving ||
                  *kind == core::ErrorKind::kTimeout || *kind == core::ErrorKind::kConnectionLost ||
                  *kind == core::ErrorKind::kConnectionRefused);
}

core::Error no_such_path(const OperatorRequest& request) {
  return core::Error{core::ErrorKind::kNotFound,
                     "There is no endpoint " + request.method + " " + request.path + ".",
                     "See docs/API.md for the endpoints of control.", 0};
}

core::Error no_leader() {
  return core::Error{
      core::ErrorKind::kUnavailable, "This control replica knows no leader.",
      "Ask another control replica; if none knows a leader, see docs/operators/control-quorum-loss.md.",
      1000};
}

OperatorReply change_reply(const configuration::CommandResult& answer) {
  if (answer.error) {
    return error_reply(*answer.error, answer.current_revision);
  }
  return ok({{"revision", answer.revision}});
}

void log_route_answer(std::uint64_t version, const configuration::CommandResult& answer) {
  if (answer.error) {
    log_refused_routes(*answer.error);
    return;
  }
  logging::logger("control")->info("event=routes_acknowledged version={} revision={} changed={}", version,
                                   answer.revision, answer.changed);
}

/// Says what a database's notice has changed.
void log_notice(const configuration::Operation& operation, const configuration::CommandResult& answer) {
  const auto log = logging::logger("control");
  if (const auto* registration = std::get_if<configuration::RegisterDatabase>(&operation)) {
    const protocol::Database& database = registration->database;
    log->info(
        "event=database_registered group={} database={} endpoint={} answered={} born={} draining={} "
        "revision={}",
        registration->group.value(), database.id.value(), core::to_string(database.endpoint),
        registration->endpoint_answer == configuration::EndpointAnswer::kThisDatabase, database.born,
        database.draining, answer.revision);
  } else if (const auto* departure = std::get_if<configuration::DepartDatabase>(&operation)) {
    log->info("event=database_departs database={} born={} revision={}", departure->database.value(),
              departure->born, answer.revision);
  }
}

/// Path prefix of notices that databases send: POST /v1/databases/ID/heartbeat and .../ID/leave.
const std::string kDatabasesPath = "/v1/databases/";

bool is_database_notice(const OperatorRequest& request) {
  return request.method == "POST" && request.path.starts_with(kDatabasesPath);
}

/// Returns what follows `prefix` in `path`, such as NAME in "/v1/groups/NAME" after "/v1/groups/". Empty if
/// the path has another prefix.
std::string suffix_after(const std::string& path, const std::string& prefix) {
  return path.starts_with(prefix) ? path.substr(prefix.size()) : std::string();
}

/// Replies with the element `name` of a map, or with kNotFound.
template <typename Map, typename Name>
OperatorReply element_reply(const Map& map, const Name& name, const std::string& what) {
  const auto found = map.find(name);
  if (found == map.end()) {
    return error_reply(
        core::Error{core::ErrorKind::kNotFound, "There is no " + what + " " + name.value() + ".",
                    "List the existing ones with GET.", 0},
        protocol::Revision{0});
  }
  return ok(to_json(found->second));
}

}  // namespace

OperatorReply error_reply(const core::Error& error, std::optional<protocol::Revision> current_revision) {
  json body = {{"error", to_json(error)}};
  if (current_revision) {
    body["current_revision"] = *current_revision;
  }
  return OperatorReply{status_of(error.kind), dump(body)};
}

std::optional<core::ErrorKind> error_kind_of(const OperatorReply& reply) {
  if (reply.status < 400) {
    return std::nullopt;
  }
  const auto body = json::parse(reply.body, nullptr, false);
  if (!body.is_object() || !body.contains("error") || !body.at("error").is_object()) {
    return core::ErrorKind::kInternal;
  }
  return core::error_kind_from(body.at("error").value("kind", "internal"));
}

OperatorApi::OperatorApi(boost::asio::io_context& io, Replica& replica, LeaderDuties& duties,
                         ForwardToLeader forward, CheckPolicy check_policy, OperatorTimeouts timeouts)
    : io_(io),
      replica_(replica),
      duties_(duties),
      forward_(std::move(forward)),
      check_policy_(std::move(check_policy)),
      timeouts_(timeouts) {}

awaitable<OperatorReply> OperatorApi::handle(OperatorRequest request) {
  if (auto known = answer_unchanged_database(request)) {
    co_return std::move(*known);
  }
  const core::Instant deadline = core::BootClock::now() + timeouts_.leader_change;
  while (true) {
    OperatorReply reply = co_await handle_once(request);
    if (!is_retryable(reply) || core::BootClock::now() >= deadline) {
      if (reply.status == kOk && is_database_notice(request)) {
        co_return database_reply();  // Not the leader's reply, whose `next` is the leader.
      }
      co_return reply;
    }
    boost::system::error_code ignored;
    boost::asio::steady_timer pause(io_, timeouts_.retry_interval);
    co_await pause.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
  }
}

awaitable<OperatorReply> OperatorApi::handle_once(OperatorRequest request) {
  if (replica_.leading()) {
    co_return co_await handle_as_leader(std::move(request));
  }
  const raft::Node& node = replica_.node();
  const auto leader = leader_endpoint(node);
  if (!leader || *node.leader() == node.config().id) {
    core::Error error = no_leader();
    error.kind = core::ErrorKind::kNotLeader;
    co_return error_reply(error);
  }
  auto reply = co_await forward_(*leader, std::move(request), timeouts_.forward);
  if (!reply) {
    co_return error_reply(reply.error());
  }
  co_return std::move(reply.value());
}

awaitable<OperatorReply> OperatorApi::handle_as_leader(OperatorRequest request) {
  if (request.method == "GET" && request.path == "/v1/routes") {
    co_return co_await read_routes();
  }
  if (request.method == "GET") {
    co_return co_await handle_get(std::move(request.path));
  }
  if (request.method == "PUT") {
    co_return co_await handle_put(std::move(request));
  }
  if (request.method == "POST") {
    co_return co_await handle_post(std::move(request));
  }
  co_return error_reply(no_such_path(request));
}

awaitable<OperatorReply> OperatorApi::handle_get(std::string path) {
  const auto current = co_await replica_.read_barrier(timeouts_.proposal);
  if (!current) {
    co_return error_reply(current.error());
  }
  co_return read_resource(path);
}

OperatorReply OperatorApi::read_resource(const std::string& path) const {
  const protocol::Configuration& configuration = replica_.machine().configuration();
  if (path == "/v1/configuration") {
    return ok(to_json(configuration));
  }
  if (path == "/v1/status") {
    return ok(status_json(replica_, duties_, core::BootClock::now()));
  }
  if (path == "/v1/groups") {
    return ok({{"groups", list_json(configuration.groups)}});
  }
  if (path == "/v1/zones") {
    return ok({{"zones", list_json(configuration.zones)}});
  }
  if (path == "/v1/policies") {
    return ok({{"policies", list_json(configuration.policies)}});
  }
  if (const auto name = suffix_after(path, "/v1/groups/"); !name.empty()) {
    return element_reply(configuration.groups, core::GroupName(name), "group");
  }
  if (const auto name = suffix_after(path, "/v1/zones/"); !name.empty()) {
    return element_reply(configuration.zones, core::ZoneName(name), "zone");
  }
  if (const auto name = suffix_after(path, "/v1/policies/"); !name.empty()) {
    return element_reply(configuration.policies, core::PolicyName(name), "policy");
  }
  return error_reply(no_such_path(OperatorRequest{"GET", path, {}, {}}));
}

awaitable<OperatorReply> OperatorApi::handle_put(OperatorRequest request) {
  if (request.path == "/v1/routes") {
    co_return co_await put_routes(std::move(request));
  }
  if (const auto name = suffix_after(request.path, "/v1/groups/"); !name.empty()) {
    co_return co_await propose_change(parse_put_group(core::GroupName(name), request.body));
  }
  if (const auto name = suffix_after(request.path, "/v1/zones/"); !name.empty()) {
    co_return co_await propose_change(parse_put_zone(core::ZoneName(name), request.body));
  }
  if (const auto name = suffix_after(request.path, "/v1/policies/"); !name.empty()) {
    co_return co_await propose_change(parse_policy(core::PolicyName(name), request.body));
  }
  co_return error_reply(no_such_path(request));
}

core::Result<configuration::Command> OperatorApi::parse_policy(const core::PolicyName& name,
                                                               const std::string& body) const {
  auto command = parse_put_policy(name, body);
  if (!command) {
    return command;
  }
  const auto& put = std::get<configuration::PutPolicy>(command.value().operation);
  const auto checked = check_policy_(put.source);
  if (!checked) {
    return checked.error();
  }
  return command;
}

awaitable<OperatorReply> OperatorApi::handle_post(OperatorRequest request) {
  if (!suffix_after(request.path, kDatabasesPath).empty()) {
    co_return co_await handle_database_notice(std::move(request));
  }
  if (request.path == "/v1/drain") {
    co_return co_await propose_change(parse_drain(request.body));
  }
  if (request.path == "/v1/members") {
    co_return co_await change_members(parse_member(request.body));
  }
  if (request.path == "/v1/policies/check") {
    co_return check_policy_source(parse_policy_check(request.body));
  }
  co_return error_reply(no_such_path(request));
}

// --- Routes and databases that register themselves ---

awaitable<OperatorReply> OperatorApi::put_routes(OperatorRequest request) {
  auto put = parse_put_routes(request.body);
  if (!put) {
    log_refused_routes(put.error());
    co_return error_reply(put.error());
  }
  configuration::Command command;
  const std::uint64_t version = put.value().table.version;
  command.operation = std::move(put.value());
  const auto result = co_await replica_.propose(std::move(command), timeouts_.proposal);
  if (!result) {
    co_return error_reply(result.error());
  }
  log_route_answer(version, result.value());
  co_return change_reply(result.value());
}

awaitable<OperatorReply> OperatorApi::read_routes() {
  const auto current = co_await replica_.read_barrier(timeouts_.proposal);
  if (!current) {
    co_return error_reply(current.error());
  }
  if (replica_.machine().configuration().routes.version == 0) {
    co_return error_reply(core::Error{core::ErrorKind::kNotFound, "No route table has been stored yet.",
                                      "Send one with PUT /v1/routes.", 0});
  }
  co_return OperatorReply{200, replica_.machine().route_document()};
}

awaitable<OperatorReply> OperatorApi::handle_database_notice(OperatorRequest request) {
  auto command = parse_database_notice(request.path.substr(kDatabasesPath.size()), request.body);
  if (!command) {
    co_return error_reply(command.error());
  }
  configuration::Operation& notice = command.value().operation;
  if (auto* registration = std::get_if<configuration::RegisterDatabase>(&notice)) {
    const configuration::Plan planned = co_await plan_registration(*registration);
    if (planned.error) {
      log_refused_notice(*registration, *planned.error);
      co_return error_reply(*planned.error);
    }
    if (!planned.change) {
      co_return database_reply();
    }
  }
  const configuration::Operation proposed = notice;
  const auto result = co_await replica_.propose(std::move(command.value()), timeouts_.proposal);
  if (!result) {
    co_return error_reply(result.error());
  }
  if (result.value().error) {
    co_return error_reply(*result.value().error);
  }
  if (result.value().changed) {
    log_notice(proposed, result.value());
  }
  co_return database_reply();
}

/// Asks the endpoint of a notice which database is there, where it matters, and returns what the notice then
/// comes to. One that is refused or changes nothing is not proposed: other writers may repeat theirs for
/// ever.
awaitable<configuration::Plan> OperatorApi::plan_registration(configuration::RegisterDatabase& registration) {
  const configuration::StateMachine& machine = replica_.machine();
  configuration::Plan planned = machine.plan(registration);
  const bool must_ask =
      !planned.error && configuration::needs_endpoint_answer(machine.configuration(), registration);
  if (must_ask) {
    registration.endpoint_answer = co_await duties_.identify(registration);
    planned = machine.plan(registration);
  }
  co_return planned;
}

/// Once a second at most: other writers may repeat theirs for ever.
void OperatorApi::log_refused_notice(const configuration::RegisterDatabase& registration,
                                     const core::Error& refusal) {
  const core::Instant now = core::BootClock::now();
  ++refused_notices_;
  if (now < next_refusal_log_at_) {
    return;
  }
  next_refusal_log_at_ = now + kRefusalLogInterval;
  logging::logger("control")->warn(
      "event=database_refused group={} database={} endpoint={} reason={} refused_since_start={}",
      logging::field(registration.group.value()), logging::field(registration.database.id.value()),
      core::to_string(registration.database.endpoint), logging::field(refusal.message), refused_notices_);
}

/// Replies without the leader to a notice that changes nothing, as most do. Returns nothing for any other
/// request.
std::optional<OperatorReply> OperatorApi::answer_unchanged_database(const OperatorRequest& request) const {
  if (!is_database_notice(request)) {
    return std::nullopt;
  }
  const auto command = parse_database_notice(request.path.substr(kDatabasesPath.size()), request.body);
  if (!command) {
    return error_reply(command.error());
  }
  const configuration::PlanContext context{replica_.machine().configuration(), 0, {}};
  const configuration::Plan planned = configuration::plan(context, command.value().operation);
  const auto* registration = std::get_if<configuration::RegisterDatabase>(&command.value().operation);
  const bool must_ask = registration != nullptr && configuration::needs_endpoint_answer(
                                                       replica_.machine().configuration(), *registration);
  if (planned.error || planned.change || must_ask) {
    return std::nullopt;
  }
  return database_reply();
}

/// Directs further notices of the database to this replica. Any replica can answer the many notices that
/// change nothing, so that databases spread over all replicas as they move away from failed ones. With 100
/// machines the busiest replica held 653 connections and accepted 18 per second; sending all databases to the
/// leader gave 1,723 and 65.
OperatorReply OperatorApi::database_reply() const {
  json body = json::object();
  const raft::Node& node = replica_.node();
  const raft::Member* self = node.membership().find(node.config().id);
  if (self != nullptr) {
    body["next"] = self->operators;
  }
  return ok(body);
}

OperatorReply OperatorApi::check_policy_source(const core::Result<std::string>& source) {
  if (!source) {
    return error_reply(source.error());
  }
  const auto checked = check_policy_(source.value());
  if (!checked) {
    return error_reply(checked.error());
  }
  return ok({{"valid", true}});
}

awaitable<OperatorReply> OperatorApi::propose_change(core::Result<configuration::Command> command) {
  if (!command) {
    co_return error_reply(command.error());
  }
  const auto result = co_await replica_.propose(std::move(command.value()), timeouts_.proposal);
  if (!result) {
    co_return error_reply(result.error());
  }
  co_return change_reply(result.value());
}

awaitable<OperatorReply> OperatorApi::change_members(core::Result<MemberRequest> request) {
  if (!request) {
    co_return error_reply(request.error());
  }
  const MemberRequest& wanted = request.value();
  const auto current = co_await replica_.read_barrier(timeouts_.proposal);
  if (!current) {
    co_return error_reply(current.error());
  }
  const raft::Member* member = find_member(replica_.node().membership(), wanted.member.id);
  const json done = {{"revision", replica_.machine().configuration().revision}};
  if (wanted.add == (member != nullptr)) {
    co_return ok(done);  // A resent request: the membership already is as requested.
  }
  const raft::Member subject = wanted.add ? wanted.member : *member;
  const auto action = wanted.add ? raft::MembershipAction::kAddLearner : raft::MembershipAction::kRemove;
  const auto changed = replica_.change_membership(raft::MembershipChange{action, subject});
  if (!changed) {
    co_return error_reply(changed.error());
  }
  const auto committed = co_await replica_.read_barrier(timeouts_.proposal);
  if (!committed) {
    co_return error_reply(committed.error());
  }
  co_return ok(done);
}

}  // namespace pipitpond::control
