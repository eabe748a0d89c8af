#include "link.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace pipitpond::faultproxy {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

tcp::endpoint to_asio(const core::Endpoint& endpoint) {
  return {asio::ip::make_address(endpoint.address), endpoint.port};
}

}  // namespace

Link::Link(asio::io_context& io, LinkOptions options)
    : io_(io),
      options_(std::move(options)),
      acceptor_(io),
      target_(to_asio(options_.target)),
      state_(std::make_shared<LinkState>()) {
  state_->random.seed(options_.seed);
  for (auto& way : state_->ways) {
    way.base_delay = options_.delay;
  }
}

Link::~Link() {
  reset_relays();
}

core::Result<std::shared_ptr<Link>> Link::start(asio::io_context& io, const LinkOptions& options) {
  std::shared_ptr<Link> link(new Link(io, options));
  auto listening = link->listen();
  if (!listening) {
    return listening.as_failure();
  }
  return link;
}

core::Result<void> Link::listen() {
  const auto endpoint = to_asio(options_.listen);
  boost::system::error_code error;
  acceptor_.open(endpoint.protocol(), error);
  if (!error) {
    acceptor_.set_option(tcp::acceptor::reuse_address(true), error);
  }
  if (!error) {
    acceptor_.bind(endpoint, error);
  }
  if (!error) {
    acceptor_.listen(asio::socket_base::max_listen_connections, error);
  }
  if (error) {
    acceptor_.close(error);
    return core::fail(core::ErrorKind::kUnavailable,
                      "Can't listen on " + core::to_string(options_.listen) + ": " + error.message() + ".",
                      "Give the link a free port.");
  }
  asio::co_spawn(io_, accept(shared_from_this()), asio::detached);
  return core::outcome::success();
}

asio::awaitable<void> Link::accept(std::shared_ptr<Link> self) {
  // Holds no reference while it waits, so that a link that was dropped ends.
  const std::weak_ptr<Link> weak = self;
  auto& acceptor = acceptor_;
  self.reset();
  while (true) {
    boost::system::error_code error;
    auto socket = co_await acceptor.async_accept(asio::redirect_error(asio::use_awaitable, error));
    const auto link = weak.lock();
    if (error || !link) {
      co_return;
    }
    auto relay = std::make_shared<Relay>(link->io_, std::move(socket), link->state_);
    std::erase_if(link->relays_, [](const auto& known) { return known.expired(); });
    link->relays_.push_back(relay);
    relay->start(link->target_);
  }
}

std::size_t Link::connections() {
  std::erase_if(relays_, [](const auto& relay) { return relay.expired(); });
  return relays_.size();
}

void Link::set(const Fault& fault) {
  if (fault.kind == FaultKind::kNone) {
    clear();
  } else {
    apply(fault);
  }
  for (const auto& weak : relays_) {
    if (const auto relay = weak.lock()) {
      relay->state_changed();
    }
  }
}

void Link::clear() {
  for (auto& way : state_->ways) {
    way = Way{options_.delay};
  }
  if (!acceptor_.is_open()) {
    static_cast<void>(listen());
  }
}

void Link::apply(const Fault& fault) {
  const bool to_target = fault.to_target;
  const bool from_target = fault.from_target;
  const std::array<bool, 2> affected{to_target, from_target};
  for (std::size_t i = 0; i < affected.size(); ++i) {
    if (fault.kind == FaultKind::kDelay && affected[i]) {
      state_->ways[i].delay = fault.delay;
      state_->ways[i].jitter = fault.jitter;
    } else if (fault.kind == FaultKind::kDrop && affected[i]) {
      state_->ways[i].drop_probability = fault.probability;
    }
  }
  if (fault.kind == FaultKind::kCutToTarget || fault.kind == FaultKind::kFreeze) {
    state_->way(Direction::kToTarget).held = true;
  }
  if (fault.kind == FaultKind::kCutFromTarget || fault.kind == FaultKind::kFreeze) {
    state_->way(Direction::kFromTarget).held = true;
  }
  if (fault.kind == FaultKind::kRefuse) {
    boost::system::error_code ignored;
    acceptor_.close(ignored);
  }
  if (fault.kind == FaultKind::kRefuse || fault.kind == FaultKind::kReset) {
    reset_relays();
  }
  if (fault.kind == FaultKind::kPowerLoss) {
    lose_clients();
  }
}

void Link::lose_clients() {
  for (const auto& weak : relays_) {
    if (const auto relay = weak.lock()) {
      relay->lose_client();
    }
  }
}

void Link::reset_relays() {
  for (const auto& weak : relays_) {
    if (const auto relay = weak.lock()) {
      relay->reset();
    }
  }
  relays_.clear();
}

}  // namespace pipitpond::faultproxy
