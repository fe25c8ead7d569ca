#include <doctest/doctest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "absl/strings/match.h"
#include "boragepaddle/event/clock.h"
#include "boragepaddle/event/http_server.h"
#include "boragepaddle/event/worker_connection_pool.h"
#include "tests/unit/platform_path/scripted_worker.h"

namespace boragepaddle::event {
namespace {

/// A server that echoes the request's body, and a blocking client.
struct EchoServer {
  boost::asio::io_context loop{1};
  std::vector<HttpRequest> requests;
  int abandoned = 0;
  bool answer = true;
  /// Size of the body of each reply; 0 to echo the request's.
  size_t reply_bytes = 0;
  HttpServer server{loop,
                    [this](const std::shared_ptr<HttpExchange>& exchange) {
                      this->Handle(exchange);
                    }};

  EchoServer() {
    HttpServerLimits limits;
    limits.max_header_bytes = 1000;
    limits.max_body_bytes = 100;
    this->server.SetLimits(limits);
    REQUIRE_FALSE(this->server.Listen(kLoopback));
  }

  void Handle(const std::shared_ptr<HttpExchange>& exchange) {
    this->requests.push_back(exchange->request());
    if (!this->answer) {
      exchange->SetOnClientDisconnect([this] { ++this->abandoned; });
      return;
    }
    HttpReply reply;
    reply.status = 200;
    reply.body = this->reply_bytes > 0 ? std::string(this->reply_bytes, 'x')
                                       : exchange->request().body;
    exchange->Reply(std::move(reply));
  }

