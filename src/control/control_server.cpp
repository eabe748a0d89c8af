#include "control/control_server.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>
#include <string>

#include "control/random_number.hpp"
#include "logging/logging.hpp"
#include "policy/program.hpp"
#include "wire/codec.hpp"

namespace pipitpond::control {
namespace {

using boost::asio::awaitable;

/// Interval at which connections to all other members are checked.
constexpr core::Duration kConnectionCheckInterval = std::chrono::milliseconds(50);
/// Interval between attempts to open the data folder while its disk is full.
constexpr core::Duration kFullDiskRetryInterval = std::chrono::milliseconds(500);
constexpr core::Duration kLeadershipTransferTimeout = std::chrono::seconds(3);
constexpr core::Duration kRequestDrainTimeout = std::chrono::seconds(5);
/// Time for rejecting what daemons and other replicas still send during the shutdown.
constexpr core::Duration kWireDrainTimeout = std::chrono::milliseconds(500);
constexpr core::Duration kPollInterval = std::chrono::milliseconds(20);
/// Maximum number of polls by announce() for a configuration, which the replica applies soon after its start.
constexpr int kMaxStatePolls = 10;
constexpr std::uint32_t kMillisPerSecond = 1000;

/// Increments a counter of requests for its own lifetime.
class InFlightRequest {
 public:
  explicit InFlightRequest(std::size_t& count) : count_(count) { ++count_; }
  ~InFlightRequest() { --count_; }
  InFlightRequest(const InFlightRequest&) = delete;
  InFlightRequest& operator=(const InFlightRequest&) = delete;

