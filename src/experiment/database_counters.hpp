// What stand-in databases count themselves, sampled while an experiment runs.
#pragma once

#include <utility>  // Before Asio's coroutine headers, which lack it.
//
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "core/clock.hpp"
#include "experiment/fleet_file.hpp"

namespace pipitpond::experiment {

/// Values of the metrics without labels whose names begin with `prefix`, under the rest of their names.
std::map<std::string, std::uint64_t> parse_counters(std::string_view metrics, std::string_view prefix);

/// One answer of one database.
struct CounterSample {
  core::Duration at;  ///< Since the watch was made.
  std::string database;
  std::map<std::string, std::uint64_t>
      values;  ///< Without "pipitpond_database_"; see tools/database/admin.cpp.
};

/// Asks databases for their counters again and again. One that does not answer is left out.
class DatabaseCounters {
 public:
  DatabaseCounters(boost::asio::io_context& io, std::vector<FleetProcess> databases);

  /// Asks every `interval` until `stop`.
  void start(core::Duration interval);
  /// Ends asking; questions in progress still end on the io_context.
  void stop();

  [[nodiscard]] const std::vector<CounterSample>& samples() const;

 private:
  struct State;
  std::shared_ptr<State> state_;
};

}  // namespace pipitpond::experiment
