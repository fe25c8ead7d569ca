// Workers in trouble, as the platform's pages describe them.

#include <doctest/doctest.h>

#include "boragepaddle/event/http_get_client.h"
#include "tests/unit/platform_path/scripted_worker.h"

namespace boragepaddle::event {
namespace {

constexpr uint64_t kMegabyte = 1u << 20;

constexpr char kRefusedWithoutId[] =
    "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";

// Guards against "not run" for a request that runs: a refusal without an id
// fits any request.
TEST_CASE("A late second refusal without an id reaches no other request") {
  ScriptedWorker worker;
  worker.scripts = {kRefusedWithoutId,
                    std::string(kRefusedWithoutId) +
                        "HTTP/1.1 200 OK\r\nId: r1\r\nContent-Length: 2\r\n"
                        "\r\nok"};
  const auto results = worker.Run(2);
  CHECK(results[0].outcome == WorkerOutcome::kNotRun);
  // Its connection is not used again, so nothing can come late on it.
  CHECK(worker.connections == 2);
}

TEST_CASE("Refusals that name their request leave the connection in use") {
  ScriptedWorker worker;
  worker.scripts = {
      "HTTP/1.1 503 Busy\r\nId: r0\r\nNot-Run: 1\r\n"
      "Content-Length: 0\r\n\r\n",
      "HTTP/1.1 200 OK\r\nId: r1\r\nContent-Length: 0\r\n\r\n"};
  const auto results = worker.Run(2);
  CHECK(results[0].outcome == WorkerOutcome::kNotRun);
  CHECK(results[1].outcome == WorkerOutcome::kAnswered);
  CHECK(worker.connections == 1);
}

TEST_CASE("A body without end is given up before it fills the memory") {
  for (const char* head :
       {"HTTP/1.1 200 OK\r\nId: r0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nId: r0\r\nContent-Length: 99999999999\r\n\r\n"}) {
    ScriptedWorker worker;
    worker.max_held = kMegabyte;
    worker.scripts = {head};
    worker.endless = std::string(4096, 'x');
    const auto results = worker.Run(1);
    CHECK(results[0].outcome == WorkerOutcome::kInvalidResponse);
    // What the sockets hold comes on top.
    CHECK(worker.endless_bytes < 16 * kMegabyte);
  }
}

// Guards against an exception that ends the process: with the first bytes of
// the body in the same packet, the length passed by the limit of the parser.
TEST_CASE("An impossible length with a first part of the body is no answer") {
  const std::string text =
      "HTTP/1.1 200 OK\r\nId: r0\r\nContent-Length: 99999999999\r\n\r\nfirst";
  ScriptedWorker worker;
  worker.scripts = {text};
  const auto results = worker.Run(1);
  REQUIRE(results.size() == 1);
  CHECK(results[0].outcome == WorkerOutcome::kInvalidResponse);

  ScriptedWorker store;
  store.scripts = {text};
  std::thread serving([&] { store.Serve(); });
  HttpGetClient get(store.loop, store.acceptor.local_endpoint());
  uint32_t status = 1;
  get.Get("/", absl::Seconds(5),
          [&](const HttpGetResult& result) { status = result.status; });
  CHECK_NOTHROW(store.loop.run());
  serving.join();
  CHECK(status == 0);
}

TEST_CASE("A head without end is given up") {
  ScriptedWorker worker;
  worker.max_held = kMegabyte;
  worker.scripts = {"HTTP/1.1 200 OK\r\nId: r0\r\n"};
  worker.endless = "X-More: " + std::string(100, 'x') + "\r\n";
  const auto results = worker.Run(1);
  CHECK(results[0].outcome == WorkerOutcome::kInvalidResponse);
  CHECK(worker.endless_bytes < 16 * kMegabyte);
}

TEST_CASE("Interim answers without end are given up") {
  ScriptedWorker worker;
  worker.scripts = {"HTTP/1.1 102 Processing\r\n\r\n"};
  worker.endless = "HTTP/1.1 102 Processing\r\n\r\n";
  const auto results = worker.Run(1);
  CHECK(results[0].outcome == WorkerOutcome::kInvalidResponse);
  CHECK(worker.endless_bytes < 16 * kMegabyte);
}

TEST_CASE("Chunks without end are given up") {
  ScriptedWorker worker;
  worker.max_held = kMegabyte;
  worker.scripts = {
      "HTTP/1.1 200 OK\r\nId: r0\r\nTransfer-Encoding: chunked\r\n\r\n"};
  worker.endless = "400\r\n" + std::string(1024, 'x') + "\r\n";
  const auto results = worker.Run(1);
  CHECK(results[0].outcome == WorkerOutcome::kInvalidResponse);
  CHECK(worker.endless_bytes < 16 * kMegabyte);
}

}  // namespace
}  // namespace boragepaddle::event
