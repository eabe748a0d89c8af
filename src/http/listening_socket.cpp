#include "http/listening_socket.hpp"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace pipitpond::http {

std::size_t waiting_in_queue(int listening_socket) {
  tcp_info info{};
  socklen_t size = sizeof info;
  if (::getsockopt(listening_socket, IPPROTO_TCP, TCP_INFO, &info, &size) != 0) {
    return 0;
  }
  return info.tcpi_unacked;  // For a listening socket: the length of its queue.
}

}  // namespace pipitpond::http
