// Settings of pipitpond-database.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/clock.hpp"
#include "core/endpoint.hpp"
#include "settings/section.hpp"
#include "standin/types.hpp"

namespace pipitpond::database_program {

/// Where this database reaches a peer, when not at the endpoint that its promotion names.
struct PeerOverride {
  std::string database;
  core::Endpoint endpoint;
};

/// Everything the process is told at its start.
struct Options {
  std::string id;
  std::string group;
  std::string listen_address = "127.0.0.1";
  std::uint16_t listen_port = 0;  ///< 0 picks a free one.
  std::string data_folder;        ///< Empty: nothing is kept over a restart.
  bool data_sync = true;          ///< False: files are written but not synced; for load runs.
  std::vector<PeerOverride> peers;
  core::Duration drain_timeout = std::chrono::seconds(10);  ///< Longest planned stop.
  std::int64_t work_us = 2000;                              ///< Default time of a statement in its slot.
  standin::EngineOptions engine;                            ///< Names and work are set by `engine_options`.
};

/// Declares all settings; their defaults are those above.
void declare(settings::Section& section, Options& options);

/// The engine's options with everything filled in.
standin::EngineOptions engine_options(const Options& options);

}  // namespace pipitpond::database_program
