// Closed loops of reads, through a proxy or straight at a database.
#pragma once

#include <utility>  // Before Asio's coroutine headers, which lack it.
//
#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "core/clock.hpp"
#include "core/endpoint.hpp"

namespace pipitpond::overhead {

/// What each client of a load does: one read after the other on a connection of its own.
struct LoadOptions {
  core::Endpoint target;
  bool is_database = false;  ///< Else a proxy.
  std::string group;         ///< For proxies.
  std::size_t clients = 1;
  core::Duration duration{};
};

/// What came of a load.
struct LoadResult {
  std::uint64_t done = 0;
  std::uint64_t failed = 0;
  double per_second = 0;
  double p50_us = 0;
  double p99_us = 0;
};

/// Runs a load on a fresh io_context and returns when it has ended.
LoadResult run_load(const LoadOptions& options);

}  // namespace pipitpond::overhead
