#include "experiment/database_counters.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <charconv>
#include <utility>

#include "experiment/json_call.hpp"
#include "workload/proxy_client.hpp"

namespace pipitpond::experiment {
namespace {

constexpr core::Duration kAnswerTimeout = std::chrono::milliseconds(500);
constexpr std::string_view kPrefix = "pipitpond_database_";

}  // namespace

/// Shared by the coroutines that ask, which may outlive the watch.
struct DatabaseCounters::State {
  State(boost::asio::io_context& loop, std::vector<FleetProcess> asked)
      : io(loop), databases(std::move(asked)) {}

  boost::asio::io_context& io;
  std::vector<FleetProcess> databases;
  core::Instant start = core::BootClock::now();
  bool stopped = false;
  std::vector<CounterSample> samples;

  static boost::asio::awaitable<void> watch(std::shared_ptr<State> state, FleetProcess database,
                                            core::Duration interval) {
    JsonConnection connection(state->io, database.endpoint);
    while (!state->stopped) {
      const auto reply = co_await connection.call("GET", "/metrics", nullptr, kAnswerTimeout);
      if (reply && reply.value().accepted()) {
        const core::Duration at = core::BootClock::now() - state->start;
        state->samples.push_back({at, database.name, parse_counters(reply.value().text, kPrefix)});
      }
      co_await workload::pause(state->io, interval);
    }
  }
};

std::map<std::string, std::uint64_t> parse_counters(std::string_view metrics, std::string_view prefix) {
  std::map<std::string, std::uint64_t> values;
  while (!metrics.empty()) {
    const std::size_t end = metrics.find('\n');
    const std::string_view line = metrics.substr(0, end);
    metrics = end == std::string_view::npos ? std::string_view() : metrics.substr(end + 1);
    const std::size_t space = line.find(' ');
    if (!line.starts_with(prefix) || space == std::string_view::npos) {
      continue;
    }
    std::uint64_t value = 0;
    const std::string_view digits = line.substr(space + 1);
    const auto parsed = std::from_chars(digits.begin(), digits.end(), value);
    if (parsed.ec == std::errc()) {
      values[std::string(line.substr(prefix.size(), space - prefix.size()))] = value;
    }
  }
  return values;
}

DatabaseCounters::DatabaseCounters(boost::asio::io_context& io, std::vector<FleetProcess> databases)
    : state_(std::make_shared<State>(io, std::move(databases))) {}

void DatabaseCounters::start(core::Duration interval) {
  for (const FleetProcess& database : state_->databases) {
    boost::asio::co_spawn(state_->io, State::watch(state_, database, interval), boost::asio::detached);
  }
}

void DatabaseCounters::stop() {
  state_->stopped = true;
}

const std::vector<CounterSample>& DatabaseCounters::samples() const {
  return state_->samples;
}

}  // namespace pipitpond::experiment
