#ifndef BORAGEPADDLE_TESTS_UNIT_PLATFORM_PATH_SCRIPTED_WORKER_H_
#define BORAGEPADDLE_TESTS_UNIT_PLATFORM_PATH_SCRIPTED_WORKER_H_

#include <doctest/doctest.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "absl/strings/match.h"
#include "boragepaddle/event/worker_connection_pool.h"

namespace boragepaddle::event {

inline const Tcp::endpoint kLoopback(boost::asio::ip::address_v4::loopback(),
                                     0);

/// A worker that writes scripted bytes after each request.
struct ScriptedWorker {
  boost::asio::io_context loop{1};
  Tcp::acceptor acceptor{loop, kLoopback};
  std::vector<std::string> scripts;
  /// Written before the script of the same index if its connection was used
  /// before; shorter lists are filled with nothing.
  std::vector<std::string> copies;
  /// Written repeatedly after the last script until the pool closes the
  /// connection.
  std::string endless;
  uint64_t endless_bytes = 0;
  /// Limit on the bytes of incomplete responses in the pool.
  uint64_t max_held = 64u << 20;
  /// Outlives the results, which hold reservations.
  MemoryBudget memory{256u << 20};
  int connections = 0;
  /// All requests have the same id.
  bool same_id = false;
  /// Body of all requests.
  std::string request_body;
  /// Closes the connection after each script.
  bool closes = false;
  /// Resets the connection this long after each script, without having read the
  /// body of the request; negative for never.
  std::chrono::milliseconds resets_after{-1};
  /// Ends its side of the connection after each script, then reads the body of
  /// the request.
  bool reads_late = false;
  /// Scripts are written in two parts, the first of this size.
  size_t first_part = 0;

  /// Sends `count` requests through a pool, one after the other.
  std::vector<WorkerResult> Run(size_t count) {
    std::thread worker([this] { this->Serve(); });
    std::vector<WorkerResult> results;
    WorkerConnectionPool pool(this->loop, {"Id", "Not-Run"}, this->memory);
    pool.SetWorker(this->acceptor.local_endpoint());
    pool.SetMaxBufferedBytes(this->max_held);
    std::function<void()> next = [&] {
      if (results.size() == count) {
        this->loop.stop();
        return;
      }
      WorkerRequest request;
      request.request_id =
          "r" + std::to_string(this->same_id ? 0 : results.size());
      request.method = "GET";
      request.target = "/";
      request.host = "h";
      request.body = this->request_body;
      pool.Send(results.size() + 1, request, [&](WorkerResult result) {
        results.push_back(std::move(result));
        next();
      });
    };
    next();
    const auto work = boost::asio::make_work_guard(this->loop);
    CHECK_NOTHROW(this->loop.run());
    worker.join();
    return results;
  }

  void WriteOn(Tcp::socket& socket, size_t script) {
    // Well above what any test lets the pool buffer.
    constexpr uint64_t kMost = 256u << 20;
    boost::system::error_code error;
    while (script == this->scripts.size() && !this->endless.empty() && !error &&
           this->endless_bytes < kMost) {
      this->endless_bytes +=
          boost::asio::write(socket, boost::asio::buffer(this->endless), error);
    }
  }

  /// Waits for the next request; true if another connection was opened instead.
  static bool IsNewConnectionFirst(Tcp::socket& socket,
                                   Tcp::acceptor& listener) {
    std::array<pollfd, 2> waits = {pollfd{socket.native_handle(), POLLIN, 0},
                                   pollfd{listener.native_handle(), POLLIN, 0}};
    poll(waits.data(), waits.size(), /*timeout=*/-1);
    return waits[0].revents == 0;
  }

  void Serve() {
    boost::asio::io_context own;
    Tcp::acceptor listener(own, Tcp::v4(), dup(this->acceptor.native_handle()));
    size_t script = 0;
    // Connections that the pool has left open for another one.
    std::vector<Tcp::socket> unused;
    while (script < this->scripts.size()) {
      Tcp::socket socket = listener.accept();
      ++this->connections;
      bool is_reused = false;
      while (script < this->scripts.size()) {
        if (IsNewConnectionFirst(socket, listener)) {
          unused.push_back(std::move(socket));
          break;
        }
        char byte = 0;
        std::string head;
        boost::system::error_code error;
        while (!absl::EndsWith(head, "\r\n\r\n") &&
               boost::asio::read(socket, boost::asio::buffer(&byte, 1),
                                 error) == 1) {
          head.push_back(byte);
        }
        if (error) {
          break;
        }
        if (is_reused && script < this->copies.size()) {
          boost::asio::write(socket, boost::asio::buffer(this->copies[script]),
                             error);
        }
        is_reused = true;
        const std::string& text = this->scripts[script++];
        const size_t first = std::min(this->first_part, text.size());
        if (first > 0) {
          boost::asio::write(socket, boost::asio::buffer(text, first), error);
          std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
        boost::asio::write(
            socket,
            boost::asio::buffer(text.data() + first, text.size() - first),
            error);
        this->WriteOn(socket, script);
        if (this->resets_after.count() >= 0) {
          std::this_thread::sleep_for(this->resets_after);
          socket.set_option(boost::asio::socket_base::linger(true, 0));
          break;
        }
        if (this->reads_late) {
          socket.shutdown(Tcp::socket::shutdown_send);
          std::vector<char> body(this->request_body.size());
          boost::asio::read(socket, boost::asio::buffer(body), error);
        }
        if (this->closes || absl::StrContains(text, "close")) {
          break;
        }
      }
    }
  }
};

}  // namespace boragepaddle::event

#endif  // BORAGEPADDLE_TESTS_UNIT_PLATFORM_PATH_SCRIPTED_WORKER_H_
