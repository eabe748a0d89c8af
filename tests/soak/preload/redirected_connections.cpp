// Preloaded by the soak into daemons that it starts: a connection to an endpoint that the file of
// SOAK_LINKS_FILE names goes to the endpoint beside it, where a fault proxy listens. One line each: ADDRESS
// PORT ADDRESS PORT.
#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <unistd.h>

#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <optional>
#include <string>

namespace {

sockaddr_in endpoint_of(const std::string& address, std::uint16_t port) {
  sockaddr_in endpoint{};
  endpoint.sin_family = AF_INET;
  endpoint.sin_port = htons(port);
  inet_pton(AF_INET, address.c_str(), &endpoint.sin_addr);
  return endpoint;
}

bool same(const sockaddr_in& left, const sockaddr_in& right) {
  return left.sin_port == right.sin_port && left.sin_addr.s_addr == right.sin_addr.s_addr;
}

/// Where a connection to `wanted` goes instead.
std::optional<sockaddr_in> link_to(const sockaddr_in& wanted) {
  const char* path = std::getenv("SOAK_LINKS_FILE");
  if (path == nullptr) {
    return std::nullopt;
  }
  std::ifstream file(path);
  std::string address;
  std::string link_address;
  std::uint16_t port = 0;
  std::uint16_t link_port = 0;
  while (file >> address >> port >> link_address >> link_port) {
    if (same(wanted, endpoint_of(address, port))) {
      return endpoint_of(link_address, link_port);
    }
  }
  return std::nullopt;
}

}  // namespace

extern "C" int connect(int descriptor, const sockaddr* address, socklen_t length) {
  if (address->sa_family == AF_INET && length >= sizeof(sockaddr_in)) {
    sockaddr_in wanted{};
    std::memcpy(&wanted, address, sizeof wanted);
    if (const auto link = link_to(wanted)) {
      return static_cast<int>(syscall(SYS_connect, descriptor, &*link, sizeof *link));
    }
  }
  return static_cast<int>(syscall(SYS_connect, descriptor, address, length));
}
