#include "boragepaddle/transport/worker_client.h"

#include <doctest/doctest.h>
#include <poll.h>
#include <sys/socket.h>

#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "absl/time/clock.h"
#include "boragepaddle/transport/socket.h"
#include "tests/unit/invalid_heads.h"

namespace boragepaddle::transport {
namespace {

using node::WorkerAnswer;
using node::WorkerCallEnd;

constexpr absl::Duration kTimeout = absl::Milliseconds(200);

/// Accepts one connection, sends `reply` after the request has arrived, and
/// closes at once or after the client's timeout.
class ScriptedWorker {
 public:
  ScriptedWorker(std::string reply, bool close_at_once)
      : listener(std::move(Listen("127.0.0.1:0").value())),
        reply(std::move(reply)),
        close_at_once(close_at_once) {
    this->thread = std::thread([this] { this->Serve(); });
  }
  ~ScriptedWorker() { this->thread.join(); }

  std::string address() const { return LocalAddress(this->listener); }

 private:
  void Serve() {
    const Socket connection(accept(this->listener.get(), nullptr, nullptr));
    char request[4096];
    recv(connection.get(), request, sizeof(request), 0);
    send(connection.get(), this->reply.data(), this->reply.size(),
         MSG_NOSIGNAL);
    if (!this->close_at_once) {
      absl::SleepFor(2 * kTimeout);
    }
  }

  Socket listener;
  std::string reply;
  bool close_at_once;
  std::thread thread;
};

WorkerAnswer CallScripted(const std::string& reply, bool close_at_once) {
  ScriptedWorker worker(reply, close_at_once);
  WorkerClient client(worker.address());
  return client.Post("/op", {}, "body", kTimeout);
}

TEST_CASE("worker client: a response with a complete body is accepted") {
  const WorkerAnswer answer =
      CallScripted("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole", true);
  CHECK(answer.end == WorkerCallEnd::kAnswered);
  CHECK(answer.body == "whole");
}

// Guards against a truncated response that is passed on as a complete one.
TEST_CASE("worker client: a truncated body is no answer") {
  CHECK(CallScripted("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", true)
            .end == WorkerCallEnd::kBroken);
  CHECK(CallScripted("HTTP/1.1 200 OK\r\n\r\nno length", true).end ==
        WorkerCallEnd::kBroken);
  CHECK(CallScripted("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                     "9\r\nhalf",
                     true)
            .end == WorkerCallEnd::kBroken);
}

// Guards against a head that ends early and is passed on with an empty body.
TEST_CASE("worker client: a response that ends in its head is no answer") {
  for (const std::string framing :
       {"Content-Length: 5\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n",
        "\r\n"}) {
    const std::string head = "HTTP/1.1 200 OK\r\nX: y\r\n" + framing;
    for (size_t cut = 0; cut < head.size(); ++cut) {
      CAPTURE(head.substr(0, cut));
      CHECK(CallScripted(head.substr(0, cut), true).end ==
            WorkerCallEnd::kBroken);
    }
  }
}

// Guards against a caller that gets a status that HTTP does not have.
TEST_CASE("worker client: a response with an invalid status is no answer") {
  for (const std::string& status : InvalidStatuses()) {
    CAPTURE(status);
    CHECK(CallScripted(
              "HTTP/1.1 " + status + " X\r\nContent-Length: 1\r\n\r\nb", true)
              .end == WorkerCallEnd::kBroken);
  }
}

// Guards against a body whose length was stated in a line that is no field.
TEST_CASE("worker client: a response with an invalid field name is no answer") {
  for (const std::string& line : InvalidFieldLines()) {
    CAPTURE(line);
    CHECK(CallScripted(
              "HTTP/1.1 200 OK\r\n" + line + "\r\nContent-Length: 1\r\n\r\nb",
              true)
              .end == WorkerCallEnd::kBroken);
  }
}

// Guards against a caller that gets the answer to an earlier request: the
// worker sends a second copy of it on a connection that is kept.
TEST_CASE("worker client: a second copy of an answer is not the next answer") {
  const Socket listener(std::move(Listen("127.0.0.1:0").value()));
  const auto respond = [](const std::string& body) {
    return "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n" + body;
  };
  std::thread worker([&] {
    std::vector<Socket> connections;
    for (const std::string& reply :
         {respond("1") + respond("1"), respond("2")}) {
      // Also after the first request if the client opens another connection.
      pollfd wait = {listener.get(), POLLIN, 0};
      if (connections.empty() || poll(&wait, 1, /*timeout=*/300) > 0) {
        connections.emplace_back(accept(listener.get(), nullptr, nullptr));
      }
      char request[4096];
      recv(connections.back().get(), request, sizeof(request), 0);
      send(connections.back().get(), reply.data(), reply.size(), MSG_NOSIGNAL);
    }
    absl::SleepFor(absl::Milliseconds(50));
  });
  WorkerClient client(LocalAddress(listener));
  CHECK(client.Post("/op", {}, "body", absl::Seconds(2)).body == "1");
  absl::SleepFor(absl::Milliseconds(50));
  CHECK(client.Post("/op", {}, "body", absl::Seconds(2)).body == "2");
  worker.join();
}

// Guards against a timeout that is counted as a crash of the worker.
TEST_CASE("worker client: a worker that does not respond is a timeout") {
  for (int i = 0; i < 5; ++i) {
    CHECK(CallScripted("", false).end == WorkerCallEnd::kTimeout);
  }
}

TEST_CASE("worker client: a refused connection was not sent") {
  std::string address;
  {
    const auto listener = Listen("127.0.0.1:0");
    address = LocalAddress(listener.value());
  }
  WorkerClient client(address);
  CHECK(client.Post("/op", {}, "", kTimeout).end == WorkerCallEnd::kNotSent);
}

}  // namespace
}  // namespace boragepaddle::transport
