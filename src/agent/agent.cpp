#include "agent/agent.hpp"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <optional>
#include <string>
#include <utility>

#include "agent/configuration_store.hpp"
#include "agent/control_calls.hpp"
#include "agent/proof_log.hpp"
#include "agent/session.hpp"
#include "logging/logging.hpp"
#include "storage/durable_file.hpp"
#include "storage/file_disk.hpp"
#include "wire/codec.hpp"
#include "wire/datagram.hpp"

namespace pipitpond::agent {

namespace {

namespace asio = boost::asio;

const std::string kIncarnationFile = "incarnation";
/// Between two attempts to say farewell.
constexpr core::Duration kDepartureRetryPause = std::chrono::milliseconds(100);

/// Reads a packed value; `fallback` when there is no such file.
template <typename Value>
core::Result<Value> read_or(storage::Disk& disk, const std::string& name, Value fallback) {
  const auto bytes = storage::read_durable_file(disk, name);
  if (!bytes && bytes.error().kind == core::ErrorKind::kNotFound) {
    return fallback;
  }
  if (!bytes) {
    return bytes.error();
  }
  return wire::unpack<Value>(bytes.value());
}

/// The next incarnation number, durable before it is used. Also greater than before when the disk was lost.
core::Result<std::uint64_t> next_incarnation(storage::Disk& disk) {
  const auto last = read_or<std::uint64_t>(disk, kIncarnationFile, 0);
  if (!last) {
    return last.error();
  }
  const auto clock = static_cast<std::uint64_t>(core::unix_millis_now());
  const std::uint64_t next = std::max(last.value() + 1, clock);
  const auto stored = storage::write_durable_file(disk, kIncarnationFile, wire::pack(next));
  if (!stored) {
    return stored.error();
  }
  return next;
}

/// State shared by the agent and its running calls, which may outlive it.
class Driver : public ControlAnswers, public std::enable_shared_from_this<Driver> {
 public:
  Driver(asio::io_context& io, std::unique_ptr<storage::Disk> disk, std::optional<ConfigurationStore> store,
         SessionOptions options, protocol::Configuration configuration, TranslateEndpoint translate)
      : io_(io),
        disk_(std::move(disk)),
        store_(store),
        options_(options),
        session_(std::move(options), std::move(configuration)),
        log_(logging::logger("agent")),
        calls_(std::make_shared<ControlCalls>(io, std::move(translate), log_)),
        proof_log_(log_, core::BootClock::now()) {
    calls_->set_answers(this);
  }
  ~Driver() override { calls_->close(); }
  Driver(const Driver&) = delete;
  Driver& operator=(const Driver&) = delete;

  void start() {
    asio::co_spawn(io_, run_ticks(weak_from_this(), io_), asio::detached);
    listen_for_announcements();
  }
  void close() {
    calls_->close();
    announcements_.reset();
  }

  Session& session() { return session_; }
  [[nodiscard]] const Session& session() const { return session_; }
  /// The configuration that the daemon obeys: none until it was proven in this life.
  [[nodiscard]] const protocol::Configuration& configuration() const {
    return may_be_obeyed_ ? session_.configuration() : none_;
  }
  void add_callback(ChangeCallback callback) { callbacks_.push_back(std::move(callback)); }
  [[nodiscard]] std::uint64_t incarnation() const { return options_.incarnation; }
  [[nodiscard]] const ControlCalls& calls() const { return *calls_; }
  std::shared_ptr<wire::Channel> channel(const core::Endpoint& peer) { return calls_->channel(peer); }

  /// Sends what the session has decided to send.
  void carry_out() {
    for (Effect& effect : session_.take_effects()) {
      std::visit([this](auto& one) { calls_->send(std::move(one)); }, effect);
    }
  }

  /// At the internal endpoint, whose address control knows. Without them, the replicas of the settings are
  /// asked.
  void listen_for_announcements() {
    auto listener = wire::DatagramListener::open(
        io_, options_.internal, [self = weak_from_this()](const std::string& bytes) {
          const auto driver = self.lock();
          const auto announcement = wire::unpack<protocol::ControlAnnouncement>(bytes);
          if (driver && announcement) {
            driver->session_.on_control_announced(core::BootClock::now(), announcement.value().internal);
            driver->carry_out();
          }
        });
    if (listener) {
      announcements_ = std::move(listener.value());
    } else {
      log_->warn("event=no_announcements {}", core::describe(listener.error()));
    }
  }

