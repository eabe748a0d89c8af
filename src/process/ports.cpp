#include "process/ports.hpp"

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <filesystem>
#include <fstream>
#include <random>

namespace pipitpond::process {
namespace {

constexpr std::uint16_t kFirstPort = 10'240;
/// Where Linux begins to take ports for outgoing connections unless it is told otherwise.
constexpr std::uint16_t kUsualEphemeralStart = 32'768;

/// First port that the kernel gives to outgoing connections.
std::uint16_t ephemeral_start() {
  std::ifstream file("/proc/sys/net/ipv4/ip_local_port_range");
  std::uint32_t first = 0;
  file >> first;
  const bool leaves_room = file && first > 2 * kFirstPort && first <= kUsualEphemeralStart;
  return leaves_room ? static_cast<std::uint16_t>(first) : kUsualEphemeralStart;
}

/// The place in the range of ports from which the next process chooses, shared by all processes of the
/// machine: a port is not given again before all others were. Held until it is destroyed.
class SharedCursor {
 public:
  SharedCursor() {
    const auto path = std::filesystem::temp_directory_path() / "pipitpond-next-port";
    file_ = ::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, kFileMode);
    if (file_ >= 0) {
      ::flock(file_, LOCK_EX);
    }
    if (file_ < 0 || ::pread(file_, &value_, sizeof value_, 0) != sizeof value_) {
      value_ = std::random_device{}();
    }
  }
  ~SharedCursor() {
    if (file_ >= 0) {
      [[maybe_unused]] const auto written = ::pwrite(file_, &value_, sizeof value_, 0);
      ::close(file_);
    }
  }
  SharedCursor(const SharedCursor&) = delete;
  SharedCursor& operator=(const SharedCursor&) = delete;

  std::uint16_t next_port() {
    const std::uint32_t range = ephemeral_start() - kFirstPort;
    return static_cast<std::uint16_t>(kFirstPort + (value_++ % range));
  }

 private:
  static constexpr mode_t kFileMode = 0666;

  int file_ = -1;
  std::uint32_t value_ = 0;
};

}  // namespace

std::vector<std::uint16_t> free_ports(const std::string& address, std::size_t count) {
  using boost::asio::ip::tcp;
  boost::asio::io_context io;
  const auto ip = boost::asio::ip::make_address(address);
  SharedCursor cursor;
  std::vector<tcp::acceptor> held;
  std::vector<std::uint16_t> ports;
  while (ports.size() < count) {
    const std::uint16_t port = cursor.next_port();
    tcp::acceptor acceptor(io, ip.is_v4() ? tcp::v4() : tcp::v6());
    boost::system::error_code taken;
    acceptor.bind(tcp::endpoint(ip, port), taken);
    if (!taken) {
      acceptor.listen(1, taken);
    }
    if (!taken) {
      held.push_back(std::move(acceptor));
      ports.push_back(port);
    }
  }
  return ports;
}

}  // namespace pipitpond::process
