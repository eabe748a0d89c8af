#include "http/connection_table.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>
#include <vector>

#include "http/closing_answer.hpp"

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
  auto words = table_ ? table_->last_words(id_) : std::nullopt;
  if (!words) {
    Base::shutdown(type, error);
    return;
  }
  table_->linger(release(), std::move(*words));
}

void TrackedSocket::close() {
  boost::system::error_code ignored;
  Base::close(ignored);
}

TrackedSocket::Base TrackedSocket::release() {
  boost::system::error_code ignored;
  Base::cancel(ignored);
  return Base(std::move(static_cast<Base&>(*this)));
}

ConnectionTable::ConnectionTable(boost::asio::io_context& io, std::size_t max_connections,
                                 ConnectionClosed closed)
    : io_(io), max_connections_(max_connections), closed_(std::move(closed)) {}

bool ConnectionTable::has_room() const {
  return connections_.size() + lingering_.size() < max_connections_;
}

std::size_t ConnectionTable::with_unread_bytes() const {
  return static_cast<std::size_t>(
      std::count_if(connections_.begin(), connections_.end(),
                    [](const auto& entry) { return entry.second.has_unread_bytes(); }));
}

bool ConnectionTable::Connection::has_unread_bytes() const {
  boost::system::error_code error;
  return socket->available(error) > 0 && !error;
}

void ConnectionTable::add(ConnectionId id, TrackedSocket& socket) {
  connections_.emplace(id, Connection{&socket});
}

void ConnectionTable::remove(ConnectionId id) {
  if (connections_.erase(id) == 0 || !closed_) {
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
  const auto found = connections_.find(id);
  if (found == connections_.end()) {
    return;
  }
  TrackedSocket& socket = *found->second.socket;
  boost::system::error_code ignored;
  socket.TrackedSocket::Base::shutdown(TrackedSocket::shutdown_both, ignored);
  socket.close();
  remove(id);
}

void ConnectionTable::shut_down() {
  closed_ = {};
  std::vector<ConnectionId> open;
  open.reserve(connections_.size());
  for (const auto& [id, connection] : connections_) {
    open.push_back(id);
  }
  for (const ConnectionId id : open) {
    close(id);
  }
  for (const auto& connection : std::unordered_set(lingering_)) {
    connection->close();
  }
}

bool ConnectionTable::begin_request(ConnectionId id) {
  const auto found = connections_.find(id);
  if (found == connections_.end()) {
    return false;
  }
  found->second.busy = true;
  return true;
}

void ConnectionTable::end_request(ConnectionId id) {
  const auto found = connections_.find(id);
  if (found != connections_.end()) {
    found->second.busy = false;
  }
}

void ConnectionTable::end_after_answer(ConnectionId id) {
  const auto found = connections_.find(id);
  if (found != connections_.end()) {
    found->second.ends_after_answer = true;
  }
}

void ConnectionTable::end_idle(const std::string& answer) {
  std::vector<ConnectionId> idle;
  for (const auto& [id, connection] : connections_) {
    if (!connection.busy && !connection.ends_after_answer && !connection.has_unread_bytes()) {
      idle.push_back(id);
    }
  }
  for (const ConnectionId id : idle) {
    linger(connections_.at(id).socket->release(), answer);
    remove(id);
  }
}

std::optional<unsigned> ConnectionTable::take_rejection() {
  return std::exchange(rejection_status_, std::nullopt);
}

std::optional<std::string> ConnectionTable::last_words(ConnectionId id) {
  if (const auto status = take_rejection()) {
    return closing_answer(*status);
  }
  const auto found = connections_.find(id);
  const bool ends_after_answer = found != connections_.end() && found->second.ends_after_answer;
  return ends_after_answer ? std::optional<std::string>(std::string()) : std::nullopt;
}

void ConnectionTable::linger(boost::asio::ip::tcp::socket socket, std::string answer) {
  auto ended = [weak = weak_from_this()](const std::shared_ptr<net::LingeringConnection>& connection) {
    if (const auto table = weak.lock()) {
      table->lingering_.erase(connection);
    }
  };
  const auto connection =
      std::make_shared<net::LingeringConnection>(std::move(socket), std::move(answer), std::move(ended));
  lingering_.insert(connection);
  connection->start();
}

}  // namespace pipitpond::http
