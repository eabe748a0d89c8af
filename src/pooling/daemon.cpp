#include "pooling/daemon.hpp"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <utility>

#include "logging/logging.hpp"
#include "pooling/metrics_page.hpp"
#include "pooling/waiting.hpp"

namespace pipitpond::pooling {

using boost::asio::awaitable;

namespace {

/// Without control's lease, and without a primary that its databases have shown, for this long, callers are
/// better served by other daemons.
constexpr core::Duration kReadyWithoutLease = std::chrono::milliseconds(1500);
/// While others learn that this daemon is not ready, new callers are still served: two missed questions and
/// room.
constexpr core::Duration kStillAccepting = std::chrono::milliseconds(2200);
/// Open transactions get this part of the grace to end.
constexpr int kTransactionsShare = 2;
/// Kept back from the grace for saying farewell.
constexpr core::Duration kFarewell = std::chrono::milliseconds(600);
/// For telling other daemons that what they still pass on here is not run; a part of kFarewell.
constexpr core::Duration kDrainPeers = std::chrono::milliseconds(250);
constexpr core::Duration kDrainPoll = std::chrono::milliseconds(50);
/// A session of which nothing was asked for so long is closed at a planned stop.
constexpr core::Duration kQuietBeforeClose = std::chrono::milliseconds(100);

}  // namespace

core::Result<std::unique_ptr<Daemon>> Daemon::start(boost::asio::io_context& io,
                                                    const PoolingSettings& settings,
                                                    DaemonAdapters adapters) {
  logging::set_process(settings.options().id.value());
  auto agent = agent::Agent::create(io, settings.options().agent_options());
  if (!agent) {
    return agent.error();
  }
  std::unique_ptr<Daemon> daemon(new Daemon(io, settings, std::move(adapters), std::move(agent.value())));
  const auto opened = daemon->open_ports();
  if (!opened) {
    return opened.error();
  }
  return daemon;
}

Daemon::Daemon(boost::asio::io_context& io, const PoolingSettings& settings, DaemonAdapters adapters,
               std::unique_ptr<agent::Agent> agent)
    : io_(io),
      settings_(settings),
      options_(settings.options()),
      adapters_(std::move(adapters)),
      agent_(std::move(agent)),
      backends_(io, *adapters_.connector, *agent_, options_.id, options_.zone),
      access_(io, *agent_, options_.id, options_.zone, options_.access),
      services_{io, backends_, routes_, access_, counters_, times_, {}},
      forwards_(backends_, access_) {}

Daemon::~Daemon() = default;

core::Result<void> Daemon::open_ports() {
  SessionHost host;
  host.open = [this](const std::string& database, const protocol::KeyDigest& key) {
    return open_session(database, key);
  };
  listener_ = adapters_.make_listener(io_, std::move(host));
  const auto listening = listener_->start();
  if (!listening) {
    return listening.error();
  }
  http::ServerOptions admin;
  admin.address = options_.admin.address;
  admin.port = options_.admin.port;
  auto server =
      http::Server::start(io_, admin, [this](const http::Request& request, const http::Responder& respond) {
        serve_admin(request, respond);
      });
  if (!server) {
    return server.error();
  }
  admin_ = std::move(server.value());
  const auto internal = open_internal_port();
  if (!internal) {
    return internal.error();
  }
  agent_->on_change([this](const protocol::Configuration& configuration) { apply(configuration); });
  agent_->start();
  boost::asio::co_spawn(io_, tick(), boost::asio::detached);
  return core::outcome::success();
}

core::Result<void> Daemon::open_internal_port() {
  auto peers = wire::Server::start(
      io_, options_.internal.address, options_.internal.port,
      [this](wire::PeerId peer, wire::MessageType type, std::string body) {
        return forwards_.handle(peer, type, std::move(body));
      },
      [this](wire::PeerId peer) { forwards_.peer_closed(peer); });
  if (!peers) {
    return peers.error();
  }
  peers_ = std::move(peers.value());
  return core::outcome::success();
}

void Daemon::apply(const protocol::Configuration& configuration) {
  if (configuration.routes.version != routes_.version()) {
    logging::logger("pooling")->info("event=routes_in_force version={} revision={}",
                                     configuration.routes.version, configuration.revision);
  }
  routes_.apply(configuration.routes);
  access_.apply(core::BootClock::now(), configuration);
  backends_.apply(configuration);
}

awaitable<void> Daemon::tick() {
  while (true) {
    const core::Instant now = core::BootClock::now();
    const bool has_lease = agent_->lease_valid(now);
    if (had_lease_ && !has_lease) {
      lease_lost_since_ = now;
      logging::logger("pooling")->warn("event=lease_lost revision={}", agent_->configuration().revision);
    } else if (!had_lease_ && has_lease) {
      logging::logger("pooling")->info("event=lease_gained revision={}", agent_->configuration().revision);
    }
    had_lease_ = has_lease;
    backends_.tick(now);
    const std::set<CallerSession*> sessions = services_.sessions;
    for (CallerSession* session : sessions) {
      session->end_transaction_if_idle(now);
    }
    forwards_.end_idle_transactions(now, routes_.transaction_idle_limit());
    log_readiness();
    co_await pause_for(io_, kBackendsTick);
  }
}

core::Result<std::unique_ptr<CallerSession>> Daemon::open_session(const std::string& database,
                                                                  const protocol::KeyDigest& key) {
  if (routes_.version() == 0) {
    return core::fail(core::ErrorKind::kUnavailable, "No routes have been received from control yet.",
                      "Try again in a second.", 1000);
  }
  const auto route = routes_.find(database);
  if (!route) {
    return core::fail(core::ErrorKind::kNotFound, "No route serves database " + database + ".",
                      "Name a database of the route table.");
  }
  const tenancy::Verdict verdict = access_.judge(*route, key, core::BootClock::now()).verdict;
  if (verdict != tenancy::Verdict::kAllowed) {
    access_.count(verdict);
    const bool unknown = verdict == tenancy::Verdict::kUnknownKey;
    return core::fail(unknown ? core::ErrorKind::kPermissionDenied : core::ErrorKind::kUnavailable,
                      unknown ? "Nobody holds this key." : "This daemon can't be sure of the keys.",
                      unknown ? "Use a key of a tenant." : "Try again at another daemon.");
  }
  return std::make_unique<CallerSession>(services_, database, key);
}

// --- Readiness and metrics
// -------------------------------------------------------------------------------------

void Daemon::serve_admin(const http::Request& request, const http::Responder& respond) {
  http::Response response;
  if (request.path == options_.ready_path) {
    const std::string reason = not_ready_reason();
    response.status = reason.empty() ? 200 : 503;
    response.body = reason.empty() ? "ready" : reason;
    response.content_type = "text/plain";
  } else if (request.path == "/metrics") {
    response.content_type = metrics::kContentType;
    response.body = metrics_page(counters_, backends_, access_, *agent_, listener_->sessions(),
                                 not_ready_reason().empty()) +
                    times_.text();
  } else {
    response.status = 404;
    response.body = "There is " + options_.ready_path + " and /metrics.";
    response.content_type = "text/plain";
  }
  respond(std::move(response));
}

std::string Daemon::not_ready_reason() const {
  if (stopping_) {
    return "This daemon is being stopped.";
  }
  if (routes_.version() == 0) {
    return "No routes have been received from control yet.";
  }
  const core::Instant last_certain = std::max(lease_lost_since_, backends_.last_primary_proof());
  if (!had_lease_ && core::BootClock::now() - last_certain > kReadyWithoutLease) {
    return "Control is out of reach.";
  }
  if (!access_.keys_are_certain(core::BootClock::now())) {
    return "The callers' keys are not certain.";
  }
  return {};
}

void Daemon::log_readiness() {
  const std::string reason = not_ready_reason();
  if (reason == last_reason_) {
    return;
  }
  last_reason_ = reason;
  const auto log = logging::logger("pooling");
  if (reason.empty()) {
    log->info("event=ready routes_version={}", routes_.version());
  } else {
    log->warn("event=not_ready reason={}", logging::field(reason));
  }
}

// --- Stop
// ------------------------------------------------------------------------------------------------------

void Daemon::reload() {
  agent_->set_control(settings_.options().agent_options().control);
}

void Daemon::stop(std::function<void()> stopped) {
  boost::asio::co_spawn(io_, drain(std::move(stopped)), boost::asio::detached);
}

awaitable<void> Daemon::drain(std::function<void()> stopped) {
  const core::Instant begun = core::BootClock::now();
  const core::Instant give_up = begun + options_.stop_grace - kFarewell;
  const auto log = logging::logger("pooling");
  stopping_ = true;
  log->info("event=drain_begun sessions={} forwarded={}", listener_->sessions(), forwards_.in_progress());
  forwards_.refuse_new();
  // Control learns of it at the end only: a leaving daemon has no share of the databases' connections.
  co_await close_quiet_sessions(begun + kStillAccepting);
  listener_->stop_accepting();
  co_await close_quiet_sessions(begun + options_.stop_grace / kTransactionsShare);
  listener_->close_after_answers();
  forwards_.end_transactions();
  for (CallerSession* session : std::set<CallerSession*>(services_.sessions)) {
    session->end_transaction_for_stop();
  }
  co_await close_quiet_sessions(give_up);
  log->info("event=drain_ended sessions={} forwarded={}", listener_->sessions(), forwards_.in_progress());
  access_.stop();
  co_await peers_->drain(kDrainPeers);
  agent_->set_leaving();
  backends_.close();
  co_await agent_->depart(kFarewell / 2);
  stopped();
}

/// Until then, or until there is no session left and no more callers come.
awaitable<void> Daemon::close_quiet_sessions(core::Instant until) {
  while (core::BootClock::now() < until) {
    listener_->close_idle_sessions(kQuietBeforeClose);
    const bool done = services_.sessions.empty() && !listener_->accepting() && forwards_.in_progress() == 0;
    if (done) {
      co_return;
    }
    co_await pause_for(io_, kDrainPoll);
  }
}

}  // namespace pipitpond::pooling
