#include "simulation/trace.hpp"

namespace pipitpond::simulation {

void Trace::write(std::string_view who, std::string_view what) {
  const auto since_start = scheduler_.now() - Scheduler().now();
  const auto seconds = std::chrono::duration<double>(since_start).count();
  *out_ << fmt::format("{:12.6f} {:<12} {}\n", seconds, who, what);
}

}  // namespace pipitpond::simulation
