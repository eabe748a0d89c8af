// Test fixture: a small fleet of real processes with concurrent writers. Checks that every acknowledged write
// is in the final primary's log exactly once.
#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "database/protocol.hpp"
#include "fleet/fleet.hpp"
#include "support/json_client.hpp"
#include "support/test_fleet.hpp"

namespace pipitpond::testing {

/// Threads that write through all proxies until stopped. Each write has its own idempotency key and is
/// retried until its outcome is `done` or `not_run`.
class Writers {
 public:
  Writers(std::vector<core::Endpoint> proxies, std::size_t count);
  ~Writers();
  Writers(const Writers&) = delete;
  Writers& operator=(const Writers&) = delete;

  /// Stops the writers after their current request. Returns the identifiers of all acknowledged writes.
  std::vector<std::string> stop();
  [[nodiscard]] std::size_t acknowledged();
  /// Waits until `count` more writes are acknowledged.
  bool wait_for_more(std::size_t count);

 private:
  void run(std::size_t number);

  std::vector<core::Endpoint> proxies_;
  std::atomic<bool> stopping_ = false;
  std::mutex mutex_;
  std::vector<std::string> acknowledged_;
  std::vector<std::thread> threads_;
};

/// A fleet of three zones with one proxy each and one group of three databases, with fault proxies on all
/// links.
class FailoverFleet {
 public:
  explicit FailoverFleet(std::uint32_t connection_limit = 64);

  [[nodiscard]] fleet::Fleet& fleet() { return *fleet_; }
  [[nodiscard]] std::vector<core::Endpoint> proxies() const;
  [[nodiscard]] std::vector<std::string> databases() const;
  [[nodiscard]] std::vector<std::string> replicas_of(const std::string& primary) const;

  std::string primary();
  /// Waits for a primary other than `former`.
  std::string next_primary(const std::string& former);
  /// The group's term according to the control status; 0 without an answer.
  core::Term term();
  /// Status reported by the database itself, or empty without an answer.
  std::optional<database::StatusAnswer> status_of(const std::string& database);
  /// Value of the database's gauge or counter `pipitpond_database_<name>`. Throws if it is missing.
  std::uint64_t metric(const std::string& database, const std::string& name);
  /// Writes directly to a database, bypassing its fault proxy, like a client that has not learned of a change
  /// of primary.
  std::optional<experiment::JsonReply> write_directly(const std::string& database, core::Term term,
                                                      const std::string& id);
  /// Injects a fault into a link, e.g. "drop" with a probability.
  void set_fault(const std::string& link, const nlohmann::json& fault);
  /// Expects each of these writes exactly once in the log of the current primary.
  void expect_in_log(const std::vector<std::string>& acknowledged);

 private:
  TestFolder folder_;
  std::unique_ptr<fleet::Fleet> fleet_;
};

}  // namespace pipitpond::testing
