// pipitpond-proxy: one daemon of the fleet, which serves callers.
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <functional>
#include <memory>
#include <utility>

#include "agent/agent.hpp"
#include "proxy/daemon.hpp"
#include "proxy/options.hpp"
#include "runtime/program.hpp"
#include "session/token.hpp"

namespace {

using namespace pipitpond;

class ProxyDaemon : public runtime::Daemon {
 public:
  ProxyDaemon(boost::asio::io_context& io, std::unique_ptr<proxy::Daemon> daemon)
      : io_(io), daemon_(std::move(daemon)) {
    daemon_->start();
  }

  void stop(std::function<void()> stopped) override {
    boost::asio::co_spawn(io_, drain(std::move(stopped)), boost::asio::detached);
  }

  [[nodiscard]] core::Duration stop_limit() const override { return daemon_->drain_limit(); }

 private:
  boost::asio::awaitable<void> drain(std::function<void()> stopped) {
    co_await daemon_->drain();
    stopped();
  }

  boost::asio::io_context& io_;
  std::unique_ptr<proxy::Daemon> daemon_;
};

core::Result<std::unique_ptr<runtime::Daemon>> start(boost::asio::io_context& io,
                                                     const proxy::ProxySettings& settings) {
  auto fleet_key = session::FleetKey::create(settings.daemon_options().session_secret);
  if (!fleet_key) {
    return fleet_key.error();
  }
  auto agent = agent::Agent::create(io, settings.agent_options());
  if (!agent) {
    return agent.error();
  }
  auto daemon = proxy::Daemon::create(io, settings.daemon_options(), std::move(fleet_key).value(),
                                      std::move(agent).value());
  if (!daemon) {
    return daemon.error();
  }
  return std::unique_ptr<runtime::Daemon>(std::make_unique<ProxyDaemon>(io, std::move(daemon).value()));
}

}  // namespace

int main(int argc, char** argv) {
  proxy::ProxySettings settings;
  const settings::Program program{"pipitpond-proxy",
                                  "One daemon of a pipitpond fleet, which serves callers."};
  return runtime::run_daemon(argc, argv, program, settings.section(),
                             [&settings](boost::asio::io_context& io) { return start(io, settings); });
}
