// What the daemon counts about callers' requests.
#pragma once

#include <cstdint>

#include "core/outcome.hpp"

namespace pipitpond::proxy {

/// Counters since start.
struct RequestMetrics {
  std::uint64_t done = 0;
  std::uint64_t not_run = 0;
  std::uint64_t unknown = 0;
  std::uint64_t malformed = 0;         ///< Refused before they were read as a request.
  std::uint64_t overloaded = 0;        ///< Answered 429.
  std::uint64_t reads_by_replica = 0;  ///< Done reads outside transactions.
  std::uint64_t reads_by_primary = 0;
  std::uint64_t attempts = 0;
  std::uint64_t retries = 0;   ///< Attempts beyond a request's first.
  std::uint64_t replayed = 0;  ///< Writes whose key had run before.
  std::uint64_t position_lost = 0;
  std::uint64_t forwarded = 0;          ///< Attempts passed on to another daemon.
  std::uint64_t served_for_peers = 0;   ///< Attempts made for another daemon.
  std::uint64_t refused_late = 0;       ///< Attempts of other daemons that had lain unread for too long.
  std::uint64_t peers_fell_silent = 0;  ///< Times that another daemon was taken as silent.
  std::uint64_t given_up = 0;           ///< Attempts given up because their daemon fell silent.
  std::uint64_t latency_us = 0;         ///< Time of all requests, in all.
};

}  // namespace pipitpond::proxy
