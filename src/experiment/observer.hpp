// Asks every database for its status and every proxy for its revision at short intervals during a run.
#pragma once

#include <utility>  // Before Asio's coroutine headers, which lack it.
//
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <optional>
#include <string>

#include "experiment/fleet_file.hpp"
#include "oracle/observations.hpp"

namespace pipitpond::experiment {

/// Collects observations until stopped.
class Observer {
 public:
  Observer(boost::asio::io_context& io, const Fleet& fleet);

  void start();
  void stop() { stopping_ = true; }
  [[nodiscard]] const oracle::Observations& observations() const { return observations_; }
  /// For the parts that make changes and take proxies away.
  [[nodiscard]] oracle::Observations& observations() { return observations_; }
  /// Those of one deployment's databases and proxies; changes concern all.
  [[nodiscard]] oracle::Observations of_deployment(const std::string& deployment) const;

 private:
  boost::asio::awaitable<void> watch_database(FleetProcess process);
  boost::asio::awaitable<void> watch_proxy(FleetProcess process);

  boost::asio::io_context& io_;
  const Fleet& fleet_;
  oracle::Observations observations_;
  bool stopping_ = false;
};

/// The revision in a proxy's metrics: the gauge pipitpond_proxy_revision. Empty when there is none.
std::optional<std::uint64_t> revision_in_metrics(const std::string& text);

}  // namespace pipitpond::experiment