  void on_heartbeat_reply(const core::Endpoint& from, const protocol::HeartbeatReply& reply) override {
    session_.on_heartbeat_reply(core::BootClock::now(), from, reply);
    publish();
    carry_out();
  }
  void on_heartbeat_failed(const core::Endpoint& from, std::uint64_t sequence) override {
    session_.on_heartbeat_failed(core::BootClock::now(), from, sequence);
    carry_out();
  }
  void on_probe_ended(const core::Endpoint& from, bool answered) override {
    session_.on_probe_ended(core::BootClock::now(), from, answered);
    carry_out();
  }
  void on_fetch_failed(const core::Endpoint& from) override {
    session_.on_fetch_failed(core::BootClock::now(), from);
    carry_out();
  }
  void on_fetched(const core::Endpoint& from, FetchedAnswer answer) override {
    if (answer.leads_to == answer.newest) {
      session_.on_fetch_answered(from);
    } else {
      session_.on_newer_revision(answer.newest);
    }
    const protocol::FetchReply* fetched =
        session_.take_fetch_reply(core::BootClock::now(), std::move(answer.reply));
    if (fetched != nullptr) {
      store_and_apply(from, *fetched);
    }
    carry_out();
  }
  void on_push(const core::Endpoint& from, wire::MessageType type, const std::string& body) override {
    if (type != wire::MessageType::kRevisionNotice) {
      return;
    }
    const auto notice = wire::unpack<protocol::RevisionNotice>(body);
    if (notice) {
      session_.on_revision_notice(core::BootClock::now(), from, notice.value().revision);
      carry_out();
    }
  }

 private:
  static asio::awaitable<void> run_ticks(std::weak_ptr<Driver> self, asio::io_context& io) {
    asio::steady_timer timer(io);
    while (tick_once(self)) {
      timer.expires_after(kSessionTick);
      boost::system::error_code ignored;
      co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
  }

  /// False once the agent is gone. The loop itself keeps nothing alive while it waits.
  static bool tick_once(const std::weak_ptr<Driver>& self) {
    const auto driver = self.lock();
    if (driver == nullptr) {
      return false;
    }
    driver->renumber_when_superseded();
    const core::Instant now = core::BootClock::now();
    driver->session_.tick(now);
    driver->carry_out();
    driver->calls_->tick(now, driver->session_.configuration().revision);
    driver->proof_log_.observe(now, driver->session_);
    return true;
  }

  /// Without a disk, a life is numbered by the clock. If that was set back since an earlier life, control
  /// takes this one for the older: it goes on under the number that follows.
  void renumber_when_superseded() {
    if (store_ || !session_.superseded()) {
      return;
    }
    options_.incarnation = session_.newest_incarnation() + 1;
    options_.last_sequence = session_.last_sequence();
    log_->warn("The clock went back: this life goes on as incarnation {}.", options_.incarnation);
    session_ = Session(options_, session_.configuration());
  }

  /// On disk first: a restart must not fall back behind a revision that was in force.
  void store_and_apply(const core::Endpoint& from, const protocol::FetchReply& fetched) {
    if (!store(fetched)) {
      session_.drop_fetched(core::BootClock::now());
      return;
    }
    session_.apply_fetched(core::BootClock::now());
    const bool in_force = may_be_obeyed_ || session_.configuration_proven();
    log_->info("event={} revision={} from={}", in_force ? "revision_in_force" : "revision_fetched",
               session_.configuration().revision, core::to_string(from));
    publish();
  }

  /// Hands on the configuration once it is proven in this life, and from then on each newer one.
  void publish() {
    proof_log_.observe(core::BootClock::now(), session_);
    may_be_obeyed_ = may_be_obeyed_ || session_.configuration_proven();
    const protocol::Revision revision = session_.configuration().revision;
    if (!may_be_obeyed_ || revision == published_) {
      return;
    }
    published_ = revision;
    const std::vector<ChangeCallback> callbacks = callbacks_;
    for (const ChangeCallback& callback : callbacks) {
      callback(session_.configuration());
    }
  }

  bool store(const protocol::FetchReply& fetched) {
    if (!store_) {
      return true;
    }
    const auto stored = store_->store(session_.configuration(), fetched);
    if (!stored) {
      log_->error("Configuration can't be stored: {}", core::describe(stored.error()));
    }
    return stored.has_value();
  }

  asio::io_context& io_;
  std::unique_ptr<storage::Disk> disk_;
  std::optional<ConfigurationStore> store_;  ///< Refers to disk_; empty without one.
  SessionOptions options_;
  Session session_;
  logging::Logger log_;
  std::shared_ptr<ControlCalls> calls_;
  std::unique_ptr<wire::DatagramListener> announcements_;
  std::vector<ChangeCallback> callbacks_;
  ProofLog proof_log_;
  bool may_be_obeyed_ = false;
  protocol::Revision published_ = 0;  ///< Of the configuration that callbacks were called with last.
  protocol::Configuration none_;
};

class AgentImplementation : public Agent {
 public:
  AgentImplementation(asio::io_context& io, std::shared_ptr<Driver> driver)
      : io_(io), driver_(std::move(driver)) {}
  ~AgentImplementation() override { driver_->close(); }
  AgentImplementation(const AgentImplementation&) = delete;
  AgentImplementation& operator=(const AgentImplementation&) = delete;

