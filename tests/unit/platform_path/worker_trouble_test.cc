// Worker failures that the documentation of the platform describes.

#include <doctest/doctest.h>

#include <cstring>

#include "boragepaddle/event/http_get_client.h"
#include "tests/unit/invalid_heads.h"
#include "tests/unit/platform_path/scripted_worker.h"

namespace boragepaddle::event {
namespace {

constexpr uint64_t kMegabyte = 1u << 20;

constexpr char kRefusedWithoutId[] =
    "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";

// Guards against "not run" for a request that runs: a refusal without a request
// id matches any request.
TEST_CASE("A late duplicate refusal without an id matches no other request") {
  ScriptedWorker worker;
  worker.scripts = {kRefusedWithoutId,
                    std::string(kRefusedWithoutId) +
                        "HTTP/1.1 200 OK\r\nId: r1\r\nContent-Length: 2\r\n"
                        "\r\nok"};
  const auto results = worker.Run(2);
  CHECK(results[0].outcome == WorkerOutcome::kNotRun);
  // The connection is not reused, so nothing can arrive late on it.
  CHECK(worker.connections == 2);
}

// Guards against a second run of a request: the copy of its earlier rejection
// was taken as the answer to its next sending, which was running.
TEST_CASE("A late copy of a rejection is no answer to the request sent again") {
  const std::string rejection =
      "HTTP/1.1 503 Busy\r\nId: r0\r\nNot-Run: 1\r\nContent-Length: "
      "0\r\n\r\n";
  ScriptedWorker worker;
  worker.same_id = true;
  // On the same connection the copy would precede the answer. The worker gets
  // the second request on another connection, where nothing precedes it.
  worker.scripts = {rejection,
                    "HTTP/1.1 200 OK\r\nId: r0\r\nContent-Length: 0\r\n\r\n"};
  worker.copies = {"", rejection};
  const auto results = worker.Run(2);
  CHECK(results[0].outcome == WorkerOutcome::kNotRun);
  CHECK(results[1].outcome == WorkerOutcome::kAnswered);
  CHECK(worker.connections == 2);
}

// Guards against "not run" for a request that runs: a copy without an id of the
// rejection of an earlier request arrived on the connection in use again.
TEST_CASE("A refusal without an id on a reused connection proves nothing") {
  ScriptedWorker worker;
  worker.scripts = {"HTTP/1.1 200 OK\r\nId: r0\r\nContent-Length: 0\r\n\r\n",
                    "HTTP/1.1 200 OK\r\nId: r1\r\nContent-Length: 0\r\n\r\n"};
  worker.copies = {"", kRefusedWithoutId};
  const auto results = worker.Run(2);
  CHECK(results[0].outcome == WorkerOutcome::kAnswered);
  CHECK(results[1].outcome == WorkerOutcome::kInvalidResponse);
  CHECK(worker.connections == 1);
}

TEST_CASE("The connection is reused after a refusal with a request id") {
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

TEST_CASE("An endless body is aborted before it exhausts the memory") {
  for (const char* head :
       {"HTTP/1.1 200 OK\r\nId: r0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nId: r0\r\nContent-Length: 99999999999\r\n\r\n"}) {
    ScriptedWorker worker;
    worker.max_held = kMegabyte;
    worker.scripts = {head};
    worker.endless = std::string(4096, 'x');
    const auto results = worker.Run(1);
    CHECK(results[0].outcome == WorkerOutcome::kInvalidResponse);
    // The socket buffers come on top.
    CHECK(worker.endless_bytes < 16 * kMegabyte);
  }
}

// Guards against an exception that ends the process: with the first bytes of
// the body in the same packet, the parser did not check the length against its
// limit.
TEST_CASE("An excessive length with the start of the body is rejected") {
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

TEST_CASE("An endless header is aborted") {
  ScriptedWorker worker;
  worker.max_held = kMegabyte;
  worker.scripts = {"HTTP/1.1 200 OK\r\nId: r0\r\n"};
  worker.endless = "X-More: " + std::string(100, 'x') + "\r\n";
  const auto results = worker.Run(1);
  CHECK(results[0].outcome == WorkerOutcome::kInvalidResponse);
  CHECK(worker.endless_bytes < 16 * kMegabyte);
}

TEST_CASE("Endless interim responses are aborted") {
  ScriptedWorker worker;
  worker.scripts = {"HTTP/1.1 102 Processing\r\n\r\n"};
  worker.endless = "HTTP/1.1 102 Processing\r\n\r\n";
  const auto results = worker.Run(1);
  CHECK(results[0].outcome == WorkerOutcome::kInvalidResponse);
  CHECK(worker.endless_bytes < 16 * kMegabyte);
}

// Guards against a client that gets a status that HTTP does not have.
TEST_CASE("A response with an invalid status is no answer") {
  for (const std::string& status : InvalidStatuses()) {
    ScriptedWorker worker;
    worker.closes = true;
    worker.scripts = {"HTTP/1.1 " + status +
                      " X\r\nId: r0\r\nContent-Length: 1\r\n\r\nb"};
    const auto results = worker.Run(1);
    CAPTURE(status);
    CHECK(results[0].outcome == WorkerOutcome::kInvalidResponse);
  }
}

// Guards against a client that gets such a line, or a body whose length was
// stated in it.
TEST_CASE("A response with an invalid field name is no answer") {
  for (const std::string& line : InvalidFieldLines()) {
    ScriptedWorker worker;
    worker.closes = true;
    worker.scripts = {"HTTP/1.1 200 OK\r\nId: r0\r\n" + line +
                      "\r\nContent-Length: 1\r\n\r\nb"};
    const auto results = worker.Run(1);
    CAPTURE(line);
    CHECK(results[0].outcome == WorkerOutcome::kInvalidResponse);
  }
}

/// A response and the number of its bytes without which it is incomplete.
struct FramedResponse {
  std::string text;
  size_t size = 0;
};

std::vector<FramedResponse> FramedResponses() {
  const std::string head = "HTTP/1.1 200 OK\r\nId: r0\r\n";
  std::vector<FramedResponse> responses;
  for (const char* rest :
       {"Content-Length: 5\r\n\r\nhello",
        "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"}) {
    responses.push_back({head + rest, head.size() + strlen(rest)});
  }
  // Ends with its connection, so that only the head can be incomplete.
  responses.push_back({head + "\r\nhello", head.size() + strlen("\r\n")});
  return responses;
}

// Guards against an empty or short body that is passed on as a whole answer.
TEST_CASE("A response that ends anywhere before its end is no answer") {
  for (const FramedResponse& response : FramedResponses()) {
    for (size_t cut = 0; cut < response.size; ++cut) {
      for (const size_t first_part : {size_t{0}, cut / 2, cut - cut / 4}) {
        ScriptedWorker worker;
        worker.closes = true;
        worker.first_part = first_part;
        worker.scripts = {response.text.substr(0, cut)};
        const auto results = worker.Run(1);
        CAPTURE(worker.scripts[0]);
        CHECK(results[0].outcome == WorkerOutcome::kConnectionLost);
      }
    }
    ScriptedWorker worker;
    worker.closes = true;
    worker.scripts = {response.text};
    const auto results = worker.Run(1);
    CHECK(results[0].outcome == WorkerOutcome::kAnswered);
    CHECK(results[0].body == "hello");
  }
}

// Guards against a part of a body that is passed on as a whole answer: the
// failed write of the request hid the reset, so that the body seemed to end.
TEST_CASE(
    "A response that is reset while its request is written is no answer") {
  for (int delay = 0; delay < 20; ++delay) {
    ScriptedWorker worker;
    worker.request_body = std::string(16 * kMegabyte, 'x');
    worker.resets_after = std::chrono::milliseconds(delay);
    worker.scripts = {"HTTP/1.1 200 OK\r\nId: r0\r\n\r\npart"};
    const auto results = worker.Run(1);
    CAPTURE(delay);
    CHECK(results[0].outcome == WorkerOutcome::kConnectionLost);
  }
}

// Guards against whole answers that are lost: a worker may answer before it has
// read the request, close its side and read the rest then.
TEST_CASE("A response that ends before its request is written is an answer") {
  ScriptedWorker worker;
  worker.request_body = std::string(16 * kMegabyte, 'x');
  worker.reads_late = true;
  worker.closes = true;
  worker.scripts = {"HTTP/1.1 200 OK\r\nId: r0\r\n\r\nwhole"};
  const auto results = worker.Run(1);
  CHECK(results[0].outcome == WorkerOutcome::kAnswered);
  CHECK(results[0].body == "whole");
}

// Guards against "may have run" for a request that the worker rejected.
TEST_CASE("A rejection holds although the connection is reset behind it") {
  ScriptedWorker worker;
  worker.request_body = std::string(16 * kMegabyte, 'x');
  worker.resets_after = std::chrono::milliseconds(5);
  worker.scripts = {"HTTP/1.1 503 Busy\r\nId: r0\r\nNot-Run: 1\r\n\r\n"};
  const auto results = worker.Run(1);
  CHECK(results[0].outcome == WorkerOutcome::kNotRun);
}

TEST_CASE("An endless chunked body is aborted") {
  ScriptedWorker worker;
  worker.max_held = kMegabyte;
  worker.scripts = {
      "HTTP/1.1 200 OK\r\nId: r0\r\nTransfer-Encoding: chunked\r\n\r\n"};
  worker.endless = "400\r\n" + std::string(1024, 'x') + "\r\n";
  const auto results = worker.Run(1);
  CHECK(results[0].outcome == WorkerOutcome::kInvalidResponse);
  CHECK(worker.endless_bytes < 16 * kMegabyte);
}

TEST_CASE("Endless trailers are aborted") {
  ScriptedWorker worker;
  worker.scripts = {
      "HTTP/1.1 200 OK\r\nId: r0\r\nTransfer-Encoding: chunked\r\n\r\n"
      "2\r\nok\r\n0\r\n"};
  worker.endless = "X-More: " + std::string(100, 'x') + "\r\n";
  const auto results = worker.Run(1);
  CHECK(results[0].outcome == WorkerOutcome::kInvalidResponse);
  CHECK(worker.endless_bytes < 16 * kMegabyte);
}

// Guards against a process that is killed for its memory by a response.
TEST_CASE("A response beyond the memory budget is aborted") {
  ScriptedWorker worker;
  worker.memory.SetLimit(kMegabyte);
  worker.scripts = {
      "HTTP/1.1 200 OK\r\nId: r0\r\nContent-Length: 8388608\r\n\r\n"};
  worker.endless = std::string(4096, 'x');
  const auto results = worker.Run(1);
  CHECK(results[0].outcome == WorkerOutcome::kNoMemory);
  CHECK(worker.endless_bytes < 16 * kMegabyte);
}

TEST_CASE("A large response keeps its memory reserved") {
  ScriptedWorker worker;
  const std::string body(100000, 'x');
  worker.scripts = {
      "HTTP/1.1 200 OK\r\nId: r0\r\nContent-Length: 100000\r\n\r\n" + body,
      "HTTP/1.1 200 OK\r\nId: r1\r\nContent-Length: 2\r\n\r\nok"};
  std::vector<WorkerResult> results = worker.Run(2);
  CHECK(results[0].body == body);
  CHECK(results[0].reservation.bytes() == body.size());
  CHECK(results[1].body == "ok");
  CHECK(results[1].reservation.bytes() == 0);
}

}  // namespace
}  // namespace boragepaddle::event