 private:
  std::size_t& count_;
};

http::Response json_response(unsigned status, std::string body) {
  http::Response response;
  response.status = status;
  response.body = std::move(body);
  return response;
}

/// Converts the milliseconds in the body to the whole seconds of the header Retry-After, rounded up.
std::string retry_after_seconds(const std::string& body) {
  const auto json = nlohmann::json::parse(body, nullptr, false);
  std::uint32_t millis = 0;
  if (json.is_object() && json.contains("error") && json.at("error").is_object()) {
    millis = json.at("error").value("retry_after_ms", 0U);
  }
  return std::to_string(std::max(1U, (millis + kMillisPerSecond - 1) / kMillisPerSecond));
}

http::Response to_response(protocol::OperatorReply reply) {
  http::Response response = json_response(reply.status, std::move(reply.body));
  if (response.status == 429 || response.status == 503) {
    response.headers.push_back(http::Header{"Retry-After", retry_after_seconds(response.body)});
  }
  return response;
}

}  // namespace

ControlServer::ControlServer(boost::asio::io_context& io, ControlOptions options,
                             std::function<void(const core::Error&)> failed, ControlAdapters adapters)
    : io_(io),
      options_(std::move(options)),
      on_failure_(std::move(failed)),
      adapters_(std::move(adapters)),
      peers_(io,
             [this](raft::Message message) {
               if (replica_) {
                 replica_->receive(std::move(message));
               }
             }),
      notices_(io, [this](protocol::Revision revision) { notify_daemons(revision); }) {}

awaitable<core::Result<void>> ControlServer::start() {
  logging::set_process(options_.name);
  auto disk = co_await open_disk(options_, peers_);
  while (!disk && disk.error().kind == core::ErrorKind::kNoCapacity) {
    logging::logger("control")->error("event=disk_full_at_start {}", core::describe(disk.error()));
    co_await pause(kFullDiskRetryInterval);
    disk = co_await open_disk(options_, peers_);
  }
  if (!disk) {
    co_return disk.error();
  }
  disk_ = std::move(disk.value());
  make_replica(disk_.storage->take_state());
  make_services();
  auto opened = open_ports();
  if (!opened) {
    co_return opened;
  }
  replica_->start();
  duties_->start();
  if (platform_) {
    platform_->start();
  }
  boost::asio::co_spawn(io_, joiner_->run(), boost::asio::detached);
  boost::asio::co_spawn(io_, announce(), boost::asio::detached);
  boost::asio::co_spawn(io_, keep_members_connected(), boost::asio::detached);
  co_return core::outcome::success();
}

void ControlServer::make_replica(raft::PersistedState persisted) {
  raft::Config config;
  config.id = disk_.identity.id;
  config.cluster = disk_.identity.cluster;
  config.heartbeat_interval = options_.heartbeat_interval;
  config.election_timeout_min = options_.election_timeout_min;
  config.election_timeout_max = options_.election_timeout_max;
  config.open_membership = options_.open_membership;
  // A majority must remain after the loss of `tolerated_losses` voters.
  config.min_voters = 2 * std::size_t{options_.tolerated_losses} + 1;
  ReplicaEvents events;
  events.configuration_changed = [this](const protocol::Configuration& value) { on_configuration(value); };
  events.leadership_changed = [this](bool leading) { on_leadership(leading); };
  events.failed = on_failure_;
  const auto persist = [this](const raft::Ready& ready) { return disk_.storage->persist(ready); };
  const auto send_message = [this](raft::Message message) { send(std::move(message)); };
  replica_ = std::make_unique<Replica>(io_, config, std::move(persisted), random_number(), persist,
                                       send_message, events);
}

void ControlServer::make_services() {
  duties_ = std::make_unique<LeaderDuties>(
      io_, *replica_, options_.daemon_lease,
      [this](DatabaseCallCallbacks callbacks) { return make_database_calls(std::move(callbacks)); });
  const auto forward = [this](core::Endpoint leader, protocol::OperatorRequest request,
                              core::Duration timeout) {
    return peers_.forward(std::move(leader), std::move(request), timeout);
  };
  operators_ = std::make_unique<OperatorApi>(io_, *replica_, *duties_, forward, policy::check);
  daemons_ = std::make_unique<DaemonService>(*replica_, *duties_, [this](protocol::OperatorRequest request) {
    return serve_forwarded(std::move(request));
  });
  announcer_ = std::make_unique<Announcer>(io_, options_.self().internal,
                                           [this] { return daemons_->silent_daemons(); });
  joiner_ = std::make_unique<Joiner>(
      io_, replica_->node(), peers_,
      [this](const raft::Message& message) { send_to_connected_replicas(message); }, options_.self(),
      options_.peers);
  if (options_.platform) {
    platform_ = std::make_unique<PlatformWatch>(io_, *options_.platform, options_.platform_interval,
                                                *replica_, *duties_);
  }
}

std::unique_ptr<DatabaseCalls> ControlServer::make_database_calls(DatabaseCallCallbacks callbacks) {
  if (!adapters_.make_database_calls) {
    return std::make_unique<HttpDatabaseCalls>(io_, options_.database_calls, std::move(callbacks));
  }
  FencedLeadership fenced_leadership;
  fenced_leadership.holds = [this] {
    return replica_->leading() && replica_->node().has_quorum(core::BootClock::now());
  };
  fenced_leadership.token = [this] { return replica_->node().term(); };
  return adapters_.make_database_calls(io_, std::move(fenced_leadership), std::move(callbacks));
}

core::Result<void> ControlServer::open_ports() {
  auto wire_server = wire::Server::start(
      io_, options_.internal.address, options_.internal.port,
      [this](wire::PeerId peer, wire::MessageType type, std::string body) {
        return daemons_->handle(peer, type, std::move(body));
      },
      [this](wire::PeerId peer) { daemons_->peer_closed(peer); });
  if (!wire_server) {
    return wire_server.error();
  }
  wire_ = std::move(wire_server.value());
  http::ServerOptions http_options;
  http_options.address = options_.operators.address;
  http_options.port = options_.operators.port;
  auto http_server =
      http::Server::start(io_, http_options, [this](http::Request request, http::Responder respond) {
        on_http(std::move(request), std::move(respond));
      });
  if (!http_server) {
    return http_server.error();
  }
  http_ = std::move(http_server.value());
  return core::outcome::success();
}

void ControlServer::send(raft::Message message) {
  if (const raft::Member* member = replica_->node().membership().find(message.to)) {
    peers_.send(member->internal, message);
    return;
  }
  // The receiver is joining or was just removed, so its endpoint is unknown: reply over its own connection.
  const auto peer = daemons_->peer_of(message.to);
  if (peer && wire_) {
    wire_->notify(*peer, wire::MessageType::kRaft, wire::pack(message));
  }
}

void ControlServer::send_to_connected_replicas(const raft::Message& message) {
  if (!wire_) {
    return;
  }
  for (const auto& [replica, peer] : daemons_->replica_peers()) {
    wire_->notify(peer, wire::MessageType::kRaft, wire::pack(message));
  }
}

void ControlServer::on_configuration(const protocol::Configuration& configuration) {
  logging::logger("control")->info("event=revision_in_force revision={}", configuration.revision);
  duties_->on_configuration(configuration);
  notices_.announce(configuration.revision);
}

void ControlServer::notify_daemons(protocol::Revision revision) {
  if (!wire_) {
    return;
  }
  const std::string notice = wire::pack(protocol::RevisionNotice{revision});
  for (const wire::PeerId peer : daemons_->daemon_peers()) {
    wire_->notify(peer, wire::MessageType::kRevisionNotice, notice);
  }
}

void ControlServer::on_leadership(bool leading) {
  logging::logger("control")->info("event={} term={} revision={}",
                                   leading ? "leadership_gained" : "leadership_lost", replica_->node().term(),
                                   replica_->machine().configuration().revision);
  duties_->on_leadership(leading);
}

void ControlServer::on_http(http::Request request, http::Responder respond) {
  if (adapters_.translate_request) {
    if (auto call = adapters_.translate_request(request)) {
      boost::asio::co_spawn(io_, serve_translated(std::move(*call), std::move(respond)),
                            boost::asio::detached);
      return;
    }
  }
  if (request.path == "/healthz") {
    respond(json_response(200, R"({"status":"ok"})"));
  } else if (request.path == "/readyz") {
    respond(readiness());
  } else if (request.path == "/metrics") {
    http::Response response;
    response.content_type = metrics::kContentType;
    response.body = render_metrics(*replica_, *duties_, *daemons_, io_counters());
    respond(std::move(response));
  } else {
    boost::asio::co_spawn(io_, serve_operator(std::move(request), std::move(respond)), boost::asio::detached);
  }
}

IoCounters ControlServer::io_counters() const {
  IoCounters counters;
  counters.wire_bytes_received = peers_.bytes_received() + (wire_ ? wire_->bytes_received() : 0);
  counters.wire_bytes_sent = peers_.bytes_sent() + (wire_ ? wire_->bytes_sent() : 0);
  counters.log_bytes_written = disk_.storage->bytes_written();
  return counters;
}

http::Response ControlServer::readiness() const {
  if (stopping_) {
    return json_response(503, R"({"status":"stopping"})");
  }
  if (replica_->disk_full()) {
    return json_response(503, R"({"status":"the disk is full"})");
  }
  const raft::Node& node = replica_->node();
  if (node.membership().find(node.config().id) == nullptr) {
    return json_response(503, R"({"status":"joining"})");
  }
  if (!replica_->leading() && (!node.leader() || *node.leader() == node.config().id)) {
    return json_response(503, R"({"status":"no leader is known"})");
  }
  return json_response(200, R"({"status":"ready"})");
}

awaitable<void> ControlServer::serve_operator(http::Request request, http::Responder respond) {
  const InFlightRequest counted(requests_in_progress_);
  protocol::OperatorRequest operator_request{request.method, request.path, request.query, request.body};
  auto reply = co_await operators_->handle(std::move(operator_request));
  respond(to_response(std::move(reply)));
}

awaitable<void> ControlServer::serve_translated(TranslatedCall call, http::Responder respond) {
  const InFlightRequest counted(requests_in_progress_);
  auto reply = co_await operators_->handle(std::move(call.request));
  respond(call.answer(std::move(reply)));
}

awaitable<protocol::OperatorReply> ControlServer::serve_forwarded(protocol::OperatorRequest request) {
  const InFlightRequest counted(requests_in_progress_);
  auto reply = co_await operators_->handle_as_leader(std::move(request));
  co_return reply;
}

awaitable<void> ControlServer::pause(core::Duration duration) {
  boost::system::error_code ignored;
  boost::asio::steady_timer timer(io_, duration);
  co_await timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
}

void ControlServer::reload(const ControlOptions& options) {
  options_.peers = options.peers;
  joiner_->set_configured(options_.peers);
}

awaitable<void> ControlServer::announce() {
  for (int poll = 0; poll < kMaxStatePolls && replica_->machine().configuration().revision == 0; ++poll) {
    co_await pause(kPollInterval);
  }
  if (!stopping_) {
    co_await announcer_->run();
  }
}

/// Raft messages are dropped while there is no connection. Without this loop, the first vote requests of a
/// candidate would only open the connections, and the election would time out with no winner.
awaitable<void> ControlServer::keep_members_connected() {
  const raft::Node& node = replica_->node();
  while (!stopping_) {
    for (const raft::Member& member : node.membership().members) {
      if (member.id != node.config().id) {
        peers_.keep_connected(member.internal);
      }
    }
    co_await pause(kConnectionCheckInterval);
  }
}

awaitable<void> ControlServer::stop() {
  stopping_ = true;
  announcer_->stop();
  joiner_->stop();
  http_->close_after_answers();
  co_await transfer_leadership_and_wait();
  co_await http_->drain(kRequestDrainTimeout, http::IdleEnd::kSilent);
  co_await wait_for_requests();
  co_await wire_->drain(kWireDrainTimeout);
  if (platform_) {
    platform_->stop();
  }
  duties_->stop();
  replica_->stop();
  http_.reset();
  wire_.reset();
}

awaitable<void> ControlServer::transfer_leadership_and_wait() {
  const core::Instant deadline = core::BootClock::now() + kLeadershipTransferTimeout;
  const raft::Node& node = replica_->node();
  while (node.role() == raft::Role::kLeader && core::BootClock::now() < deadline) {
    const bool alone = node.membership().voter_count() <= 1;
    if (alone) {
      co_return;
    }
    if (!node.transferring()) {
      (void)replica_->transfer_leadership();
    }
    co_await pause(kPollInterval);
  }
}

awaitable<void> ControlServer::wait_for_requests() {
  const core::Instant deadline = core::BootClock::now() + kRequestDrainTimeout;
  while (requests_in_progress_ > 0 && core::BootClock::now() < deadline) {
    co_await pause(kPollInterval);
  }
}

}  // namespace pipitpond::control
