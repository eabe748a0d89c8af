// A stand-in service: a primary and its replicas, their replication, their heartbeats to control, and the
// promotion call of the platform.
#pragma once

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/clock.hpp"
#include "http/server.hpp"
#include "platform_stage/database.hpp"

namespace pipitpond::platform_stage {

/// A service as a test wants it.
struct ServiceOptions {
  std::string name = "plates";
  int databases = 3;
  core::Duration replication_lag = std::chrono::milliseconds(3);
  core::Duration promotion = std::chrono::milliseconds(150);
  core::Duration heartbeat = std::chrono::milliseconds(200);
  std::vector<core::Endpoint> control;     ///< Addresses of control's HTTP interface.
  std::vector<std::uint16_t> ports;        ///< Of the databases; empty: any free ones.
  std::vector<core::Endpoint> advertised;  ///< Where the databases say that they are; empty: where they are.
};

/// An order to promote that has arrived, whether it was taken or refused.
struct Order {
  std::string service;
  std::string database;
  std::string holder;
  std::uint64_t token = 0;
  core::Instant arrived;
  unsigned status = 0;                         ///< Of the answer.
  std::optional<core::Instant> took_effect{};  ///< When the database began to lead by it.
  Log log{};                                   ///< What the database held then.
};

/// Runs a service.
class Service : public Replication {
 public:
  Service(boost::asio::io_context& io, ServiceOptions options);
  ~Service() override;
  Service(const Service&) = delete;
  Service& operator=(const Service&) = delete;

  /// Starts the databases, the first being the primary, and their heartbeats.
  void start();
  /// Starts the promotion call; returns where it listens.
  core::Endpoint start_promotion_call();
  /// The promotion call takes orders for this service too. It must outlive the orders.
  void take_orders_for(Service& other) { others_[other.options_.name] = &other; }

  Database& database(std::size_t number) { return *databases_.at(number); }
  /// The primary of the greatest term, or null.
  Database* primary();
  /// All orders to promote, in the order of their arrival.
  [[nodiscard]] const std::vector<Order>& orders() const { return orders_; }
  /// Those that were taken.
  [[nodiscard]] std::vector<Order> promotions() const;
  /// From the next heartbeat of its life on, the database says that it is draining.
  void drain(std::size_t number) { draining_.insert(databases_.at(number)->options().id); }
  /// A database that has said that it drains says that it leaves, and ends once that is acknowledged, unless
  /// it has ended before.
  boost::asio::awaitable<void> leave(std::size_t number);
  /// Starts a database that has ended under its id again: a new life that holds nothing of before.
  void start_again(std::size_t number);
  /// How long a promotion takes from now on.
  void set_promotion(core::Duration promotion) { options_.promotion = promotion; }
  /// Numbers of acknowledged heartbeats.
  [[nodiscard]] std::size_t heartbeats() const { return heartbeats_; }

  void replicate(const std::string& primary, std::function<void()> acknowledged) override;

 private:
  /// A commit that waits for a receipt.
  struct Waiting {
    std::string primary;
    core::LogPosition position;
    std::function<void()> acknowledged;
  };

  boost::asio::awaitable<void> replicate_all();
  boost::asio::awaitable<void> send_heartbeats(std::size_t number);
  boost::asio::awaitable<bool> send_heartbeat(std::size_t number, std::uint64_t sequence);
  /// To one daemon of control after another, until one acknowledges; false when none did.
  boost::asio::awaitable<bool> notify(std::string path, std::string body);
  /// Takes effect a while after the order arrived, if the database still runs.
  boost::asio::awaitable<void> promote(std::size_t order);
  http::Response order(const http::Request& request);
  [[nodiscard]] Database* find(const std::string& id);
  void catch_up(Database& primary);
  void retire_replaced_primaries(core::Instant now);

  boost::asio::io_context& io_;
  ServiceOptions options_;
  std::vector<std::unique_ptr<Database>> databases_;
  std::list<Waiting> waiting_;
  std::unique_ptr<http::Server> promotion_call_;
  std::map<std::string, Service*> others_;  ///< By name: services whose orders the promotion call takes too.
  std::vector<Order> orders_;
  std::string present_primary_;  ///< Id of the database that was promoted last.
  std::set<std::string> draining_;
  std::map<std::string, core::Instant> replaced_since_;  ///< Primaries that can reach a newer one.
  std::size_t heartbeats_ = 0;
  bool stopped_ = false;
};

}  // namespace pipitpond::platform_stage
