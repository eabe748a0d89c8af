#include "load.hpp"

#include <algorithm>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <memory>
#include <nlohmann/json.hpp>

#include "database/protocol.hpp"
#include "http/client.hpp"

namespace pipitpond::overhead {
namespace {

constexpr core::Duration kCallLimit = std::chrono::seconds(10);
constexpr unsigned kOk = 200;

/// State shared by the clients of one load.
struct Load {
  LoadOptions options;
  boost::asio::io_context io{1};
  core::Instant end;
  LoadResult result;
  std::vector<double> latencies_us;
};

http::Request post(std::string path, std::string body) {
  http::Request request;
  request.method = "POST";
  request.path = std::move(path);
  request.body = std::move(body);
  return request;
}

http::Request read_request(const LoadOptions& options, std::uint64_t number) {
  const nlohmann::json statement = {{"op", "get"}, {"table", "t"}, {"id", "a"}};
  if (!options.is_database) {
    const nlohmann::json body = {{"group", options.group}, {"kind", "read"}, {"statement", statement}};
    return post("/v1/statements", body.dump());
  }
  database::ExecuteRequest execute;
  execute.request = core::RequestId("direct-" + std::to_string(number));
  execute.statement = statement;
  return post("/v1/execute", database::serialize(execute));
}

boost::asio::awaitable<std::unique_ptr<http::Client>> connect(Load& load) {
  auto client = co_await http::Client::connect(load.io, load.options.target, kCallLimit);
  if (!client) {
    co_return nullptr;
  }
  if (load.options.is_database) {
    http::Request hello = post("/v1/connect", database::serialize(database::ConnectRequest{"overhead"}));
    const auto connected = co_await client.value()->send(std::move(hello), kCallLimit);
    if (!connected || connected.value().status != kOk) {
      co_return nullptr;
    }
  }
  co_return std::move(client).value();
}

boost::asio::awaitable<void> run_client(Load& load) {
  const std::unique_ptr<http::Client> client = co_await connect(load);
  if (!client) {
    ++load.result.failed;
    co_return;
  }
  for (std::uint64_t number = 0; core::BootClock::now() < load.end; ++number) {
    const core::Instant sent = core::BootClock::now();
    http::Request request = read_request(load.options, number);
    const auto response = co_await client->send(std::move(request), kCallLimit);
    if (!response || response.value().status != kOk) {
      ++load.result.failed;
      if (!client->is_open()) {
        co_return;
      }
      continue;
    }
    ++load.result.done;
    load.latencies_us.push_back(static_cast<double>((core::BootClock::now() - sent).count()));
  }
}

double quantile(const std::vector<double>& sorted, double part) {
  if (sorted.empty()) {
    return 0;
  }
  const auto place = static_cast<std::size_t>(part * static_cast<double>(sorted.size()));
  return sorted[std::min(place, sorted.size() - 1)];
}

}  // namespace

LoadResult run_load(const LoadOptions& options) {
  Load load;
  load.options = options;
  const core::Instant start = core::BootClock::now();
  load.end = start + options.duration;
  for (std::size_t client = 0; client < options.clients; ++client) {
    boost::asio::co_spawn(load.io, run_client(load), boost::asio::detached);
  }
  load.io.run();
  const auto took_us = static_cast<double>((core::BootClock::now() - start).count());
  std::sort(load.latencies_us.begin(), load.latencies_us.end());
  load.result.per_second = static_cast<double>(load.result.done) * 1e6 / took_us;
  load.result.p50_us = quantile(load.latencies_us, 0.5);
  load.result.p99_us = quantile(load.latencies_us, 0.99);
  return load.result;
}

}  // namespace pipitpond::overhead