  void start() override { driver_->start(); }

  void set_control(std::vector<core::Endpoint> control) override {
    driver_->session().set_configured_control(std::move(control));
  }

  void set_leaving() override {
    driver_->session().set_leaving(core::BootClock::now());
    driver_->carry_out();
  }

  asio::awaitable<void> depart(core::Duration timeout) override {
    return say_departure(io_, driver_, core::BootClock::now() + timeout);
  }

  [[nodiscard]] const protocol::Configuration& configuration() const override {
    return driver_->configuration();
  }
  void on_change(ChangeCallback callback) override { driver_->add_callback(std::move(callback)); }
  [[nodiscard]] bool lease_valid(core::Instant now) const override {
    return driver_->session().lease_valid(now);
  }
  [[nodiscard]] core::Instant complete_until() const override { return driver_->session().complete_until(); }
  [[nodiscard]] ownership::Budget allowed(const core::DatabaseId& database) const override {
    return driver_->session().allowed(database);
  }
  [[nodiscard]] const ownership::OwnerTable& owner_table() const override {
    return driver_->session().owner_table();
  }
  void report_held(const core::DatabaseId& database, std::uint32_t connections) override {
    driver_->session().report_held(database, connections);
  }
  void set_suspicions(std::vector<protocol::SuspicionReport> suspicions) override {
    driver_->session().set_suspicions(core::BootClock::now(), std::move(suspicions));
    driver_->carry_out();
  }
  [[nodiscard]] std::uint64_t incarnation() const override { return driver_->incarnation(); }
  [[nodiscard]] protocol::Revision current_revision() const override {
    return driver_->session().newest_known();
  }
  [[nodiscard]] std::uint64_t control_bytes() const override { return driver_->calls().bytes(); }
  [[nodiscard]] const FetchCounters& fetch_counters() const override {
    return driver_->calls().fetch_counters();
  }

 private:
  static asio::awaitable<void> say_departure(asio::io_context& io, std::shared_ptr<Driver> driver,
                                             core::Instant deadline) {
    asio::steady_timer timer(io);
    while (core::BootClock::now() < deadline) {
      const std::shared_ptr<wire::Channel> channel = driver->channel(driver->session().leader_guess());
      std::string body = wire::pack(driver->session().departure());
      const core::Duration timeout = deadline - core::BootClock::now();
      const auto answer = co_await channel->call(wire::MessageType::kDeparture, std::move(body), timeout);
      if (answer) {
        driver->session().stop();
        co_return;
      }
      // Heartbeats go on meanwhile, so that a new leader is found.
      timer.expires_after(kDepartureRetryPause);
      boost::system::error_code ignored;
      co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    driver->session().stop();
  }

  asio::io_context& io_;
  std::shared_ptr<Driver> driver_;
};

}  // namespace

core::Result<std::unique_ptr<Agent>> Agent::create(asio::io_context& io, AgentOptions options) {
  if (options.control.empty()) {
    return core::fail(core::ErrorKind::kInvalidArgument, "No control replica is named.",
                      "Set the control endpoints.");
  }
  SessionOptions session{
      options.daemon,          0, options.zone, options.internal, options.callers, options.control,
      options.standstill_limit};
  if (options.data_folder.empty()) {
    session.incarnation = static_cast<std::uint64_t>(core::unix_millis_now());
    auto driver = std::make_shared<Driver>(io, nullptr, std::nullopt, std::move(session),
                                           protocol::Configuration{}, std::move(options.translate));
    return std::unique_ptr<Agent>(std::make_unique<AgentImplementation>(io, std::move(driver)));
  }
  auto disk = storage::FileDisk::open(options.data_folder.string());
  if (!disk) {
    return disk.error();
  }
  ConfigurationStore store(*disk.value());
  auto configuration = store.load();
  if (!configuration) {
    return configuration.error();
  }
  const auto incarnation = next_incarnation(*disk.value());
  if (!incarnation) {
    return incarnation.error();
  }
  session.incarnation = incarnation.value();
  auto driver = std::make_shared<Driver>(io, std::move(disk.value()), store, std::move(session),
                                         std::move(configuration.value()), std::move(options.translate));
  return std::unique_ptr<Agent>(std::make_unique<AgentImplementation>(io, std::move(driver)));
}

}  // namespace pipitpond::agent
