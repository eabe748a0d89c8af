// Figures of an open loop's samples, as JSON.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <vector>

#include "core/clock.hpp"
#include "workload/open_load.hpp"

namespace pipitpond::overload {

/// Which samples count.
struct Window {
  core::Duration from{0};  ///< Of the time of arrival, since the start of the load.
  core::Duration to = core::Duration::max();
  std::optional<std::size_t> stream;  ///< Empty: all streams.
};

/// Counts, rates per second and latencies in milliseconds. An answer "done" counts for the goodput when it
/// came before the request's deadline, in the window.
nlohmann::json summarize(const std::vector<workload::OpenSample>& samples, const Window& window,
                         std::uint32_t deadline_ms);

/// {"p50","p99","max"} of the values; nulls without any.
nlohmann::json quantiles(std::vector<double> values);

}  // namespace pipitpond::overload
