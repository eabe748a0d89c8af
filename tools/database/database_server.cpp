#include "database_server.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <cstdlib>
#include <utility>

#include "admin.hpp"
#include "logging/logging.hpp"
#include "requests.hpp"

namespace pipitpond::database_program {
namespace {

constexpr std::size_t kMaxBodyBytes = 16UL * 1024 * 1024;
constexpr auto kDrainCheckInterval = std::chrono::milliseconds(20);

}  // namespace

core::Result<std::unique_ptr<DatabaseServer>> DatabaseServer::start(boost::asio::io_context& io,
                                                                    Options options) {
  std::unique_ptr<DatabaseServer> server(new DatabaseServer(io, std::move(options)));
  BOOST_OUTCOME_TRY(server->recover());
  BOOST_OUTCOME_TRY(server->listen());
  server->schedule_flush();
  return server;
}

DatabaseServer::~DatabaseServer() {
  for (auto& [database, link] : peers_) {
    link->close();
  }
}

core::Result<void> DatabaseServer::recover() {
  standin::DurableState state;
  if (!options_.data_folder.empty()) {
    BOOST_OUTCOME_TRY(opened, Journal::open(options_.data_folder));
    journal_ = std::move(opened.journal);
    state = std::move(opened.state);
  }
  engine_ = std::make_unique<standin::Engine>(engine_options(options_), std::move(state), now());
  return core::outcome::success();
}

core::Result<void> DatabaseServer::listen() {
  http::ServerOptions http_options;
  http_options.address = options_.listen_address;
  http_options.port = options_.listen_port;
  http_options.max_body_bytes = kMaxBodyBytes;
  auto server = http::Server::start(
      io_, http_options,
      [this](http::Request request, http::Responder responder) {
        handle(std::move(request), std::move(responder));
      },
      [this](http::ConnectionId connection) { connection_closed(connection); });
  if (!server) {
    return server.as_failure();
  }
  server_ = std::move(server).value();
  logging::logger("database")->info("Listening on {}:{}.", options_.listen_address, port());
  return core::outcome::success();
}

void DatabaseServer::handle(http::Request request, http::Responder responder) {
  if (handle_process_call(request, responder)) {
    return;
  }
  const auto engine_request = to_engine_request(request);
  if (!engine_request) {
    responder(to_response(engine_request.error()));
    return;
  }
  const auto call = ++last_call_;
  pending_.emplace(call, PendingCall{request.connection, std::move(responder)});
  engine_->handle(now(), call, request.connection, engine_request.value());
  schedule_flush();
}

bool DatabaseServer::handle_process_call(const http::Request& request, const http::Responder& responder) {
  http::Response response;
  if (request.path == "/healthz" || request.path == "/readyz") {
    response.body = R"({"ready":true})";
  } else if (request.path == "/metrics") {
    response.content_type = "text/plain; version=0.0.4";
    response.body = metrics_text(*engine_, now().instant);
  } else if (request.path == "/v1/admin") {
    response = handle_admin(*engine_, request);
    schedule_flush();
  } else {
    return false;
  }
  responder(std::move(response));
  return true;
}

void DatabaseServer::connection_closed(http::ConnectionId connection) {
  std::erase_if(pending_, [connection](const auto& call) { return call.second.connection == connection; });
  engine_->connection_closed(now(), connection);
  schedule_flush();
}

void DatabaseServer::schedule_flush() {
  if (flush_scheduled_) {
    return;
  }
  flush_scheduled_ = true;
  boost::asio::post(io_, [this] { flush(); });
}

void DatabaseServer::flush() {
  flush_scheduled_ = false;
  bool more = true;
  while (more) {
    auto effects = engine_->take_effects();
    for (auto& answer : effects.answers) {
      respond(std::move(answer));
    }
    for (auto& message : effects.replicate) {
      send(std::move(message));
    }
    for (const auto connection : effects.close) {
      server_->close(connection);
    }
    more = write_disk(effects);
  }
  arm_timer();
}

/// True when records were written: the engine may then have more to do.
bool DatabaseServer::write_disk(standin::Effects& effects) {
  if (effects.disk.empty()) {
    return false;
  }
  if (journal_) {
    const auto written = journal_->append(effects.disk, effects.sync && options_.data_sync);
    if (!written) {
      // What the disk holds is unknown now; only a restart can tell.
      logging::logger("database")->critical("Disk failed: {}", core::describe(written.error()));
      std::_Exit(EXIT_FAILURE);
    }
  }
  engine_->synced(now(), effects.disk_sequence);
  return true;
}

void DatabaseServer::send(standin::ReplicateMessage message) {
  const auto peer = message.peer.database;
  const auto known =
      std::find_if(options_.peers.begin(), options_.peers.end(),
                   [&peer](const PeerOverride& other) { return other.database == peer.value(); });
  const auto endpoint = known == options_.peers.end() ? message.peer.endpoint : known->endpoint;
  auto& link = peers_[peer];
  if (!link || link->endpoint() != endpoint) {
    if (link) {
      link->close();
    }
    link = std::make_shared<PeerLink>(
        io_, endpoint, [this, peer](std::uint64_t sequence, std::optional<standin::Response> response) {
          replicate_done(peer, sequence, response);
        });
  }
  link->send(std::move(message));
}

void DatabaseServer::replicate_done(const core::DatabaseId& peer, std::uint64_t sequence,
                                    const std::optional<standin::Response>& response) {
  if (response) {
    engine_->replicate_answered(now(), peer, sequence, *response);
  } else {
    engine_->replicate_failed(now(), peer, sequence);
  }
  schedule_flush();
}

void DatabaseServer::respond(standin::Answer answer) {
  const auto found = pending_.find(answer.call);
  if (found == pending_.end()) {
    return;  // The caller has gone.
  }
  const auto responder = std::move(found->second.responder);
  pending_.erase(found);
  http::Response response;
  response.status = standin::http_status(answer.response);
  response.body = standin::to_body(answer.response);
  responder(std::move(response));
}

void DatabaseServer::arm_timer() {
  const auto wakeup = engine_->next_wakeup();
  if (!wakeup) {
    timer_.cancel();
    return;
  }
  timer_.expires_after(std::max(*wakeup - now().instant, core::Duration::zero()));
  timer_.async_wait([this](boost::system::error_code error) {
    if (!error) {
      engine_->tick(now());
      schedule_flush();
    }
  });
}

void DatabaseServer::stop(std::function<void()> stopped) {
  stopped_ = std::move(stopped);
  drain_deadline_ = now().instant + options_.drain_timeout;
  engine_->handle(now(), ++last_call_, 0, database::DrainRequest{true});
  schedule_flush();
  check_drained();
}

void DatabaseServer::check_drained() {
  const auto status = engine_->status(now().instant);
  const bool idle = engine_->quiet() && status.connections == 0 && status.role != database::Role::kPrimary;
  if (idle || now().instant >= drain_deadline_) {
    stopped_();
    return;
  }
  drain_timer_.expires_after(kDrainCheckInterval);
  drain_timer_.async_wait([this](boost::system::error_code error) {
    if (!error) {
      check_drained();
    }
  });
}

standin::Now DatabaseServer::now() {
  return {core::BootClock::now(), core::unix_millis_now()};
}

}  // namespace pipitpond::database_program
