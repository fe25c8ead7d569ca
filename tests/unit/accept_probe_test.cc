#include "boragepaddle/event/accept_probe.h"

#include <doctest/doctest.h>
#include <sys/resource.h>

#include <boost/asio/ip/tcp.hpp>
#include <vector>

namespace boragepaddle::event {
namespace {

std::vector<ProbeResult> RunProbe(boost::asio::io_context& loop,
                                  const Tcp::endpoint& endpoint) {
  std::vector<ProbeResult> results;
  ProbeAccept(loop, endpoint, ProbeSettings(),
              [&](ProbeResult result) { results.push_back(result); });
  CHECK(results.empty());
  loop.restart();
  loop.run();
  return results;
}

/// Makes each new descriptor of the process fail while it exists.
class DescriptorShortage {
 public:
  DescriptorShortage() {
    getrlimit(RLIMIT_NOFILE, &this->previous);
    rlimit none = this->previous;
    none.rlim_cur = 0;
    setrlimit(RLIMIT_NOFILE, &none);
  }
  ~DescriptorShortage() { setrlimit(RLIMIT_NOFILE, &this->previous); }

 private:
  rlimit previous = {};
};

// Guards against a lost answer that counts as a crash while the worker accepts
// connections, or while the node itself has no descriptor left.
TEST_CASE("accept probe: tells a refusal from a shortage of this process") {
  boost::asio::io_context loop;
  Tcp::acceptor listener(
      loop, Tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
  const Tcp::endpoint endpoint = listener.local_endpoint();
  CHECK(RunProbe(loop, endpoint) ==
        std::vector<ProbeResult>{ProbeResult::kAccepted});
  {
    const DescriptorShortage shortage;
    CHECK(RunProbe(loop, endpoint) ==
          std::vector<ProbeResult>{ProbeResult::kUnknown});
  }
  listener.close();
  CHECK(RunProbe(loop, endpoint) ==
        std::vector<ProbeResult>{ProbeResult::kNotAccepted});
}

// Guards against a crash that goes unnoticed because something else listens at
// the address of the worker.
TEST_CASE("accept probe: an endpoint that closes connections does not serve") {
  boost::asio::io_context loop;
  Tcp::acceptor listener(
      loop, Tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
  listener.async_accept(
      [](const boost::system::error_code& error, Tcp::socket socket) {
        CHECK_FALSE(error);
        socket.close();
      });
  CHECK(RunProbe(loop, listener.local_endpoint()) ==
        std::vector<ProbeResult>{ProbeResult::kClosed});
}

}  // namespace
}  // namespace boragepaddle::event
