#include "proxy/daemon.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <random>
#include <utility>

#include "failover/database_monitor.hpp"
#include "logging/logging.hpp"
#include "metrics/metrics.hpp"
#include "protocol/forward.hpp"
#include "proxy/forward_intake.hpp"
#include "proxy/metrics.hpp"
#include "proxy/waiter.hpp"
#include "routing/peer_clock.hpp"
#include "wire/codec.hpp"

namespace pipitpond::proxy {
namespace {

constexpr core::Duration kDrainPoll = std::chrono::milliseconds(20);
/// Longest that requests in progress may go on after the grace: the longest deadline of a request and room.
constexpr core::Duration kDrainRequests = std::chrono::seconds(65);
/// Longest that callers' connections may take to end once no request is in progress.
constexpr core::Duration kDrainCallers = std::chrono::seconds(5);
/// Longest that other daemons may take to learn that what they still pass on here is not run.
constexpr core::Duration kDrainPeers = std::chrono::seconds(2);
constexpr core::Duration kDrainConnections = std::chrono::seconds(2);
constexpr core::Duration kDepartTimeout = std::chrono::seconds(1);
/// Room for the steps between the waits of a drain.
constexpr core::Duration kDrainAllowance = std::chrono::seconds(1);

pcg32 seeded_random() {
  std::random_device device;
  return pcg32((std::uint64_t{device()} << 32U) | device());
}

ExecutorOptions executor_options(const DaemonOptions& options, std::uint64_t incarnation) {
  return {options.id, incarnation, options.session_secret, options.transaction_idle_limit};
}

std::string request_prefix(const DaemonOptions& options, std::uint64_t incarnation) {
  return options.id.value() + "-" + std::to_string(incarnation) + "-";
}

}  // namespace

core::Result<std::unique_ptr<Daemon>> Daemon::create(boost::asio::io_context& io, DaemonOptions options,
                                                     session::FleetKey fleet_key,
                                                     std::unique_ptr<agent::Agent> agent) {
  std::unique_ptr<Daemon> daemon(new Daemon(io, std::move(options), std::move(fleet_key), std::move(agent)));
  auto listening = daemon->listen();
  if (!listening) {
    return core::outcome::failure(listening.error());
  }
  return daemon;
}

Daemon::Daemon(boost::asio::io_context& io, DaemonOptions options, session::FleetKey fleet_key,
               std::unique_ptr<agent::Agent> agent)
    : io_(io),
      options_(std::move(options)),
      fleet_key_(std::move(fleet_key)),
      agent_(std::move(agent)),
      random_(seeded_random()),
      views_(options_.zone),
      owned_(io, options_.id, *agent_),
      executor_(io, executor_options(options_, agent_->incarnation()), owned_),
      peers_(io, options_.id),
      dispatcher_({options_.id, options_.zone}, *agent_, owned_, executor_, peers_, views_),
      progress_questions_(io, dispatcher_),
      confirmation_(io),
      prober_(io, *agent_, owned_, views_),
      parts_{io,
             options_.id,
             options_.zone,
             *agent_,
             fleet_key_,
             policies_,
             views_,
             dispatcher_,
             progress_questions_,
             confirmation_,
             explanations_,
             retry_budgets_,
             random_,
             request_prefix(options_, agent_->incarnation()),
             0},
      statements_(parts_),
      transactions_(parts_, options_.session_secret),
      caller_api_(options_.caller_api, parts_, statements_, transactions_, metrics_,
                  [this] { return not_ready_reason(); }) {}

Daemon::~Daemon() {
  stop();
}

core::Result<void> Daemon::listen() {
  http::ServerOptions callers;
  callers.address = options_.callers.address;
  callers.port = options_.callers.port;
  callers.max_body_bytes = options_.max_body_bytes;
  callers.max_connections = options_.max_connections;
  callers.read_timeout = options_.read_timeout;
  callers.write_timeout = options_.write_timeout;
  auto handler = [this](http::Request request, http::Responder respond) {
    if (request.method == "GET" && request.path == "/metrics") {
      respond(metrics_response());
      return;
    }
    caller_api_.handle(std::move(request), std::move(respond));
  };
  auto callers_server = http::Server::start(io_, callers, std::move(handler));
  if (!callers_server) {
    return core::outcome::failure(callers_server.error());
  }
  callers_server_ = std::move(callers_server).value();
  auto internal_handler = [this](wire::PeerId peer, wire::MessageType type, std::string body) {
    return handle_internal(peer, type, std::move(body));
  };
  auto internal_server = wire::Server::start(io_, options_.internal.address, options_.internal.port,
                                             std::move(internal_handler));
  if (!internal_server) {
    return core::outcome::failure(internal_server.error());
  }
  internal_server_ = std::move(internal_server).value();
  return core::outcome::success();
}

void Daemon::start() {
  agent_->on_change([this](const protocol::Configuration& configuration) { apply(configuration); });
  apply(agent_->configuration());
  agent_->start();
  boost::asio::co_spawn(io_, tick(), boost::asio::detached);
}

void Daemon::apply(const protocol::Configuration& configuration) {
  if (stopped_) {
    return;
  }
  policies_.apply(configuration);
  peers_.apply(configuration);
  owned_.apply(configuration);
}

boost::asio::awaitable<void> Daemon::tick() {
  while (!stopped_) {
    const core::Instant now = core::BootClock::now();
    owned_.refresh_budgets();
    log_lease(now);
    policies_.log_failures();
    prober_.tick(now);
    peers_.tick(now);
    executor_.transactions().roll_back_idle(now, false);
    executor_.transactions().keep_alive_unused(now);
    transactions_.open_transactions().forget_unused(now - options_.transaction_idle_limit);
    co_await sleep_for(io_, failover::kMonitorInterval);
  }
}

void Daemon::log_lease(core::Instant now) {
  const bool has_lease = agent_->lease_valid(now);
  if (has_lease != had_lease_) {
    const auto log = logging::logger("proxy");
    if (has_lease) {
      log->info("Control's lease is valid.");
    } else {
      log->warn("Control's lease has ended: no new database connections until control is heard again.");
    }
  }
  had_lease_ = has_lease;
}

boost::asio::awaitable<core::Result<std::string>> Daemon::handle_internal(wire::PeerId /*peer*/,
                                                                          wire::MessageType type,
                                                                          std::string body) {
  if (type != wire::MessageType::kForward) {
    co_return core::fail(core::ErrorKind::kInvalidArgument, "A daemon takes no such message.",
                         "Check the addresses of daemons and control replicas.");
  }
  auto request = wire::unpack<protocol::ForwardRequest>(body);
  if (!request) {
    co_return core::outcome::failure(request.error());
  }
  protocol::ForwardReply reply = co_await serve_peer(std::move(request).value());
  reply.clock_us = routing::clock_reading(core::BootClock::now());
  co_return wire::pack(reply);
}

boost::asio::awaitable<protocol::ForwardReply> Daemon::serve_peer(protocol::ForwardRequest request) {
  if (request.operation == protocol::Operation::kPing) {
    protocol::ForwardReply reply;
    reply.request = request.request;
    reply.outcome = core::Outcome::kDone;
    co_return reply;
  }
  std::optional<protocol::ForwardReply> late = refuse_late(request, core::BootClock::now());
  if (late) {
    ++metrics_.refused_late;
    co_return std::move(*late);
  }
  ++internal_in_progress_;
  ++metrics_.served_for_peers;
  protocol::ForwardReply reply = co_await executor_.run(std::move(request));
  --internal_in_progress_;
  co_return reply;
}

boost::asio::awaitable<void> Daemon::drain() {
  if (draining_) {
    co_return;
  }
  draining_ = true;
  const auto log = logging::logger("proxy");
  log->info("Drain: callers are asked to move to other daemons.");
  callers_server_->close_after_answers();
  executor_.transactions().refuse_new();
  agent_->set_leaving();
  co_await sleep_for(io_, options_.drain_grace);
  caller_api_.refuse_new();
  log->info(
      "Drain: new work is refused; {} requests are in progress, {} transactions are open here, {} of "
      "callers.",
      caller_api_.in_progress(), executor_.transactions().open(), caller_transactions());
  co_await wait_until([this] { return executor_.transactions().open() == 0 && caller_transactions() == 0; },
                      options_.drain_transactions);
  executor_.transactions().roll_back_idle(core::BootClock::now(), true);
  const core::Instant requests_end = core::BootClock::now() + kDrainRequests;
  co_await wait_until([this] { return caller_api_.in_progress() == 0 && internal_in_progress_ == 0; },
                      kDrainRequests);
  log->info("Drain: the callers' port closes; {} connections wait to be accepted, {} are open.",
            callers_server_->connections_to_accept(), callers_server_->connections());
  co_await callers_server_->drain(time_left(requests_end) + kDrainCallers, http::IdleEnd::kRequestTimeout);
  co_await internal_server_->drain(kDrainPeers);
  owned_.close();
  co_await wait_until([this] { return owned_.held() == 0; }, kDrainConnections);
  log->info("Drain: {} database connections are left.", owned_.held());
  co_await agent_->depart(kDepartTimeout);
  log->info("Drain: ended with {} callers' connections open, {} of them with unread bytes.",
            callers_server_->connections(), callers_server_->connections_with_unread_bytes());
  stop();
}

std::size_t Daemon::caller_transactions() {
  return transactions_.open_transactions().used_since(core::BootClock::now() - options_.drain_grace);
}

core::Duration Daemon::drain_limit() const {
  return options_.drain_grace + options_.drain_transactions + kDrainRequests + kDrainCallers + kDrainPeers +
         kDrainConnections + kDepartTimeout + kDrainAllowance;
}

void Daemon::stop() {
  stopped_ = true;
  owned_.close();
}

boost::asio::awaitable<void> Daemon::wait_until(std::function<bool()> condition, core::Duration limit) {
  const core::Instant give_up = core::BootClock::now() + limit;
  while (!condition() && core::BootClock::now() < give_up) {
    co_await sleep_for(io_, kDrainPoll);
  }
}

http::Response Daemon::metrics_response() const {
  DaemonState state;
  state.requests_in_progress = caller_api_.in_progress();
  state.open_transactions = executor_.transactions().open();
  state.caller_connections = callers_server_->connections();
  state.draining = draining_;
  state.policy_failures = policies_.failures();
  http::Response response;
  response.content_type = metrics::kContentType;
  RequestMetrics requests = metrics_;
  requests.forwarded = dispatcher_.forwarded();
  requests.peers_fell_silent = peers_.counts().fell_silent;
  requests.given_up = peers_.counts().given_up;
  state.silent_peers = peers_.silent();
  response.body = render_metrics(requests, state, *agent_, owned_);
  return response;
}

std::string Daemon::not_ready_reason() const {
  if (draining_) {
    return "This daemon is being stopped.";
  }
  if (agent_->configuration().revision == 0) {
    return "No configuration has been received from control yet.";
  }
  return {};
}

}  // namespace pipitpond::proxy
