#include "control/database_notice_api.hpp"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

#include "control/daemon_service.hpp"
#include "control/operator_api.hpp"
#include "control/route_json.hpp"

namespace pipitpond::control {
namespace {

using boost::asio::awaitable;
using configuration::ChangeDatabases;
using configuration::CommandResult;
using protocol::OperatorReply;
using protocol::OperatorRequest;

const std::string kDatabasesPath = "/v1/databases/";

/// Collected notices that meet a change of leader are proposed again for so long. Proposing them twice is
/// safe: the second time they change nothing. Later the databases have sent newer ones.
constexpr core::Duration kNoticesLimit = std::chrono::milliseconds(2000);
constexpr core::Duration kProposalLimit = std::chrono::milliseconds(1500);
/// Between attempts while no leader is known: a few in each election timeout.
constexpr core::Duration kRetryInterval = std::chrono::milliseconds(100);

core::Error no_leader() {
  return core::Error{core::ErrorKind::kNotLeader, "No leader of control is known here.",
                     "Ask another control replica; if all say so, see docs/operators/control-quorum-loss.md.",
                     1000};
}

bool worth_another_attempt(core::ErrorKind kind) {
  return kind == core::ErrorKind::kNotLeader || kind == core::ErrorKind::kLeaving ||
         kind == core::ErrorKind::kTimeout || kind == core::ErrorKind::kConnectionLost ||
         kind == core::ErrorKind::kConnectionRefused;
}

/// Databases whose last heartbeat is remembered: several times those of the largest fleet measured.
constexpr std::size_t kMaxHeard = 8192;

/// Null for commands that are no notices.
std::optional<DatabaseNotice> notice_in(const configuration::Operation& operation) {
  if (const auto* registration = std::get_if<configuration::RegisterDatabase>(&operation)) {
    return *registration;
  }
  if (const auto* departure = std::get_if<configuration::DepartDatabase>(&operation)) {
    return *departure;
  }
  return std::nullopt;
}

}  // namespace

bool is_database_notice(const OperatorRequest& request) {
  return request.method == "POST" && request.path.starts_with(kDatabasesPath);
}

DatabaseNoticeApi::DatabaseNoticeApi(boost::asio::io_context& io, Replica& replica, ForwardNotices forward)
    : io_(io),
      replica_(replica),
      forward_(std::move(forward)),
      notices_(io, [this](ChangeDatabases notices) { return propose(std::move(notices)); }) {}

awaitable<OperatorReply> DatabaseNoticeApi::handle(OperatorRequest request) {
  const auto notice = parse_database_notice(request.path.substr(kDatabasesPath.size()), request.body);
  if (!notice) {
    co_return error_reply(notice.error());
  }
  const configuration::Plan planned = replica_.machine().plan_now(notice.value().operation);
  if (planned.error && planned.error->kind == core::ErrorKind::kInvalidArgument) {
    co_return error_reply(*planned.error);  // Whatever the leader knows: not worth an entry of the log.
  }
  const bool tells_nothing_new = !planned.error && !planned.change;
  if (overtaken(notice.value()) || tells_nothing_new) {
    co_return accepted();
  }
  if (without_leader_for_long()) {
    co_return error_reply(no_leader());
  }
  const auto taken = co_await notices_.take(notice_in(notice.value().operation).value(), kNoticeAnswerLimit);
  if (!taken) {
    co_return error_reply(taken.error());
  }
  co_return accepted();
}

awaitable<core::Result<CommandResult>> DatabaseNoticeApi::handle_as_leader(ChangeDatabases notices) {
  if (!replica_.leading()) {
    co_return no_leader();
  }
  auto result = co_await notices_.take_all(std::move(notices), kProposalLimit);
  co_return result;
}

/// Sequences are compared with what came here only: in the log, each heartbeat would be an entry.
bool DatabaseNoticeApi::overtaken(const ReceivedNotice& notice) {
  const auto* told = std::get_if<configuration::RegisterDatabase>(&notice.operation);
  if (told == nullptr || notice.sequence == 0) {
    return false;
  }
  if (heard_.size() >= kMaxHeard && !heard_.contains(told->database.id)) {
    heard_.clear();  // Names that came once and never again; the others are heard again within seconds.
  }
  Heard& heard = heard_[told->database.id];
  const protocol::Life life = protocol::compare_lives(told->database.born, heard.born);
  const bool older = life == protocol::Life::kSame && notice.sequence < heard.sequence;
  if (life == protocol::Life::kEarlier || older) {
    return true;
  }
  heard = Heard{std::max(told->database.born, heard.born), notice.sequence};
  return false;
}

/// Most notices tell what every replica knows already: no need to ask the leader.
bool DatabaseNoticeApi::known(const configuration::Operation& operation) const {
  const configuration::Plan planned = replica_.machine().plan_now(operation);
  return !planned.error && !planned.change;
}

/// Tells where the next notices are best sent: here. Most tell nothing new, which any replica can say, so
/// that they spread over all replicas by themselves as databases move on from one that failed. Of 100
/// machines the busiest replica held 653 connections and took up 18 new ones a second; 1,723 and 65 when all
/// were told to go to the leader.
OperatorReply DatabaseNoticeApi::accepted() const {
  nlohmann::json body = nlohmann::json::object();
  const raft::Node& node = replica_.node();
  const raft::Member* self = node.membership().find(node.config().id);
  if (self != nullptr) {
    body["next"] = self->operators;
  }
  return OperatorReply{200, body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace)};
}

