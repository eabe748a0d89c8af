// Client of the quota protocol: takes operations from a tenant's quota at its homes, the daemons that count
// the tenant's operations. Asks one home after the other. Not thread-safe.
#pragma once

#include <utility>  // Before Asio's coroutine headers, which lack it.
//
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <compare>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "core/clock.hpp"
#include "core/endpoint.hpp"
#include "core/error.hpp"
#include "core/ids.hpp"
#include "pooling/quota_messages.hpp"
#include "protocol/configuration.hpp"
#include "wire/channel.hpp"

namespace pipitpond::pooling {

/// Outcome of asking a tenant's homes.
enum class QuotaOutcome : std::uint8_t {
  kGranted,
  kOverQuota,        ///< At least one home has none left, and no other home granted one.
  kNoHomeAvailable,  ///< No home gave a usable answer.
};

/// Identifies a granted operation, so that it can be returned to its home.
struct QuotaReceipt {
  core::DaemonId home;
  GivenBackOperation operation;
};

/// The combined answer of a tenant's homes.
struct QuotaAnswer {
  QuotaOutcome outcome = QuotaOutcome::kNoHomeAvailable;
  core::Duration retry_in{};            ///< If not granted: delay before the caller retries.
  std::optional<QuotaReceipt> receipt;  ///< Set if the operation can be returned.
};

/// Counts since the start.
struct QuotaCounters {
  std::uint64_t asked = 0;  ///< Requests to other daemons.
  std::uint64_t unanswered = 0;
  std::uint64_t given_back = 0;  ///< Operations returned to other daemons because they did not run.
};

/// Tenant and priority of an operation. Requests are batched, and refusals remembered, only among callers of
/// the same tenant and priority.
struct QuotaScope {
  core::TenantName tenant;
  std::uint32_t priority = 0;  ///< Of the route; 0 is the most urgent.

  auto operator<=>(const QuotaScope&) const = default;
};

/// Takes an operation from this daemon's own home, without a network call.
using TakeFromLocalHome = std::function<tenancy::QuotaGrant(const QuotaScope&)>;

/// The client of tenancy::QuotaHome.
class QuotaClient {
 public:
  QuotaClient(boost::asio::io_context& io, core::DaemonId self);

  /// Updates the links to the daemons that the configuration lists.
  void apply(const protocol::Configuration& configuration);
  /// Takes one operation. `homes` are asked in the given order.
  boost::asio::awaitable<QuotaAnswer> take(std::vector<core::DaemonId> homes, QuotaScope scope,
                                           const TakeFromLocalHome& take_from_local_home);

  /// Returns an operation that another daemon granted and that definitely did not run. It travels with the
  /// next request to that daemon; if none is sent in time, the operation stays charged to the tenant.
  void give_back(QuotaReceipt receipt);

  [[nodiscard]] const QuotaCounters& counters() const { return counters_; }

 private:
  /// One request to a home on behalf of all callers that wait for its reply.
  struct SharedRequest {
    explicit SharedRequest(boost::asio::io_context& io)
        : answered(io, boost::asio::steady_timer::time_point::max()) {}

    std::uint32_t operations = 0;  ///< One for each caller.
    std::optional<core::Result<QuotaReply>> reply;
    boost::asio::steady_timer answered;  ///< Cancelled when the reply has arrived.
  };
  using SharedRequestPointer = std::shared_ptr<SharedRequest>;

  /// State of one tenant and priority at one home.
  struct HomeState {
    core::Instant empty_until{};     ///< The home has no operations left until then.
    core::Instant not_home_until{};  ///< The daemon is not asked: it is no home of the tenant.
    core::Instant share_until{};     ///< Callers share requests until then; see kShareRequestsAfterShortage.
    bool request_in_flight = false;  ///< A shared request is in flight.
    SharedRequestPointer next_request;  ///< The next shared request; null: no caller waits.
  };
  /// Another daemon, as a home of tenants.
  struct Link {
    core::Endpoint endpoint;
    std::uint64_t incarnation = 0;
    std::shared_ptr<wire::Channel> channel;  ///< Null until the first request.
    core::Instant avoided_until{};           ///< Not asked until then, after a call failed.
    std::map<QuotaScope, HomeState> tenants;
    std::vector<GivenBackOperation> given_back;  ///< To be sent; kMaxGivenBackPerRequest at most.
  };
  using LinkPointer = std::shared_ptr<Link>;

  /// One caller's part of a reply. If neither field is set, this home cannot serve the tenant now.
  struct CallerResult {
    std::optional<tenancy::TokenNumber> granted;
    std::optional<core::Duration> retry_in;
  };

  CallerResult take_from_self(const QuotaScope& scope, const TakeFromLocalHome& take_from_local_home);
  boost::asio::awaitable<CallerResult> ask_home(LinkPointer link, QuotaScope scope);
  static CallerResult result_for_caller(const SharedRequest& request, std::uint32_t caller_index);
  /// Sends the request for all of its callers, then the next one for the callers that arrived meanwhile.
  boost::asio::awaitable<void> run_shared_request(LinkPointer link, QuotaScope scope,
                                                  SharedRequestPointer request);
  static void record_reply(Link& link, const QuotaScope& scope, const core::Result<QuotaReply>& reply);
  boost::asio::awaitable<core::Result<QuotaReply>> ask(LinkPointer link, QuotaScope scope,
                                                       std::uint32_t operations);

  boost::asio::io_context& io_;
  core::DaemonId self_;
  std::map<core::DaemonId, LinkPointer> links_;
  std::map<QuotaScope, core::Instant> local_empty_until_;  ///< empty_until of this daemon's own home.
  QuotaCounters counters_;
};

/// For this long after a home had no operations left, callers of the tenant share requests: while one is in
/// flight, later callers wait for the next. At other times each caller sends its own request, because
/// operations are available and batching would only add latency. Covers several retry intervals of a tenant
/// that stays over its limit.
inline constexpr core::Duration kShareRequestsAfterShortage = std::chrono::milliseconds(1000);
/// Time-out of a quota request. A home answers from memory and a round trip between zones takes 2 ms, so
/// after this time it is better to ask another home.
inline constexpr core::Duration kQuotaTimeout = std::chrono::milliseconds(120);
/// A daemon that did not answer, or is not a home of the tenant, is not asked for this long.
inline constexpr core::Duration kHomeBackoff = std::chrono::milliseconds(300);
/// Retry hint for callers when no home gave a usable answer.
inline constexpr core::Duration kNoHomeRetryAfter = std::chrono::milliseconds(200);

}  // namespace pipitpond::pooling
