// pipitpond-overhead: what a proxy costs, as ratios in one run. Rounds alternate between reads straight at
// the stand-in database and reads through the proxy; then connections are opened and left idle while the
// proxy's resident memory is read. Prints JSON. scripts/overhead starts the processes that it measures.
#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>

#include "http/client.hpp"
#include "load.hpp"
#include "process/child.hpp"
#include "runtime/program.hpp"

namespace pipitpond::overhead {
namespace {

using nlohmann::json;

constexpr core::Duration kCallLimit = std::chrono::seconds(10);
constexpr std::size_t kIdleSteps = 4;

struct Options {
  core::Endpoint database;
  core::Endpoint proxy;
  std::string group = "overhead";
  std::size_t connections = 8;  ///< At the database, in both ways.
  std::size_t callers = 32;     ///< Of the proxy.
  std::size_t rounds = 5;
  core::Duration duration = std::chrono::milliseconds(3000);
  std::size_t idle = 4000;
  std::int64_t proxy_pid = 0;
};

json to_json(const LoadResult& result) {
  return {{"done", result.done},
          {"failed", result.failed},
          {"per_second", result.per_second},
          {"p50_us", result.p50_us},
          {"p99_us", result.p99_us}};
}

LoadOptions direct(const Options& options, std::size_t clients) {
  return {options.database, true, {}, clients, options.duration};
}

LoadOptions proxied(const Options& options, std::size_t clients) {
  return {options.proxy, false, options.group, clients, options.duration};
}

double median(std::vector<double> values) {
  std::sort(values.begin(), values.end());
  return values.empty() ? 0 : values[values.size() / 2];
}

/// Throughput: `connections` clients straight at the database against `callers` through the proxy, whose pool
/// holds as many connections. Latency: one client each way.
json compare(const Options& options) {
  json rounds = json::array();
  std::vector<double> ratios;
  std::vector<double> added;
  for (std::size_t round = 0; round < options.rounds; ++round) {
    const LoadResult many_direct = run_load(direct(options, options.connections));
    const LoadResult many_proxied = run_load(proxied(options, options.callers));
    const LoadResult one_direct = run_load(direct(options, 1));
    const LoadResult one_proxied = run_load(proxied(options, 1));
    ratios.push_back(many_proxied.per_second / many_direct.per_second);
    added.push_back(one_proxied.p50_us - one_direct.p50_us);
    rounds.push_back({{"direct", to_json(many_direct)},
                      {"proxied", to_json(many_proxied)},
                      {"direct_alone", to_json(one_direct)},
                      {"proxied_alone", to_json(one_proxied)}});
  }
  return {{"rounds", std::move(rounds)},
          {"throughput_ratio_median", median(ratios)},
          {"throughput_ratios", ratios},
          {"added_p50_us_median", median(added)},
          {"added_p50_us", added}};
}

boost::asio::awaitable<void> open_idle(boost::asio::io_context& io, const Options& options, std::size_t count,
                                       std::vector<std::unique_ptr<http::Client>>& clients) {
  for (std::size_t number = 0; number < count; ++number) {
    auto client = co_await http::Client::connect(io, options.proxy, kCallLimit);
    if (!client) {
      co_return;
    }
    http::Request request;
    request.path = "/healthz";
    const auto answered = co_await client.value()->send(std::move(request), kCallLimit);
    if (!answered) {
      co_return;
    }
    clients.push_back(std::move(client).value());
  }
}

json measure_idle(const Options& options) {
  boost::asio::io_context io(1);
  std::vector<std::unique_ptr<http::Client>> clients;
  json steps = json::array();
  const auto resident = [&options] {
    const auto usage = process::usage_of(static_cast<pid_t>(options.proxy_pid));
    return usage ? usage->resident_bytes : 0;
  };
  const std::uint64_t before = resident();
  for (std::size_t step = 0; step < kIdleSteps; ++step) {
    boost::asio::co_spawn(io, open_idle(io, options, options.idle / kIdleSteps, clients),
                          boost::asio::detached);
    io.restart();
    io.run();
    steps.push_back({{"connections", clients.size()}, {"resident_bytes", resident()}});
  }
  const auto added = static_cast<double>(resident()) - static_cast<double>(before);
  return {{"resident_bytes_before", before},
          {"steps", std::move(steps)},
          {"bytes_per_connection", clients.empty() ? 0 : added / static_cast<double>(clients.size())}};
}

void declare(settings::Section& section, Options& options) {
  section.endpoint("database", options.database, "the stand-in database").required();
  section.endpoint("proxy", options.proxy, "the proxy's address for callers").required();
  section.text("group", options.group, "the group whose only database that is");
  section.integer("connections", options.connections, {1, 1000}, "connections at the database");
  section.integer("callers", options.callers, {1, 10'000}, "callers of the proxy");
  section.integer("rounds", options.rounds, {1, 100}, "rounds; medians are over these");
  section.duration("duration_ms", options.duration, {100, 60'000}, "length of each load");
  section.integer("idle", options.idle, {4, 100'000}, "idle connections");
  section.integer("proxy_pid", options.proxy_pid, {0, 1'000'000'000},
                  "the proxy's process; 0: skip the idle part");
}

}  // namespace
}  // namespace pipitpond::overhead

int main(int argc, char** argv) {
  namespace program = pipitpond::overhead;
  program::Options options;
  pipitpond::settings::Section section;
  program::declare(section, options);
  if (const auto exit_code = pipitpond::runtime::load_settings(
          argc, argv, {"pipitpond-overhead", "Measures what a proxy costs."}, section)) {
    return *exit_code;
  }
  nlohmann::json report = {{"connections", options.connections}, {"callers", options.callers}};
  report["comparison"] = program::compare(options);
  if (options.proxy_pid != 0) {
    report["idle"] = program::measure_idle(options);
  }
  std::cout << report.dump(2) << "\n";
  return 0;
}