std::optional<core::Endpoint> DatabaseNoticeApi::other_leader() const {
  const raft::Node& node = replica_.node();
  if (!node.leader() || *node.leader() == node.config().id) {
    return std::nullopt;
  }
  return leader_endpoint(node);
}

bool DatabaseNoticeApi::without_leader_for_long() {
  if (replica_.leading() || other_leader()) {
    without_leader_since_.reset();
    return false;
  }
  const core::Instant now = core::BootClock::now();
  without_leader_since_ = without_leader_since_.value_or(now);
  return now - *without_leader_since_ >= kNoticeAnswerLimit;
}

ChangeDatabases DatabaseNoticeApi::unknown_of(const ChangeDatabases& notices) const {
  ChangeDatabases unknown;
  for (const configuration::RegisterDatabase& registration : notices.registrations) {
    if (!known(registration)) {
      unknown.registrations.push_back(registration);
    }
  }
  for (const configuration::DepartDatabase& departure : notices.departures) {
    if (!known(departure)) {
      unknown.departures.push_back(departure);
    }
  }
  return unknown;
}

awaitable<DatabaseNoticeApi::Outcome> DatabaseNoticeApi::propose(ChangeDatabases notices) {
  const core::Instant give_up = core::BootClock::now() + kNoticesLimit;
  while (true) {
    auto outcome = co_await propose_once(unknown_of(notices));
    const bool again = !outcome && worth_another_attempt(outcome.error().kind);
    if (!again || core::BootClock::now() >= give_up) {
      co_return outcome;
    }
    boost::system::error_code ignored;
    boost::asio::steady_timer pause(io_, kRetryInterval);
    co_await pause.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
  }
}

awaitable<DatabaseNoticeApi::Outcome> DatabaseNoticeApi::propose_once(ChangeDatabases notices) {
  if (notices.registrations.empty() && notices.departures.empty()) {
    co_return CommandResult{};
  }
  if (replica_.leading()) {
    configuration::Command command;
    command.operation = std::move(notices);
    auto result = co_await replica_.propose(std::move(command), kProposalLimit);
    co_return result;
  }
  const auto leader = other_leader();
  if (!leader) {
    co_return no_leader();
  }
  auto result = co_await forward_(*leader, std::move(notices), kNoticesLimit);
  co_return result;
}

}  // namespace pipitpond::control
