#include "runner.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <atomic>
#include <fstream>
#include <mutex>
#include <thread>

namespace pipitpond::simulate {

namespace {

/// Hands out seeds to threads and gathers their reports.
class Gathering {
 public:
  Gathering(const simulation::World& world, const Options& options) : world_(world), options_(options) {}

  void work() {
    while (true) {
      const auto place = next_++;
      const bool stop = failed_ && !options_.keep_going;
      if (place >= options_.seeds || stop) return;
      const auto seed = options_.first_seed + place;
      add(seed, world_.run({seed, options_.switches, nullptr}));
    }
  }

  Results take() {
    std::sort(results_.failed.begin(), results_.failed.end());
    return std::move(results_);
  }

 private:
  void add(std::uint64_t seed, const simulation::SeedReport& report) {
    const std::lock_guard lock(mutex_);
    for (const auto& [name, count] : report.counts) results_.counts[name] += count;
    if (report.passed()) {
      ++results_.passed;
      return;
    }
    failed_ = true;
    results_.failed.push_back({seed, report.violations.front()});
  }

  const simulation::World& world_;
  const Options& options_;
  std::atomic<std::uint64_t> next_ = 0;
  std::atomic<bool> failed_ = false;
  std::mutex mutex_;
  Results results_;
};

}  // namespace

Results run_seeds(const simulation::World& world, const Options& options) {
  Gathering gathering(world, options);
  std::vector<std::thread> threads;
  for (unsigned job = 0; job < options.jobs; ++job) threads.emplace_back([&gathering] { gathering.work(); });
  for (auto& thread : threads) thread.join();
  return gathering.take();
}

std::string write_trace(const simulation::World& world, const Options& options, std::uint64_t seed) {
  const auto path = fmt::format("{}/{}-{}.trace", options.trace_folder, world.name(), seed);
  std::ofstream file(path);
  const auto report = world.run({seed, options.switches, &file});
  for (const auto& violation : report.violations) file << violation << '\n';
  return file.good() ? path : std::string();
}

}  // namespace pipitpond::simulate
