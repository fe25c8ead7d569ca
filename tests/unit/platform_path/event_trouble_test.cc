// Trouble of the process itself: no descriptors, handlers that fail.

#include <doctest/doctest.h>
#include <fcntl.h>
#include <sys/resource.h>
#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <stdexcept>
#include <string>

#include "boragepaddle/event/accept_loop.h"
#include "boragepaddle/event/run_event_loop.h"

namespace boragepaddle::event {
namespace {

/// Leaves the process no free descriptor while it lives.
class NoDescriptors {
 public:
  NoDescriptors() {
    getrlimit(RLIMIT_NOFILE, &this->before);
    // The lowest free number is the first that may not be used.
    const int next = dup(0);
    close(next);
    rlimit lower = this->before;
    lower.rlim_cur = static_cast<rlim_t>(next);
    setrlimit(RLIMIT_NOFILE, &lower);
  }
  ~NoDescriptors() { setrlimit(RLIMIT_NOFILE, &this->before); }

 private:
  rlimit before{};
};

TEST_CASE("Without descriptors a listener waits, and goes on afterwards") {
  // Guards against a listener that keeps the processor busy.
  boost::asio::io_context loop{1};
  int accepted = 0;
  AcceptLoop listener(loop, [&](Tcp::socket) { ++accepted; });
  REQUIRE_FALSE(listener.Listen(
      Tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0), 16));
  Tcp::socket client(loop);
  client.connect(listener.endpoint());
  {
    const NoDescriptors none;
    loop.run_for(std::chrono::milliseconds(200));
    CHECK(accepted == 0);
    CHECK(listener.failures() >= 1);
    CHECK(listener.failures() <= 20);
  }
  loop.restart();
  loop.run_for(std::chrono::milliseconds(100));
  CHECK(accepted == 1);
}

TEST_CASE("A handler that throws does not end the loop") {
  boost::asio::io_context loop{1};
  int handled = 0;
  std::string told;
  boost::asio::post(loop, [] { throw std::length_error("too long"); });
  boost::asio::post(loop, [&] { ++handled; });
  RunEventLoop(loop, [&](absl::string_view what) { told = std::string(what); });
  CHECK(handled == 1);
  CHECK(told == "too long");
}

}  // namespace
}  // namespace boragepaddle::event
