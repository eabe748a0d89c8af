#include "http/connection_table.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>
#include <vector>

#include "http/rejected_connection.hpp"

namespace pipitpond::http {

TrackedSocket::~TrackedSocket() {
  if (table_) {
    table_->remove(id_);
  }
}

void TrackedSocket::attach(std::shared_ptr<ConnectionTable> table, ConnectionId id) {
  table_ = std::move(table);
  id_ = id;
  table_->add(id, *this);
}

void TrackedSocket::shutdown(shutdown_type type, boost::system::error_code& error) {
  const auto rejection = table_ ? table_->take_rejection() : std::nullopt;
  if (!rejection) {
    Base::shutdown(type, error);
    return;
  }
  // Nothing is being read or written: requests are not pipelined, and the parser failed within a read's
  // handler.
  table_->reject(Base(std::move(static_cast<Base&>(*this))), *rejection);
}

void TrackedSocket::close() {
  boost::system::error_code ignored;
  Base::close(ignored);
}

ConnectionTable::ConnectionTable(boost::asio::io_context& io, std::size_t max_connections,
                                 ConnectionClosed closed)
    : io_(io), max_connections_(max_connections), closed_(std::move(closed)) {}

bool ConnectionTable::has_room() const {
  return sockets_.size() + rejected_.size() < max_connections_;
}

std::size_t ConnectionTable::with_unread_bytes() const {
  return static_cast<std::size_t>(std::count_if(sockets_.begin(), sockets_.end(), [](const auto& entry) {
    boost::system::error_code error;
    return entry.second->available(error) > 0 && !error;
  }));
}

void ConnectionTable::add(ConnectionId id, TrackedSocket& socket) {
  sockets_.emplace(id, &socket);
}

void ConnectionTable::remove(ConnectionId id) {
  if (sockets_.erase(id) == 0 || !closed_) {
    return;
  }
  // Posted, so that a callback never runs inside the destructor of a request or in the middle of a close.
  boost::asio::post(io_, [self = shared_from_this(), id] {
    if (self->closed_) {
      self->closed_(id);
    }
  });
}

void ConnectionTable::close(ConnectionId id) {
  const auto found = sockets_.find(id);
  if (found == sockets_.end()) {
    return;
  }
  boost::system::error_code ignored;
  found->second->TrackedSocket::Base::shutdown(TrackedSocket::shutdown_both, ignored);
  found->second->close();
  remove(id);
}

void ConnectionTable::shut_down() {
  closed_ = {};
  std::vector<ConnectionId> open;
  open.reserve(sockets_.size());
  for (const auto& [id, socket] : sockets_) {
    open.push_back(id);
  }
  for (const ConnectionId id : open) {
    close(id);
  }
  for (const auto& entry : rejected_) {
    if (const auto connection = entry.lock()) {
      connection->close();
    }
  }
}

std::optional<unsigned> ConnectionTable::take_rejection() {
  return std::exchange(rejection_status_, std::nullopt);
}

void ConnectionTable::reject(boost::asio::ip::tcp::socket socket, unsigned status) {
  rejected_.remove_if([](const auto& entry) { return entry.expired(); });
  const auto connection = std::make_shared<RejectedConnection>(std::move(socket), status);
  rejected_.push_back(connection);
  connection->start();
}

}  // namespace pipitpond::http
