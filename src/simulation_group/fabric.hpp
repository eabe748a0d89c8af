// What all simulated processes of the group world share, and a request with an answer between two of them.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <utility>

#include "core/clock.hpp"
#include "simulation/host.hpp"
#include "simulation/network.hpp"
#include "simulation/random.hpp"
#include "simulation/scheduler.hpp"
#include "simulation/switches.hpp"
#include "simulation/trace.hpp"

namespace pipitpond::simulation::group {

/// Time, network, chance and switches of one run.
struct Fabric {
  Fabric(std::uint64_t seed, const Switches& wanted, std::ostream* out)
      : network(scheduler, seed), random(seed), trace(scheduler, out), switches(wanted) {}

  Scheduler scheduler;
  Network network;
  Random random;
  Trace trace;
  Switches switches;
};

/// How a call without an answer ended.
enum class CallFailure : std::uint8_t { kRefused, kTimeout };

/// An answer, or why there is none.
template <typename Answer>
struct CallEnd {
  std::optional<Answer> answer;
  CallFailure failure = CallFailure::kTimeout;
};

/// How soon a host that is up refuses a connection for a process that is not.
inline constexpr core::Duration kRefusalDelay = std::chrono::milliseconds(1);

/// Sends a question from one host to another. `serve` runs in the receiving process once and calls its
/// argument with the answer, now or later; `done` runs once in the asking process unless that has ended.
template <typename Answer>
void call(Fabric& fabric, Host& from, Host& to, core::Duration timeout,
          std::function<void(std::function<void(const Answer&)>)> serve,
          std::function<void(const CallEnd<Answer>&)> done) {
  auto finished = std::make_shared<bool>(false);
  const auto finish = [finished, done = std::move(done)](const CallEnd<Answer>& end) {
    if (!std::exchange(*finished, true)) {
      done(end);
    }
  };
  const bool connected = !fabric.network.is_cut(from, to) && !fabric.network.is_cut(to, from);
  if (!to.up() && connected) {
    from.after(kRefusalDelay, [finish] { finish({std::nullopt, CallFailure::kRefused}); });
    return;
  }
  from.after(timeout, [finish] { finish({std::nullopt, CallFailure::kTimeout}); });
  auto served = std::make_shared<bool>(false);
  const auto life = from.life();
  fabric.network.send(from, to, [&fabric, &from, &to, life, served, finish, serve = std::move(serve)] {
    if (std::exchange(*served, true)) {
      return;
    }
    serve([&fabric, &from, &to, life, finish](const Answer& answer) {
      fabric.network.send(to, from, [&from, life, finish, answer] {
        if (from.life() == life) {
          finish({answer, CallFailure::kTimeout});
        }
      });
    });
  });
}

}  // namespace pipitpond::simulation::group
