// What the decisions for one request cost.
#include <benchmark/benchmark.h>

#include "policy/program.hpp"
#include "session/token.hpp"

namespace pipitpond::microbench {
namespace {

void token_round_trip(benchmark::State& state) {
  const auto key = session::FleetKey::create("a secret of the fleet, long enough");
  session::SessionToken token;
  for (std::int64_t group = 0; group < state.range(0); ++group) {
    const auto advanced = token.advance(core::GroupName("group-" + std::to_string(group)), {3, 12345});
    if (!advanced.has_value()) {
      state.SkipWithError("The token has no room.");
      return;
    }
  }
  std::size_t bytes = 0;
  for (auto _ : state) {
    const std::string text = token.encode(key.value());
    bytes = text.size();
    benchmark::DoNotOptimize(session::SessionToken::decode(text, key.value()));
  }
  state.counters["bytes"] = static_cast<double>(bytes);
}
BENCHMARK(token_round_trip)->Arg(1)->Arg(4)->Arg(16);

void evaluate_policy(benchmark::State& state) {
  const auto program = policy::Program::compile(policy::default_source());
  policy::RequestFacts facts;
  for (auto _ : state) {
    benchmark::DoNotOptimize(program.value()->read(facts));
  }
}
BENCHMARK(evaluate_policy);

}  // namespace
}  // namespace pipitpond::microbench
