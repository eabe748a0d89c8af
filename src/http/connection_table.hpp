// Open connections of one HTTP server, by identifier. RESTinio keeps its connections to itself, so the server
// hands it a socket type that registers here; that is how a connection can be ended from outside.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/system/error_code.hpp>
#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>

#include "http/message.hpp"
#include "http/server.hpp"
#include "net/lingering_connection.hpp"

namespace pipitpond::http {

class ConnectionTable;

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
  /// Called by RESTinio before close. The client's end is waited for when the server ends the connection by
  /// its answer, or by its refusal of a malformed request.
  void shutdown(shutdown_type type, boost::system::error_code& error);
  /// Called by RESTinio.
  void close();
  /// The plain socket, with nothing being read or written on it any more. RESTinio finds this one closed.
  Base release();

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
  [[nodiscard]] std::size_t size() const { return connections_.size(); }
  [[nodiscard]] std::size_t with_unread_bytes() const;
  /// Connections whose client's end is waited for.
  [[nodiscard]] std::size_t lingering() const { return lingering_.size(); }

  void add(ConnectionId id, TrackedSocket& socket);
  /// Forgets a connection that is closed and reports it once. Harmless for an unknown one.
  void remove(ConnectionId id);
  /// Closes the connection at once.
  void close(ConnectionId id);
  /// Closes all connections; nothing is reported any more.
  void shut_down();

  /// A whole request was read. False when the connection has been ended meanwhile: its client was told that
  /// no request was read, so it must not run.
  [[nodiscard]] bool begin_request(ConnectionId id);
  /// The request's answer has been written, or never will be.
  void end_request(ConnectionId id);
  /// The answer that is written now is the connection's last one.
  void end_after_answer(ConnectionId id);
  /// From now on each answer is the last one of its connection.
  void close_after_answers() { closes_after_answers_ = true; }
  [[nodiscard]] bool closes_after_answers() const { return closes_after_answers_; }
  /// Ends the connections that have no request in progress and none that waits to be read. A client whose
  /// request is on its way reads `answer`, unless it is empty.
  void end_idle(const std::string& answer);

  /// Makes the connection that RESTinio closes next be answered with this status first.
  void reject_next(unsigned status) { rejection_status_ = status; }
  /// Status set by reject_next, once.
  std::optional<unsigned> take_rejection();
  /// What is still to be written on a connection that RESTinio closes, maybe nothing; empty when the
  /// connection is to be closed at once.
  std::optional<std::string> last_words(ConnectionId id);
  /// Writes the answer, ends the stream and waits for the client's end for a while.
  void linger(boost::asio::ip::tcp::socket socket, std::string answer);

 private:
  struct Connection {
    TrackedSocket* socket = nullptr;
    bool busy = false;  ///< A request was read and its answer has not been written.
    bool ends_after_answer = false;

    [[nodiscard]] bool has_unread_bytes() const;
  };

  boost::asio::io_context& io_;
  std::size_t max_connections_;
  ConnectionClosed closed_;
  std::unordered_map<ConnectionId, Connection> connections_;
  std::unordered_set<std::shared_ptr<net::LingeringConnection>> lingering_;
  std::optional<unsigned> rejection_status_;
  bool closes_after_answers_ = false;
};

}  // namespace pipitpond::http
