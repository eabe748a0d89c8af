#include "workload/open_load.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <memory>
#include <nlohmann/json.hpp>
#include <pcg_random.hpp>
#include <random>
#include <utility>

#include "http/client.hpp"
#include "workload/proxy_client.hpp"

namespace pipitpond::workload {
namespace {

using nlohmann::json;

constexpr core::Duration kConnectTimeout = std::chrono::seconds(2);
/// An answer that has not come this long after its deadline is given up.
constexpr core::Duration kPatience = std::chrono::seconds(5);
constexpr double kMicrosPerSecond = 1e6;
/// Rows that the statements touch.
constexpr std::uint64_t kRows = 64;

/// A load under way; its coroutines share it.
class OpenLoad : public std::enable_shared_from_this<OpenLoad> {
 public:
  OpenLoad(boost::asio::io_context& io, OpenLoadPlan plan, std::vector<OpenSample>& samples)
      : io_(io),
        plan_(std::move(plan)),
        samples_(samples),
        idle_(plan_.proxies.size()),
        start_(core::BootClock::now()) {}

  void start() {
    for (std::size_t stream = 0; stream < plan_.streams.size(); ++stream) {
      boost::asio::co_spawn(io_, arrive(shared_from_this(), stream), boost::asio::detached);
    }
  }

 private:
  /// One statement before it is sent.
  struct Statement {
    std::size_t stream = 0;
    std::uint64_t number = 0;
    bool is_write = false;
    core::Instant planned_at;
  };

  static boost::asio::awaitable<void> arrive(std::shared_ptr<OpenLoad> load, std::size_t number) {
    const OpenStream& stream = load->plan_.streams[number];
    pcg32 random(load->plan_.seed, number);
    std::exponential_distribution<double> gap(stream.per_second / kMicrosPerSecond);
    std::bernoulli_distribution is_write(stream.write_share);
    core::Instant next = load->start_;
    const core::Instant end = load->start_ + load->plan_.duration;
    for (std::uint64_t count = 0; count < load->plan_.max_requests; ++count) {
      next += core::Duration(static_cast<core::Duration::rep>(gap(random)));
      if (next >= end) {
        co_return;
      }
      const core::Duration left = next - core::BootClock::now();
      if (left > core::Duration(0)) {
        co_await pause(load->io_, left);
      }
      const Statement statement{number, count, is_write(random), next};
      boost::asio::co_spawn(load->io_, send(load, statement), boost::asio::detached);
    }
  }

  static boost::asio::awaitable<void> send(std::shared_ptr<OpenLoad> load, Statement statement) {
    const std::size_t proxy = load->next_proxy_++ % load->plan_.proxies.size();
    const std::size_t place = load->samples_.size();
    const core::Instant sent = core::BootClock::now();
    OpenSample& begun = load->samples_.emplace_back();
    begun.sent_at = sent - load->start_;
    begun.late_by = sent - statement.planned_at;
    begun.stream = statement.stream;
    begun.is_write = statement.is_write;
    std::unique_ptr<http::Client> client = co_await load->connection(proxy);
    if (client) {
      const core::Duration patience = std::chrono::milliseconds(load->plan_.deadline_ms) + kPatience;
      const auto response = co_await client->send(load->request_of(statement), patience);
      if (response) {
        read_answer(response.value(), load->samples_[place]);
        load->idle_[proxy].push_back(std::move(client));
      }
    }
    load->samples_[place].took = core::BootClock::now() - sent;
  }

  boost::asio::awaitable<std::unique_ptr<http::Client>> connection(std::size_t proxy) {
    auto& idle = idle_[proxy];
    while (!idle.empty()) {
      std::unique_ptr<http::Client> client = std::move(idle.back());
      idle.pop_back();
      if (client->is_open()) {
        co_return client;
      }
    }
    auto connected = co_await http::Client::connect(io_, plan_.proxies[proxy], kConnectTimeout);
    co_return connected ? std::move(connected).value() : nullptr;
  }

  [[nodiscard]] http::Request request_of(const Statement& statement) const {
    const std::string row = "row-" + std::to_string(statement.number % kRows);
    json body = {{"group", plan_.group.value()},
                 {"tenant", plan_.streams[statement.stream].tenant.value()},
                 {"deadline_ms", plan_.deadline_ms}};
    if (statement.is_write) {
      body["kind"] = "write";
      body["first"] = true;
      body["key"] = std::to_string(core::unix_millis_now()) + "-" + plan_.key_prefix + "-" +
                    std::to_string(statement.stream) + "-" + std::to_string(statement.number);
      body["statement"] = {{"op", "add"}, {"table", "open"}, {"id", row}, {"amount", 1}};
    } else {
      body["kind"] = "read";
      body["statement"] = {{"op", "get"}, {"table", "open"}, {"id", row}};
    }
    http::Request request;
    request.method = "POST";
    request.path = "/v1/statements";
    request.body = body.dump();
    return request;
  }

  static void read_answer(const http::Response& response, OpenSample& sample) {
    sample.status = response.status;
    sample.has_retry_after = !http::header_value(response.headers, "Retry-After").empty();
    const json body = json::parse(response.body, nullptr, false);
    if (!body.is_object()) {
      return;
    }
    sample.outcome = body.value("outcome", "");
    sample.attempts = body.value("attempts", 0U);
    if (body.contains("error")) {
      sample.error_kind = body["error"].value("kind", "");
      sample.retry_after_ms = body["error"].value("retry_after_ms", 0U);
    }
  }

  boost::asio::io_context& io_;
  const OpenLoadPlan plan_;
  std::vector<OpenSample>& samples_;
  std::vector<std::vector<std::unique_ptr<http::Client>>> idle_;  ///< By proxy.
  std::size_t next_proxy_ = 0;
  const core::Instant start_;
};

}  // namespace

void start_open_load(boost::asio::io_context& io, const OpenLoadPlan& plan,
                     std::vector<OpenSample>& samples) {
  std::make_shared<OpenLoad>(io, plan, samples)->start();
}

}  // namespace pipitpond::workload