  /// Sends the text, shuts down the sending side and returns all that is
  /// received until the server closes the connection.
  std::string Talk(const std::string& text) {
    std::string received;
    std::thread client([&] {
      boost::asio::io_context own;
      Tcp::socket socket(own);
      socket.connect(this->server.endpoint());
      boost::system::error_code error;
      boost::asio::write(socket, boost::asio::buffer(text), error);
      socket.shutdown(Tcp::socket::shutdown_send, error);
      boost::asio::read(socket, boost::asio::dynamic_buffer(received), error);
    });
    const auto work = boost::asio::make_work_guard(this->loop);
    std::thread waiter([&] {
      client.join();
      this->loop.stop();
    });
    this->loop.run();
    waiter.join();
    this->loop.restart();
    return received;
  }
};

TEST_CASE("Malformed requests and request smuggling are rejected") {
  const std::string post = "POST /a HTTP/1.1\r\nHost: h\r\n";
  const std::string length = "Content-Length: 3\r\n";
  const std::string chunked = "Transfer-Encoding: chunked\r\n";
  const std::vector<std::string> bad = {
      post + length + "Content-Length: 4\r\n\r\nabcd",
      post + length + chunked + "\r\n0\r\n\r\n",
      post + chunked + "\r\nzz\r\nab\r\n0\r\n\r\n",
      post + "Content-Length: -1\r\n\r\n",
      "GET /a HTTP/1.1\r\nHost: h\r\nX: a\x01z\r\n\r\n",
      "GET /a HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n",
      "GET /a HTTP/1.1\r\n\r\n",
      "GET a HTTP/1.1\r\nHost: h\r\n\r\n",
      "GET /a b HTTP/1.1\r\nHost: h\r\n\r\n"};
  for (const std::string& text : bad) {
    EchoServer echo;
    const std::string reply = echo.Talk(text);
    CAPTURE(text);
    CHECK(absl::StartsWith(reply, "HTTP/1.1 400"));
    CHECK(echo.requests.empty());
  }
}

TEST_CASE("Requests beyond the limits get the matching error status") {
  EchoServer echo;
  CHECK(absl::StartsWith(echo.Talk("GET /a HTTP/1.1\r\nHost: h\r\nX: " +
                                   std::string(2000, 'x') + "\r\n\r\n"),
                         "HTTP/1.1 431"));
  CHECK(absl::StartsWith(
      echo.Talk("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 101\r\n\r\n" +
                std::string(101, 'x')),
      "HTTP/1.1 413"));
  CHECK(echo.requests.empty());
}

TEST_CASE("Requests on one connection are answered in order") {
  EchoServer echo;
  const std::string reply = echo.Talk(
      "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\none"
      "POST /b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
      "3\r\ntwo\r\n0\r\n\r\n");
  REQUIRE(echo.requests.size() == 2);
  CHECK(echo.requests[1].body == "two");
  CHECK(reply.find("one") < reply.find("two"));
}

TEST_CASE("Hop-by-hop header fields are not forwarded") {
  EchoServer echo;
  echo.Talk(
      "GET /a HTTP/1.1\r\nHost: h\r\nConnection: close, X-Own\r\n"
      "X-Own: 1\r\nKeep-Alive: 5\r\nX-Kept: 2\r\n\r\n");
  REQUIRE(echo.requests.size() == 1);
  REQUIRE(echo.requests[0].fields.size() == 1);
  CHECK(echo.requests[0].fields[0].name == "X-Kept");
}

TEST_CASE("A client that disconnects before its response is detected") {
  EchoServer echo;
  echo.answer = false;
  echo.Talk("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
  CHECK(echo.requests.size() == 1);
  CHECK(echo.abandoned == 1);
}

constexpr char kWhole[] =
    "HTTP/1.1 200 OK\r\nId: r0\r\nContent-Length: 2\r\n\r\nok";

// Guards against answers that are cut off because their client does not read
// for a while: the receive window was closed for longer than TCP_USER_TIMEOUT.
TEST_CASE("A client that reads late or slowly gets its whole answer") {
  constexpr size_t kBytes = 8u << 20;
  constexpr size_t kPartBytes = 64u << 10;
  EchoServer server;
  server.reply_bytes = kBytes;
  HttpServerLimits limits = server.server.limits();
  limits.idle_timeout = absl::Seconds(2);
  server.server.SetLimits(limits);
  size_t received = 0;
  std::thread client([&] {
    boost::asio::io_context own;
    Tcp::socket socket(own);
    socket.open(Tcp::v4());
    socket.set_option(boost::asio::socket_base::receive_buffer_size(4096));
    socket.connect(server.server.endpoint());
    boost::asio::write(
        socket,
        boost::asio::buffer(std::string(
            "GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")));
    // Reads a part every 0.7 s at first: longer in all than the idle timeout.
    std::vector<char> part(kPartBytes);
    boost::system::error_code error;
    for (int round = 0; !error; ++round) {
      if (round < 8) {
        std::this_thread::sleep_for(std::chrono::milliseconds(700));
      }
      received += socket.read_some(boost::asio::buffer(part), error);
    }
  });
  const auto work = boost::asio::make_work_guard(server.loop);
  std::thread waiter([&] {
    client.join();
    server.loop.stop();
  });
  while (!server.loop.stopped()) {
    server.loop.run_for(std::chrono::milliseconds(100));
    server.server.Tick(BootNow());
  }
  waiter.join();
  CHECK(received > kBytes);
}

TEST_CASE("The connection is reused after a complete response") {
  ScriptedWorker worker;
  worker.scripts = {kWhole,
                    "HTTP/1.1 200 OK\r\nId: r1\r\nContent-Length: 0\r\n\r\n"};
  const auto results = worker.Run(2);
  CHECK(results[0].outcome == WorkerOutcome::kAnswered);
  CHECK(results[0].body == "ok");
  CHECK(results[1].outcome == WorkerOutcome::kAnswered);
  CHECK(worker.connections == 1);
}

TEST_CASE("Excess bytes after a complete response close the connection") {
  ScriptedWorker worker;
  worker.scripts = {std::string(kWhole) + kWhole,
                    "HTTP/1.1 200 OK\r\nId: r1\r\nContent-Length: 0\r\n\r\n"};
  const auto results = worker.Run(2);
  CHECK(results[0].body == "ok");
  CHECK(results[1].outcome == WorkerOutcome::kAnswered);
  CHECK(results[1].body.empty());
  CHECK(worker.connections == 2);
}

TEST_CASE("A late duplicate response to an earlier request is skipped") {
  ScriptedWorker worker;
  worker.scripts = {kWhole,
                    std::string(kWhole) +
                        "HTTP/1.1 200 OK\r\nId: r1\r\nContent-Length: 3\r\n"
                        "\r\nown"};
  const auto results = worker.Run(2);
  CHECK(results[1].outcome == WorkerOutcome::kAnswered);
  CHECK(results[1].body == "own");
}

// Guards against a client that never gets an answer: a status of 0 was taken
// for a client that has left.
TEST_CASE("A response without a final status is rejected") {
  for (const char* status : {"000", "001", "099"}) {
    ScriptedWorker worker;
    worker.scripts = {std::string("HTTP/1.1 ") + status +
                      " Odd\r\nId: r0\r\nContent-Length: 0\r\n\r\nclose"};
    const auto results = worker.Run(1);
    CHECK(results[0].outcome == WorkerOutcome::kInvalidResponse);
  }
}

TEST_CASE("Truncated, mismatched and encoded responses are rejected") {
  const std::vector<std::pair<std::string, WorkerOutcome>> cases = {
      {"HTTP/1.1 200 OK\r\nId: r0\r\nContent-Length: 9\r\n"
       "Connection: close\r\n\r\nok",
       WorkerOutcome::kConnectionLost},
      {"HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 2\r\n\r\nok",
       WorkerOutcome::kInvalidResponse},
      {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
       WorkerOutcome::kInvalidResponse},
      {"HTTP/1.1 200 OK\r\nId: r0\r\nContent-Encoding: gzip\r\n"
       "Content-Length: 2\r\n\r\nok",
       WorkerOutcome::kInvalidResponse},
      {"no answer at all\r\n\r\n", WorkerOutcome::kInvalidResponse},
      {"HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
       WorkerOutcome::kNotRun},
      {"HTTP/1.1 200 OK\r\nId: r0\r\nConnection: close\r\n\r\nto the end",
       WorkerOutcome::kAnswered}};
  for (const auto& answer : cases) {
    ScriptedWorker worker;
    worker.scripts = {answer.first};
    CAPTURE(answer.first);
    CHECK(worker.Run(1)[0].outcome == answer.second);
  }
}

}  // namespace
}  // namespace boragepaddle::event
