// Open connections of one HTTP server, by identifier. RESTinio keeps its connections to itself, so the server
// hands it a socket type that registers here; that is how a connection can be closed from outside.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/system/error_code.hpp>
#include <cstddef>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include "http/message.hpp"
#include "http/server.hpp"

namespace pipitpond::http {

class ConnectionTable;
class RejectedConnection;

/// TCP socket that RESTinio reads and writes. Its shutdown and close hide those of the base class.
class TrackedSocket : public boost::asio::ip::tcp::socket {
 public:
  using Base = boost::asio::ip::tcp::socket;

  explicit TrackedSocket(boost::asio::io_context& io) : Base(io) {}
  TrackedSocket(TrackedSocket&&) = default;
  TrackedSocket& operator=(TrackedSocket&&) = delete;
  TrackedSocket(const TrackedSocket&) = delete;
  TrackedSocket& operator=(const TrackedSocket&) = delete;
  ~TrackedSocket();

  /// Registers the socket, which must stay in place from now on.
  void attach(std::shared_ptr<ConnectionTable> table, ConnectionId id);
  /// Called by RESTinio before close. Answers the request first when it was malformed.
  void shutdown(shutdown_type type, boost::system::error_code& error);
  /// Called by RESTinio.
  void close();

 private:
  std::shared_ptr<ConnectionTable> table_;
  ConnectionId id_ = 0;
};

/// The open connections and what is called for them. Outlives the server while a connection still closes.
class ConnectionTable : public std::enable_shared_from_this<ConnectionTable> {
 public:
  ConnectionTable(boost::asio::io_context& io, std::size_t max_connections, ConnectionClosed closed);

  /// True when one more connection may be accepted.
  [[nodiscard]] bool has_room() const;
  [[nodiscard]] std::size_t size() const { return sockets_.size(); }
  [[nodiscard]] std::size_t with_unread_bytes() const;

  void add(ConnectionId id, TrackedSocket& socket);
  /// Forgets a connection that is closed and reports it once. Harmless for an unknown one.
  void remove(ConnectionId id);
  /// Closes the connection at once.
  void close(ConnectionId id);
  /// Closes all connections; nothing is reported any more.
  void shut_down();

  /// Makes the connection that RESTinio closes next be answered with this status first.
  void reject_next(unsigned status) { rejection_status_ = status; }
  /// Status set by reject_next, once.
  std::optional<unsigned> take_rejection();
  /// Answers a malformed request and closes its connection without losing the answer.
  void reject(boost::asio::ip::tcp::socket socket, unsigned status);

 private:
  boost::asio::io_context& io_;
  std::size_t max_connections_;
  ConnectionClosed closed_;
  std::unordered_map<ConnectionId, TrackedSocket*> sockets_;
  std::list<std::weak_ptr<RejectedConnection>> rejected_;
  std::optional<unsigned> rejection_status_;
};

}  // namespace pipitpond::http
