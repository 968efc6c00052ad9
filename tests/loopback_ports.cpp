#include "loopback_ports.hpp"
#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <fstream>
#include <list>
#include <optional>
#include <stdexcept>
#include <unistd.h>

namespace spindlecroft::test {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr int first_candidate_port = 10'000; // lower ports belong to well-known services
constexpr int last_port = 65'535;
constexpr int default_ephemeral_first = 32'768;
constexpr int ports_per_block = 16;
constexpr int fewest_blocks = 16;

struct port_range {
    int first = 0;
    int last = 0;
    int blocks() const { return std::max(0, (last - first + 1) / ports_per_block); }
};

// Returns the larger of the two port ranges below and above the kernel's ephemeral range.
port_range stable_ports() {
    port_range ephemeral{default_ephemeral_first, last_port};
    std::ifstream settings("/proc/sys/net/ipv4/ip_local_port_range");
    settings >> ephemeral.first >> ephemeral.last;
    const port_range below{first_candidate_port, ephemeral.first - 1};
    const port_range above{ephemeral.last + 1, last_port};
    const port_range &larger = below.blocks() >= above.blocks() ? below : above;
    if (larger.blocks() < fewest_blocks)
        throw std::runtime_error("too few ports for the tests outside ip_local_port_range");
    return larger;
}

// Returns a socket bound to the port, or nullopt if the port is in use. reuse_address is not set,
// so that two processes can't bind the same port.
std::optional<tcp::acceptor> bind_exclusively(asio::io_context &io, int port) {
    tcp::acceptor acceptor(io, tcp::v4());
    boost::system::error_code error;
    acceptor.bind({asio::ip::address_v4::loopback(), static_cast<std::uint16_t>(port)}, error);
    if (error)
        return std::nullopt;
    return acceptor;
}

// Allocates ports in blocks. A process owns a block while it has the first port of the block bound.
class port_allocator {
  public:
    int next() {
        for (;;) {
            if (next_port_ == block_end_)
                claim_block();
            const int port = next_port_++;
            if (bind_exclusively(io_, port)) // the port is free; the socket is closed at once
                return port;
        }
    }

  private:
    void claim_block() {
        const int blocks = range_.blocks();
        for (int tried = 0; tried < blocks; ++tried) {
            const int first = range_.first + next_block_ * ports_per_block;
            next_block_ = (next_block_ + 1) % blocks;
            auto claim = bind_exclusively(io_, first);
            if (!claim)
                continue;
            claims_.push_back(std::move(*claim));
            next_port_ = first + 1;
            block_end_ = first + ports_per_block;
            return;
        }
        throw std::runtime_error("no block of ports is free for the tests");
    }

    asio::io_context io_;
    std::list<tcp::acceptor> claims_;
    port_range range_ = stable_ports();
    int next_block_ = ::getpid() % range_.blocks(); // processes start at different blocks
    int next_port_ = 0;
    int block_end_ = 0;
};

} // namespace

settings::address free_address() {
    static port_allocator allocator;
    return {"127.0.0.1", static_cast<std::uint16_t>(allocator.next())};
}

} // namespace spindlecroft::test
