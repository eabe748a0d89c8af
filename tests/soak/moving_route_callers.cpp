#include "soak/moving_route_callers.hpp"

#include <boost/asio/co_spawn.hpp>

#include "pooling/waiting.hpp"

namespace pipitpond::soak {

using boost::asio::awaitable;
using pooling::pause_for;
using std::chrono::milliseconds;

namespace {

constexpr core::Duration kStartLimit = std::chrono::seconds(1);
constexpr core::Duration kReopenPause = milliseconds(60);
constexpr std::uint64_t kMostPauseMillis = 40;
/// One of so many operations is a transaction.
constexpr std::uint64_t kTransactionEvery = 4;
const std::string kUnknownDatabase = "NODB";

}  // namespace

bool ExecutedRequests::contains(const std::string& request) {
  for (std::size_t number = 0; number < read_.size(); ++number) {
    const auto& executed = service_.database(number).executed();
    for (; read_[number] < executed.size(); ++read_[number]) {
      requests_.insert(executed[read_[number]].request);
    }
  }
  return requests_.contains(request);
}

MovingRouteCallers::MovingRouteCallers(platform::PlatformFleet& fleet,
                                       platform_stage::Service& second_service, std::size_t databases,
                                       ConfigurationRule& rule, std::uint64_t seed)
    : fleet_(fleet),
      rule_(rule),
      at_first_(fleet.service(), databases),
      at_second_(second_service, databases),
      random_(seed) {}

void MovingRouteCallers::start() {
  for (std::size_t proxy = 0; proxy < fleet_.proxies(); ++proxy) {
    for (const bool writes : {false, true}) {
      ++running_;
      boost::asio::co_spawn(fleet_.io(), call(proxy, writes, Random(random_())),
                            [this](std::exception_ptr) { --running_; });
    }
  }
}

awaitable<void> MovingRouteCallers::call(std::size_t proxy, bool writes, Random random) {
  while (!stopped_) {
    co_await hold_session(proxy, writes, random);
    co_await pause_for(fleet_.io(), kReopenPause);
  }
}

awaitable<void> MovingRouteCallers::hold_session(std::size_t proxy, bool writes, Random& random) {
  platform::Caller caller(fleet_.io(), fleet_.callers(proxy));
  ProxyLook look{proxy, fleet_.proxy_started(proxy), core::BootClock::now(), {}};
  const std::string line = co_await caller.start_session(kMovingRoute, kStartLimit);
  look.answered = core::BootClock::now();
  if (line != platform::kSessionOpened) {
    if (line.starts_with("ERR " + kUnknownDatabase)) {
      tell(look, {RoutePlace::kNowhere});
    }
    co_return;
  }
  tell(look, {RoutePlace::kFirstService, RoutePlace::kSecondService});
  bool open = true;
  while (open && !stopped_) {
    std::string text = writes ? "WRITE moving moving/x" : "READ moving";
    open = random() % kTransactionEvery == 0 ? co_await run_transaction(caller, look, std::move(text))
                                             : co_await run_statement(caller, look, std::move(text));
    co_await pause_for(fleet_.io(), milliseconds(random() % kMostPauseMillis));
  }
}

awaitable<bool> MovingRouteCallers::run_statement(platform::Caller& caller, ProxyLook look,
                                                  std::string text) {
  look.asked = core::BootClock::now();
  const platform::Answer answer = co_await caller.ask(std::move(text));
  note(look, caller, answer);
  co_return answer.connected;
}

/// Its statements run where the route led when it began.
awaitable<bool> MovingRouteCallers::run_transaction(platform::Caller& caller, ProxyLook look,
                                                    std::string text) {
  look.asked = core::BootClock::now();
  const platform::Answer begun = co_await caller.ask("BEGIN");
  if (!begun.ok()) {
    note(look, caller, begun);
    co_return begun.connected;
  }
  const platform::Answer answer = co_await caller.ask(std::move(text));
  note(look, caller, answer);
  if (!answer.connected) {
    co_return false;
  }
  const bool is_open = !answer.ready.starts_with("I");
  if (!is_open) {
    co_return true;
  }
  const platform::Answer ended = co_await caller.ask(answer.ok() ? "COMMIT" : "ROLLBACK");
  co_return ended.connected;
}

void MovingRouteCallers::note(ProxyLook look, const platform::Caller& caller,
                              const platform::Answer& answer) {
  look.answered = core::BootClock::now();
  if (answer.error.starts_with(kUnknownDatabase)) {
    tell(look, {RoutePlace::kNowhere});
  }
  if (at_first_.contains(caller.last_request())) {
    tell(look, {RoutePlace::kFirstService});
  }
  if (at_second_.contains(caller.last_request())) {
    tell(look, {RoutePlace::kSecondService});
  }
}

void MovingRouteCallers::tell(const ProxyLook& look, std::vector<RoutePlace> places) {
  const bool is_one_life = look.started == fleet_.proxy_started(look.proxy);
  if (is_one_life) {
    rule_.on_route_used(RouteUse{look, std::move(places)});
  }
}

}  // namespace pipitpond::soak
