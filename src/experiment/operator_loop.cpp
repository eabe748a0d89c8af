#include "experiment/operator_loop.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "core/clock.hpp"
#include "workload/proxy_client.hpp"

namespace pipitpond::experiment {
namespace {

constexpr core::Duration kAnswerTimeout = std::chrono::seconds(4);
constexpr core::Duration kRetryPause = std::chrono::milliseconds(100);
constexpr std::size_t kMostAttempts = 60;
constexpr std::size_t kRacers = 4;
constexpr unsigned kFirstServerError = 500;
constexpr unsigned kNotFound = 404;
constexpr const char* kChangedZone = "measure-changes";
constexpr const char* kRacedZone = "measure-races";

std::string path_of(const std::string& zone) {
  return "/v1/zones/" + zone;
}

}  // namespace

OperatorLoop::OperatorLoop(boost::asio::io_context& io, const Fleet& fleet,
                           oracle::Observations& observations)
    : io_(io), fleet_(fleet), observations_(observations) {}

void OperatorLoop::start() {
  boost::asio::co_spawn(io_, run(), boost::asio::detached);
}

void OperatorLoop::note_accepted(std::uint64_t revision) {
  observations_.changes.push_back({workload::unix_micros_now(), revision});
}

void OperatorLoop::check_not_reverted(std::uint64_t revision) {
  if (revision < last_accepted_) {
    ++observations_.control_reverts;
  }
}

nlohmann::json OperatorLoop::change(std::uint64_t revision, const std::string& region) {
  const std::string number = std::to_string(next_change_++);
  nlohmann::json body;
  body["revision"] = revision;
  body["key"] = std::to_string(core::unix_millis_now()) + "-measure-" + number;
  body["spec"]["region"] = region + "-" + number;
  return body;
}

boost::asio::awaitable<std::optional<JsonReply>> OperatorLoop::ask(std::string method, std::string path,
                                                                   nlohmann::json body) {
  const std::vector<FleetProcess> replicas = fleet_.of_kind("control", "");
  for (std::size_t attempt = 0; attempt < kMostAttempts && !replicas.empty(); ++attempt) {
    const FleetProcess& replica = replicas[next_replica_ % replicas.size()];
    const auto reply = co_await call_once(io_, replica.endpoint, method, path, body, kAnswerTimeout);
    if (reply && reply.value().status < kFirstServerError) {
      co_return reply.value();
    }
    ++next_replica_;
    co_await workload::pause(io_, kRetryPause);
  }
  co_return std::nullopt;
}

boost::asio::awaitable<std::optional<std::uint64_t>> OperatorLoop::revision_of(std::string zone) {
  const auto reply = co_await ask("GET", path_of(zone), nullptr);
  if (!reply) {
    co_return std::nullopt;
  }
  if (reply->status == kNotFound) {
    co_return 0;
  }
  co_return reply->body.value("revision", std::uint64_t{0});
}

boost::asio::awaitable<void> OperatorLoop::run() {
  while (!stopping_) {
    const auto revision = co_await revision_of(kChangedZone);
    if (revision) {
      check_not_reverted(*revision);
      const nlohmann::json body = change(*revision, "region");
      const auto reply = co_await ask("PUT", path_of(kChangedZone), body);
      if (reply && reply->accepted()) {
        last_accepted_ = reply->body.value("revision", std::uint64_t{0});
        note_accepted(last_accepted_);
      }
    }
    co_await workload::pause(io_, kChangeInterval);
  }
}

boost::asio::awaitable<void> OperatorLoop::race_once(std::string zone, nlohmann::json body,
                                                     std::size_t replica,
                                                     std::optional<std::uint64_t>* accepted,
                                                     std::size_t* running) {
  const std::vector<FleetProcess> replicas = fleet_.of_kind("control", "");
  const core::Endpoint endpoint = replicas[replica % replicas.size()].endpoint;
  for (std::size_t attempt = 0; attempt < kMostAttempts; ++attempt) {
    const auto reply = co_await call_once(io_, endpoint, "PUT", path_of(zone), body, kAnswerTimeout);
    if (reply && reply.value().status < kFirstServerError) {
      if (reply.value().accepted()) {
        *accepted = reply.value().body.value("revision", std::uint64_t{0});
      }
      break;
    }
    co_await workload::pause(io_, kRetryPause);
  }
  --*running;
}

boost::asio::awaitable<RaceResult> OperatorLoop::race() {
  RaceResult result;
  const auto revision = co_await revision_of(kRacedZone);
  if (!revision) {
    result.remark = "control did not answer";
    co_return result;
  }
  std::vector<nlohmann::json> bodies;
  for (std::size_t racer = 0; racer < kRacers; ++racer) {
    bodies.push_back(change(*revision, "racer"));
  }
  std::vector<std::optional<std::uint64_t>> accepted(kRacers);
  std::size_t running = kRacers;
  for (std::size_t racer = 0; racer < kRacers; ++racer) {
    boost::asio::co_spawn(io_, race_once(kRacedZone, bodies[racer], racer, &accepted[racer], &running),
                          boost::asio::detached);
  }
  while (running > 0) {
    co_await workload::pause(io_, kRetryPause);
  }
  for (std::size_t racer = 0; racer < kRacers; ++racer) {
    if (!accepted[racer]) {
      continue;
    }
    ++result.accepted;
    note_accepted(*accepted[racer]);
    const auto resent = co_await ask("PUT", path_of(kRacedZone), bodies[racer]);
    const bool same =
        resent && resent->accepted() && resent->body.value("revision", std::uint64_t{0}) == *accepted[racer];
    result.resend_differs = result.resend_differs || !same;
  }
  result.remark = std::to_string(result.accepted) + " of " + std::to_string(kRacers) + " accepted" +
                  (result.resend_differs ? ", a resend got another answer" : "");
  co_return result;
}

}  // namespace pipitpond::experiment
