#include "net/listening_socket.hpp"

#include <linux/filter.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <cstdint>

#include "logging/logging.hpp"

namespace pipitpond::net {

std::size_t waiting_in_queue(int listening_socket) {
  tcp_info info{};
  socklen_t size = sizeof info;
  if (::getsockopt(listening_socket, IPPROTO_TCP, TCP_INFO, &info, &size) != 0) {
    return 0;
  }
  return info.tcpi_unacked;  // For a listening socket: the length of its queue.
}

bool drop_new_connections(int listening_socket) {
  constexpr std::uint32_t kFlagsOffset = 13;  // In the TCP header, where a socket's filter begins to read.
  constexpr std::uint32_t kSynAndAck = 0x12;
  constexpr std::uint32_t kSyn = 0x02;
  constexpr std::uint32_t kWholePacket = 0xffffffff;
  constexpr std::uint32_t kDropPacket = 0;
  std::array<sock_filter, 5> program{{
      BPF_STMT(BPF_LD | BPF_B | BPF_ABS, kFlagsOffset),
      BPF_STMT(BPF_ALU | BPF_AND | BPF_K, kSynAndAck),
      BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, kSyn, 1, 0),
      BPF_STMT(BPF_RET | BPF_K, kWholePacket),
      BPF_STMT(BPF_RET | BPF_K, kDropPacket),
  }};
  const sock_fprog filter{static_cast<std::uint16_t>(program.size()), program.data()};
  if (::setsockopt(listening_socket, SOL_SOCKET, SO_ATTACH_FILTER, &filter, sizeof filter) != 0) {
    logging::logger("net")->warn(
        "New connections can't be held off (errno {}): the port's end may reset some.", errno);
    return false;
  }
  return true;
}

}  // namespace pipitpond::net
