#include "fleet/http_call.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <optional>
#include <utility>

namespace pipitpond::fleet {
namespace {

template <typename Value>
boost::asio::awaitable<void> keep(boost::asio::awaitable<Value> work, std::optional<Value>& result) {
  result.emplace(co_await std::move(work));
}

/// Runs one coroutine to its end.
template <typename Value>
Value run(boost::asio::io_context& io, boost::asio::awaitable<Value> work) {
  std::optional<Value> result;
  boost::asio::co_spawn(io, keep(std::move(work), result), boost::asio::detached);
  while (!result && io.run_one() > 0) {
  }
  return std::move(*result);
}

}  // namespace

core::Result<experiment::JsonReply> call(const core::Endpoint& endpoint, const std::string& method,
                                         const std::string& path, const nlohmann::json& body,
                                         core::Duration timeout) {
  boost::asio::io_context io(1);
  return run(io, experiment::call_once(io, endpoint, method, path, body, timeout));
}

core::Result<operators::Reply> call_control(const std::vector<core::Endpoint>& control,
                                            const operators::Call& call, operators::ClientOptions options) {
  boost::asio::io_context io(1);
  operators::ControlClient client(io, control, options);
  return run(io, client.call(call));
}

}  // namespace pipitpond::fleet
