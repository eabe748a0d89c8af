// The experiments of pipitpond-overload. Each runs on a fleet of its own.
#pragma once

#include <cstdint>
#include <filesystem>
#include <nlohmann/json.hpp>

#include "core/clock.hpp"
#include "core/error.hpp"

namespace pipitpond::overload {

/// Settings shared by the scenarios.
struct Settings {
  std::filesystem::path binaries;
  std::filesystem::path folder;                        ///< For the fleet's settings, data and logs.
  std::uint32_t proxies = 3;                           ///< A multiple of the three zones.
  std::uint32_t slots = 4;                             ///< Of each database.
  core::Duration work = std::chrono::milliseconds(5);  ///< How long a statement keeps its slot.
  core::Duration phase = std::chrono::seconds(6);      ///< Length of each phase's arrivals.
  std::uint32_t deadline_ms = 500;
  std::uint32_t rounds = 3;           ///< Of alternating phases (tenants).
  std::uint32_t tenant_percent = 80;  ///< Load of the tenant within its share, of that share (tenants).
  std::uint64_t seed = 1;
};

/// 0.5 to 3 times the capacity of a primary: all statements go there, half of them writes.
core::Result<nlohmann::json> run_capacity(const Settings& settings);

/// A tenant within its share, alone and beside one at ten times its share, in turn.
core::Result<nlohmann::json> run_tenants(const Settings& settings);

/// How a whole group is lost.
enum class Loss : std::uint8_t { kKilled, kFrozen };

/// Half the capacity while all databases of the group are lost for one phase and come back.
core::Result<nlohmann::json> run_group_down(const Settings& settings, Loss loss);

}  // namespace pipitpond::overload
