#include "options.hpp"

namespace pipitpond::database_program {
namespace {

constexpr settings::Range kMillis{0, 3'600'000};
constexpr settings::Range kCount{1, 100'000};

void declare_peer(settings::Section& section, PeerOverride& peer) {
  section.text("database", peer.database, "name of the peer").required();
  section.endpoint("endpoint", peer.endpoint, "where this database reaches it").required();
}

void declare_behaviour(settings::Section& section, standin::EngineOptions& engine) {
  section.integer("connection.limit", engine.connection_limit, kCount, "most connections of callers");
  section.duration("connection.cost_ms", engine.connection_cost, kMillis, "how long a connect takes");
  section.duration("connection.idle_timeout_ms", engine.idle_timeout, kMillis,
                   "close connections without traffic for this long; 0: never");
  section.integer("slots", engine.slots, kCount, "most statements that execute at a time");
  section.duration("apply_lag_ms", engine.apply_lag, kMillis,
                   "as a replica: time from committed to visible to reads");
  section.duration("apply_lag_jitter_ms", engine.apply_lag_jitter, kMillis,
                   "as a replica: up to this much is added to the lag");
  section.integer("key_retention_ms", engine.key_retention_ms, {1000, 86'400'000},
                  "how long request keys are kept");
  section.integer("seed", engine.seed, {1, 1'000'000'000}, "for the jitter");
}

}  // namespace

void declare(settings::Section& section, Options& options) {
  section.text("id", options.id, "name of this database").required();
  section.text("group", options.group, "name of its group").required();
  section.address("listen.address", options.listen_address, "IP number to listen on");
  section.integer("listen.port", options.listen_port, {0, 65535}, "port to listen on; 0 picks a free one");
  section.text("data.folder", options.data_folder, "folder for the log; empty: nothing outlives the process");
  section.boolean("data.sync", options.data_sync, "sync the log; false only for load runs");
  section.duration("drain_timeout_ms", options.drain_timeout, kMillis, "longest planned stop");
  section.integer("work_us", options.work_us, {0, 60'000'000},
                  "how long a statement occupies its slot, microseconds");
  section.list("peers", options.peers, declare_peer, "other ways to peers than those of the promotion");
  declare_behaviour(section, options.engine);
}

standin::EngineOptions engine_options(const Options& options) {
  auto engine = options.engine;
  engine.database = core::DatabaseId(options.id);
  engine.group = core::GroupName(options.group);
  engine.work = core::Duration(options.work_us);
  return engine;
}

}  // namespace pipitpond::database_program
