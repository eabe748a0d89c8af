// The components of a pooling daemon that serve callers, with fake databases, for tests with several daemons.
#pragma once

#include <string>

#include "pooling/caller_session.hpp"
#include "pooling/fake_backends.hpp"

namespace pipitpond::pooling {

struct DaemonParts {
  DaemonParts(boost::asio::io_context& io, const std::string& name, const std::string& zone)
      : connector(io),
        backends(io, connector, agent, core::DaemonId(name), core::ZoneName(zone)),
        access(io, agent, core::DaemonId(name), core::ZoneName(zone), AccessOptions{}),
        services{io, backends, routes, access, counters, times, {}} {}

  void apply(const protocol::Configuration& configuration) {
    agent.set_configuration(configuration);
    routes.apply(configuration.routes);
    access.apply(core::BootClock::now(), configuration);
    backends.apply(configuration);
  }

  FakeConnector connector;
  FakeAgent agent;
  Backends backends;
  Routes routes;
  CallerAccess access;
  PoolingCounters counters;
  StatementTimes times;
  SessionServices services;
};

}  // namespace pipitpond::pooling
