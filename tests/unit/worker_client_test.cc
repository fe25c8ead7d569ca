#include "boragepaddle/transport/worker_client.h"

#include <doctest/doctest.h>
#include <poll.h>
#include <sys/socket.h>

#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "absl/time/clock.h"
#include "boragepaddle/transport/http_client_connection.h"
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

/// Sends `reply` and then `endless` again and again until the client closes.
struct EndlessWorker {
  std::string reply;
  std::string endless;
  uint64_t bytes = 0;

  WorkerCallEnd Call(absl::Duration timeout) {
    constexpr size_t kBlockBytes = 4096;
    // Well above what the client may keep.
    constexpr uint64_t kMost = 256u << 20;
    const Socket listener(std::move(Listen("127.0.0.1:0").value()));
    std::thread thread([&] {
      const Socket connection(accept(listener.get(), nullptr, nullptr));
      char request[4096];
      recv(connection.get(), request, sizeof(request), 0);
      std::string block = this->reply;
      while (this->endless.size() < kBlockBytes) {
        this->endless += this->endless;
      }
      while (this->bytes < kMost && send(connection.get(), block.data(),
                                         block.size(), MSG_NOSIGNAL) > 0) {
        this->bytes += block.size();
        block = this->endless;
      }
    });
    WorkerClient client(LocalAddress(listener));
    const WorkerAnswer answer = client.Post("/op", {}, "body", timeout);
    thread.join();
    return answer.end;
  }
};

// Guards against a process that runs out of memory: a faulty worker sends bytes
// without end, and they were kept until it stopped.
TEST_CASE("worker client: bytes without end are not kept") {
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  const std::string block(4096, 'x');
  const std::vector<std::pair<std::string, std::string>> cases = {
      {block, block},
      {ok + "X: ", block},
      {ok, "X: y\r\n"},
      {ok + "\r\n", block},
      {ok + "Content-Length: 99999999999\r\n\r\n", block},
      {ok + "Content-Length: 99999999999\r\n\r\nfirst", block},
      {ok + "Transfer-Encoding: chunked\r\n\r\n", "1000\r\n" + block + "\r\n"},
      {ok + "Transfer-Encoding: chunked\r\n\r\n", "0"},
      {ok + "Transfer-Encoding: chunked\r\n\r\n1;", "x"},
      {ok + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X: y\r\n"},
      {"HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 100 Continue\r\n\r\n"},
  };
  for (const auto& answer : cases) {
    EndlessWorker worker;
    worker.reply = answer.first;
    worker.endless = answer.second;
    CAPTURE(answer.first.substr(0, 80));
    CHECK(worker.Call(absl::Seconds(5)) == WorkerCallEnd::kBroken);
    // The socket buffers come on top.
    CHECK(worker.bytes < 24u << 20);
  }
}

// Guards against a process that runs out of memory when the worker sends many
// large answers slowly at once.
TEST_CASE("worker client: incomplete answers together are bounded") {
  constexpr uint64_t kBytes = 700u << 10;
  ResponseMemory memory(1u << 20);
  const Socket listener(std::move(Listen("127.0.0.1:0").value()));
  std::vector<Socket> connections;
  const auto call = [&](HttpFailure& failure) {
    HttpClientConnection connection(LocalAddress(listener), {}, memory);
    failure = connection.Post("/op", {}, "", 3 * kTimeout).failure;
  };
  const auto send_part = [&] {
    connections.emplace_back(accept(listener.get(), nullptr, nullptr));
    const std::string part =
        "HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n" +
        std::string(kBytes, 'x');
    send(connections.back().get(), part.data(), part.size(), MSG_NOSIGNAL);
  };
  HttpFailure first = HttpFailure::kNone;
  HttpFailure second = HttpFailure::kNone;
  std::thread first_client([&] { call(first); });
  send_part();
  absl::SleepFor(kTimeout / 2);
  std::thread second_client([&] { call(second); });
  send_part();
  second_client.join();
  first_client.join();
  CHECK(first == HttpFailure::kTimeout);
  CHECK(second == HttpFailure::kNoMemory);
  // Both have given their memory back.
  uint64_t held = 0;
  CHECK(memory.Resize(held, 1u << 20));
}

// Guards against a thread that a faulty worker keeps for as long as it wants:
// the timeout held for each read, not for the whole answer.
TEST_CASE("worker client: an answer that never ends is a timeout") {
  const Socket listener(std::move(Listen("127.0.0.1:0").value()));
  std::thread thread([&] {
    const Socket connection(accept(listener.get(), nullptr, nullptr));
    char request[4096];
    recv(connection.get(), request, sizeof(request), 0);
    const std::string head = "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n";
    send(connection.get(), head.data(), head.size(), MSG_NOSIGNAL);
    for (int i = 0; i < 40 && send(connection.get(), "x", 1, MSG_NOSIGNAL) == 1;
         ++i) {
      absl::SleepFor(kTimeout / 4);
    }
  });
  WorkerClient client(LocalAddress(listener));
  const absl::Time start = absl::Now();
  CHECK(client.Post("/op", {}, "body", kTimeout).end ==
        WorkerCallEnd::kTimeout);
  CHECK(absl::Now() - start < 5 * kTimeout);
  thread.join();
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
