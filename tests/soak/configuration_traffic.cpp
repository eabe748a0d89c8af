#include "soak/configuration_traffic.hpp"

#include <algorithm>
#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <iterator>
#include <set>

#include "pooling/waiting.hpp"
#include "soak/invalid_changes.hpp"
#include "support/coroutine.hpp"

namespace pipitpond::soak {

using boost::asio::awaitable;
using pooling::pause_for;
using std::chrono::milliseconds;

namespace {

constexpr int kOperators = 2;
constexpr core::Duration kCallLimit = std::chrono::seconds(1);
/// An operator that has lost the answer: the change is under way and nobody knows what came of it.
constexpr core::Duration kImpatience = milliseconds(8);
constexpr core::Duration kDeliveryLimit = std::chrono::seconds(8);
constexpr core::Duration kFirstRetryPause = milliseconds(50);
constexpr core::Duration kMostRetryPause = milliseconds(600);
constexpr core::Duration kReadPause = milliseconds(40);
/// Between two looks at one proxy, for each proxy that there is.
constexpr core::Duration kWatchPause = milliseconds(20);
/// For longer than a version has to come into force, so that a session outlives its route by far.
constexpr core::Duration kHeldSessionTime = 2 * kInForceLimit;
constexpr core::Duration kHeldSessionPause = milliseconds(100);
/// Time for all replicas to answer after the last fault.
constexpr milliseconds kReadBackLimit(12'000);
/// Versions whose tables share a route, so that a proxy that is far behind is found in a few looks.
constexpr Version kVersionsPerEra = 16;
/// Routes of a large change.
constexpr int kManyRoutes = 300;
constexpr Version kLargeEvery = 11;

/// Differs from that of every change.
constexpr unsigned kOtherTimeoutMillis = 1234;

constexpr unsigned kOk = 200;

http::Request put_request(std::string body) {
  http::Request request;
  request.method = "POST";
  request.path = "/Config.Put";
  request.body = std::move(body);
  return request;
}

http::Request get_request() {
  http::Request request;
  request.method = "GET";
  request.path = "/Config.Get";
  return request;
}

bool ends_the_call(unsigned status) {
  return status == 400 || status == 409 || status == 412 || status == 413 || status == 422;
}

std::string route_of(Version version) {
  return "v" + std::to_string(version);
}

std::string route_of_era(Version era) {
  return "era" + std::to_string(era);
}

}  // namespace

ConfigurationTraffic::ConfigurationTraffic(platform::PlatformFleet& fleet, ConfigurationRule& rule,
                                           std::uint64_t seed)
    : fleet_(fleet), rule_(rule), random_(seed) {
  rule_.on_sent(version_, fleet_.configuration(version_));
}

void ConfigurationTraffic::start() {
  rule_.on_acknowledged(core::BootClock::now(), version_);  // With it the fleet became ready.
  const auto spawn = [this](awaitable<void> coroutine) {
    ++running_;
    boost::asio::co_spawn(fleet_.io(), std::move(coroutine), [this](std::exception_ptr) { --running_; });
  };
  for (int number = 0; number < kOperators; ++number) {
    spawn(operate(Random(random_())));
  }
  for (std::size_t replica = 0; replica < fleet_.controls(); ++replica) {
    spawn(read_from(replica));
  }
  for (std::size_t proxy = 0; proxy < fleet_.proxies(); ++proxy) {
    spawn(watch(proxy));
    spawn(hold_sessions(proxy));
  }
}

// --- Operators

awaitable<void> ConfigurationTraffic::operate(Random random) {
  constexpr std::array<int, 4> kPausesMillis = {30, 120, 400, 900};
  while (!stopped_) {
    switch (random() % 12) {
      case 0:
        co_await send_burst(random);
        break;
      case 1:
        co_await send_again(random, true);
        break;
      case 2:
        co_await send_again(random, false);
        break;
      case 3:
        co_await send_other_content(random);
        break;
      case 4:
      case 5:
      case 6:
        co_await send_invalid(random);
        break;
      default:
        co_await send_new(random());
        break;
    }
    co_await pause_for(fleet_.io(), milliseconds(kPausesMillis.at(random() % kPausesMillis.size())));
  }
}

Version ConfigurationTraffic::next_version(std::uint64_t step) {
  version_ += 1 + step % 3;
  return version_;
}

std::string ConfigurationTraffic::body_of(Version version) const {
  std::vector<std::string> names = {route_of(version), route_of_era(version / kVersionsPerEra)};
  for (int number = 0; version % kLargeEvery == 0 && number < kManyRoutes; ++number) {
    names.push_back("large" + std::to_string(number));
  }
  const std::string body = fleet_.configuration(version, static_cast<unsigned>(1500 + version % 977), names);
  return with_moving_route(body, version);
}

awaitable<void> ConfigurationTraffic::send_new(std::uint64_t seed) {
  Random random(seed);
  const Version version = next_version(random());
  std::string body = body_of(version);
  rule_.on_sent(version, body);
  co_await deliver(random, version, std::move(body));
}

awaitable<void> ConfigurationTraffic::send_burst(Random& random) {
  for (std::uint64_t left = 4 + random() % 12; left > 0 && !stopped_; --left) {
    co_await send_new(random());
    co_await pause_for(fleet_.io(), milliseconds(random() % 80));
  }
}

awaitable<void> ConfigurationTraffic::send_again(Random& random, bool newest) {
  const auto& known = rule_.acknowledged();
  const auto back =
      newest ? 1 : 1 + static_cast<std::ptrdiff_t>(random() % std::min<std::size_t>(known.size(), 6));
  const Version version = std::prev(known.end(), back)->first;
  std::string body = *rule_.body(version);
  co_await deliver(random, version, std::move(body));
}

awaitable<void> ConfigurationTraffic::send_other_content(Random& random) {
  const Version version = rule_.acknowledged().rbegin()->first;
  http::Request request = put_request(fleet_.configuration(version, kOtherTimeoutMillis));
  const std::size_t replica = random() % fleet_.controls();
  co_await fleet_.ask_control(replica, std::move(request), kCallLimit);
}

awaitable<void> ConfigurationTraffic::send_invalid(Random& random) {
  const bool above_what_is_held = random() % 4 != 0;
  const Version version = above_what_is_held ? next_version(0) : rule_.acknowledged().rbegin()->first;
  const std::vector<InvalidChange> changes = invalid_changes(body_of(version));
  const InvalidChange& change = changes.at(random() % changes.size());
  const std::size_t replica = random() % fleet_.controls();
  http::Request request = put_request(change.body);
  const auto [status, reason] = co_await fleet_.ask_control(replica, std::move(request), kCallLimit);
  rule_.on_invalid_answered(change.shape, status);
}

awaitable<bool> ConfigurationTraffic::deliver(Random& random, Version version, std::string body) {
  const core::Instant end = core::BootClock::now() + kDeliveryLimit;
  core::Duration pause = kFirstRetryPause;
  while (core::BootClock::now() < end) {
    const std::size_t replica = random() % fleet_.controls();
    const bool loses_the_answer = random() % 8 == 0;
    http::Request request = put_request(body);
    const auto [status, reason] =
        co_await fleet_.ask_control(replica, std::move(request), loses_the_answer ? kImpatience : kCallLimit);
    if (status == kOk) {
      rule_.on_acknowledged(core::BootClock::now(), version);
      on_acknowledged_(replica);
      co_return true;
    }
    if (ends_the_call(status)) {
      rule_.on_refused(version, status, reason);
      co_return false;
    }
    co_await pause_for(fleet_.io(), pause);
    pause = std::min(2 * pause, kMostRetryPause);
  }
  co_return false;
}

void ConfigurationTraffic::begin_change() {
  ++running_;
  boost::asio::co_spawn(fleet_.io(), send_new(random_()), [this](std::exception_ptr) { --running_; });
}

bool ConfigurationTraffic::change_now() {
  const std::size_t before = rule_.acknowledged().size();
  bool ended = false;
  boost::asio::co_spawn(fleet_.io(), send_new(random_()), [&ended](std::exception_ptr) { ended = true; });
  return fleet_.wait([&ended] { return ended; }) && rule_.acknowledged().size() > before;
}

// --- Readers

awaitable<void> ConfigurationTraffic::read_from(std::size_t replica) {
  while (!stopped_) {
    co_await read_once(replica);
    co_await pause_for(fleet_.io(), kReadPause);
  }
}

awaitable<bool> ConfigurationTraffic::read_once(std::size_t replica) {
  const core::Instant sent = core::BootClock::now();
  http::Request request = get_request();
  const auto [status, body] = co_await fleet_.ask_control(replica, std::move(request), kCallLimit);
  if (status == kOk) {
    rule_.on_read(replica, sent, body);
  }
  co_return status == kOk;
}

bool ConfigurationTraffic::read_back() {
  std::set<std::size_t> answered;
  return fleet_.wait(
      [&] {
        bool all = true;
        for (std::size_t replica = 0; replica < fleet_.controls(); ++replica) {
          const bool owes = fleet_.control(replica).running() && !answered.contains(replica);
          if (owes && testing::run(fleet_.io(), read_once(replica))) {
            answered.insert(replica);
          }
          all = all && (!owes || answered.contains(replica));
        }
        return all;
      },
      kReadBackLimit);
}

// --- Watchers

awaitable<void> ConfigurationTraffic::watch(std::size_t proxy) {
  const core::Duration pause = kWatchPause * static_cast<int>(fleet_.proxies());
  while (!stopped_) {
    if (const auto seen = co_await look_at(proxy)) {
      rule_.on_obeyed(*seen);
      last_obeyed_[proxy] = seen->version;
    }
    co_await pause_for(fleet_.io(), pause);
  }
}

awaitable<void> ConfigurationTraffic::hold_sessions(std::size_t proxy) {
  while (!stopped_) {
    if (const auto obeyed = last_obeyed_.find(proxy); obeyed != last_obeyed_.end()) {
      co_await hold_session(proxy, obeyed->second);
    }
    co_await pause_for(fleet_.io(), kHeldSessionPause);
  }
}

/// Only this version has the route, so that whatever is served on it is served by this version.
awaitable<void> ConfigurationTraffic::hold_session(std::size_t proxy, Version version) {
  platform::Caller caller(fleet_.io(), fleet_.callers(proxy));
  ObeyedVersion seen;
  seen.proxy = proxy;
  seen.version = version;
  seen.started = fleet_.proxy_started(proxy);
  std::string route = route_of(version);
  if (co_await caller.start_session(std::move(route), kCallLimit) != platform::kSessionOpened) {
    co_return;
  }
  const core::Instant end = core::BootClock::now() + kHeldSessionTime;
  while (!stopped_ && core::BootClock::now() < end) {
    seen.asked = core::BootClock::now();
    const platform::Answer answer = co_await caller.ask("READ held");
    seen.answered = core::BootClock::now();
    const bool one_life = seen.started == fleet_.proxy_started(proxy);
    if (!answer.connected || !one_life) {
      co_return;
    }
    if (answer.ok()) {
      ++held_reads_;
      rule_.on_obeyed(seen);
    }
    co_await pause_for(fleet_.io(), kHeldSessionPause);
  }
}

awaitable<std::optional<ObeyedVersion>> ConfigurationTraffic::look_at(std::size_t proxy) {
  ObeyedVersion seen;
  seen.proxy = proxy;
  seen.started = fleet_.proxy_started(proxy);
  const auto version = co_await find_obeyed(proxy, seen);
  const bool one_life = seen.started == fleet_.proxy_started(proxy);
  if (!version || !one_life) {
    co_return std::nullopt;
  }
  seen.version = *version;
  co_return seen;
}

/// The era first, then the version within it. Each answer holds for its own moment only, which the last look
/// keeps.
awaitable<std::optional<Version>> ConfigurationTraffic::find_obeyed(std::size_t proxy, ObeyedVersion& seen) {
  std::optional<Version> era;
  for (Version tried = version_ / kVersionsPerEra + 1; tried > 0 && !era; --tried) {
    std::string route = route_of_era(tried - 1);
    const auto known = co_await fleet_.knows_database(proxy, std::move(route), kCallLimit);
    if (!known) {
      co_return std::nullopt;
    }
    if (*known) {
      era = tried - 1;
    }
  }
  for (Version back = 1; era && back <= kVersionsPerEra; ++back) {
    const Version version = *era * kVersionsPerEra + kVersionsPerEra - back;
    if (version > version_ || rule_.body(version) == nullptr) {
      continue;
    }
    std::string route = route_of(version);
    seen.asked = core::BootClock::now();
    const auto known = co_await fleet_.knows_database(proxy, std::move(route), kCallLimit);
    seen.answered = core::BootClock::now();
    if (!known || *known) {
      co_return known ? std::optional(version) : std::nullopt;
    }
  }
  co_return std::nullopt;
}

}  // namespace pipitpond::soak
