// Asks tenants' homes for the right to run operations, one home after the other. Single-threaded.
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

/// What came of asking.
enum class QuotaOutcome : std::uint8_t {
  kGranted,
  kOverQuota,        ///< At least one home has none left, and no other one gave any.
  kNoHomeAvailable,  ///< No home could be asked.
};

/// Where an operation was granted, to give it back.
struct QuotaReceipt {
  core::DaemonId home;
  GivenBackOperation operation;
};

/// A home's answer, or what came of asking all of them.
struct QuotaAnswer {
  QuotaOutcome outcome = QuotaOutcome::kNoHomeAvailable;
  core::Duration retry_in{};            ///< Not granted: when to come back.
  std::optional<QuotaReceipt> receipt;  ///< Of an operation that can be given back.
};

/// Counts since the start.
struct QuotaCounters {
  std::uint64_t asked = 0;  ///< Questions to other daemons.
  std::uint64_t unanswered = 0;
  std::uint64_t given_back = 0;  ///< Operations that surely did not run, told to other daemons.
};

/// Who asks for an operation. Callers of other priorities neither share questions nor what homes answer.
struct QuotaScope {
  core::TenantName tenant;
  std::uint32_t priority = 0;  ///< Of the route.

  auto operator<=>(const QuotaScope&) const = default;
};

/// Grants an operation where this daemon itself is the home.
using TakeFromLocalHome = std::function<tenancy::QuotaGrant(const QuotaScope&)>;

/// The asking side of tenancy::QuotaHome.
class QuotaClient {
 public:
  QuotaClient(boost::asio::io_context& io, core::DaemonId self);

  /// Follows the daemons that the configuration names.
  void apply(const protocol::Configuration& configuration);
  /// `homes`: the tenant's, in the order in which they are to be asked.
  boost::asio::awaitable<QuotaAnswer> take(std::vector<core::DaemonId> homes, QuotaScope asked,
                                           const TakeFromLocalHome& take_own);

  /// An operation that another daemon granted surely did not run. The next question to that daemon tells it;
  /// where none goes out in time, the operation is lost.
  void give_back(QuotaReceipt receipt);

  [[nodiscard]] const QuotaCounters& counters() const { return counters_; }

 private:
  /// A question to a home for all callers that wait for its answer.
  struct Question {
    explicit Question(boost::asio::io_context& io)
        : answered(io, boost::asio::steady_timer::time_point::max()) {}

    std::uint32_t operations = 0;  ///< One for each caller.
    std::optional<core::Result<QuotaReply>> reply;
    boost::asio::steady_timer answered;  ///< Cancelled when the reply is there.
  };
  using QuestionPointer = std::shared_ptr<Question>;

  /// What is known of a tenant at one home.
  struct TenantAtHome {
    core::Instant empty_until{};    ///< It had none left.
    core::Instant no_home_until{};  ///< It said that it is no home of the tenant.
    core::Instant short_until{};    ///< It had none left a short while ago: callers ask together.
    bool asking = false;            ///< A question that stands for all is under way.
    QuestionPointer gathering;      ///< The next one; null: nobody waits for it.
  };
  struct Link {
    core::Endpoint endpoint;
    std::uint64_t incarnation = 0;
    std::shared_ptr<wire::Channel> channel;  ///< Null until it is asked for the first time.
    core::Instant avoided_until{};           ///< It did not answer.
    std::map<QuotaScope, TenantAtHome> tenants;
    std::vector<GivenBackOperation> given_back;  ///< To be told; kMaxGivenBackPerRequest at most.
  };
  using LinkPointer = std::shared_ptr<Link>;

  /// What one caller learned from a question. Neither granted nor retry_in: this home is of no use now.
  struct CallersShare {
    std::optional<tenancy::TokenNumber> granted;
    std::optional<core::Duration> retry_in;
  };

  CallersShare take_own_share(const QuotaScope& asked, const TakeFromLocalHome& take_own);
  boost::asio::awaitable<CallersShare> ask_one(LinkPointer link, QuotaScope asked);
  static CallersShare share_of(const Question& question, std::uint32_t index);
  /// Asks for all of the question's callers, then for those that have gathered meanwhile.
  boost::asio::awaitable<void> ask_for_all(LinkPointer link, QuotaScope asked, QuestionPointer question);
  static void note(Link& link, const QuotaScope& asked, const core::Result<QuotaReply>& reply);
  boost::asio::awaitable<core::Result<QuotaReply>> ask(LinkPointer link, QuotaScope asked,
                                                       std::uint32_t operations);

  boost::asio::io_context& io_;
  core::DaemonId self_;
  std::map<core::DaemonId, LinkPointer> links_;
  std::map<QuotaScope, core::Instant> own_empty_until_;  ///< Where this daemon is the home.
  QuotaCounters counters_;
};

/// For this long after a home had none left, callers of the tenant ask it together: while one question is
/// under way the others gather for the next. Else each asks at once, as an answer is sure to come and a wait
/// for others would only be added. Covers some turns of a tenant that stays over its limit.
inline constexpr core::Duration kAskTogether = std::chrono::milliseconds(1000);
/// A home answers at once, from memory: what has not come by now (a way between zones and back takes 2 ms) is
/// not worth waiting for while there are others.
inline constexpr core::Duration kQuotaTimeout = std::chrono::milliseconds(120);
/// A home that did not answer, or said that it is none, is left alone for this long.
inline constexpr core::Duration kAvoidSilentHome = std::chrono::milliseconds(300);
/// When a caller may come back after no home could be asked.
inline constexpr core::Duration kQuotaComeBack = std::chrono::milliseconds(200);

}  // namespace pipitpond::pooling
