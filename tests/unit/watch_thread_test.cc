#include "boragepaddle/config_service/watch_thread.h"

#include <doctest/doctest.h>

#include <atomic>
#include <string>
#include <vector>

#include "absl/synchronization/mutex.h"
#include "absl/synchronization/notification.h"
#include "absl/time/clock.h"
#include "boragepaddle/transport/http_listener.h"
#include "boragepaddle/transport/socket.h"

namespace boragepaddle::config_service {
namespace {

constexpr absl::Duration kTestTimeout = absl::Seconds(5);

transport::HttpReply Reply(uint32_t status, const std::string& body) {
  transport::HttpReply reply;
  reply.status = status;
  reply.body = body;
  return reply;
}

/// Serves one handler on a free port.
struct Server {
  explicit Server(transport::HttpHandler handler)
      : listener(transport::HttpListenerSettings(), std::move(handler)),
        address(this->listener.Start("127.0.0.1:0").value()) {}

  transport::HttpListener listener;
  std::string address;
};

ClientSettings SettingsFor(const std::string& address) {
  ClientSettings settings;
  settings.address = address;
  settings.availability_zone = "tamsui";
  return settings;
}

PlatformErrorCode WatchError(const std::string& address, absl::Duration wait) {
  PlatformClient client(SettingsFor(address));
  const auto answer = client.Watch("/v1/config", 0, wait);
  REQUIRE_FALSE(answer.has_value());
  return answer.error().code;
}

TEST_CASE("platform: each kind of failure has its own code") {
  Server down([](const transport::HttpCall&) { return Reply(503, "{}"); });
  CHECK(WatchError(down.address, kTestTimeout) == PlatformErrorCode::kStatus);
  absl::Notification release;
  Server silent([&release](const transport::HttpCall&) {
    release.WaitForNotification();
    return Reply(200, "{}");
  });
  CHECK(WatchError(silent.address, absl::Milliseconds(50)) ==
        PlatformErrorCode::kTimeout);
  release.Notify();
  std::string closed;
  {
    const auto socket = transport::Listen("127.0.0.1:0");
    closed = transport::LocalAddress(socket.value());
  }
  CHECK(WatchError(closed, kTestTimeout) == PlatformErrorCode::kUnreachable);
}

// Guards against a node that cannot stop, or keeps a watch open after it is no
// longer a reader, until the platform answers.
TEST_CASE("platform: a waiting watch ends at once when it is closed") {
  absl::Notification waiting;
  Server server([&waiting](const transport::HttpCall& http) {
    waiting.Notify();
    while (http.connected()) {
      absl::SleepFor(absl::Milliseconds(5));
    }
    return Reply(200, "{}");
  });
  const absl::Time begin = absl::Now();
  {
    WatchThread watch(
        SettingsFor(server.address), "/v1/config",
        [](absl::string_view) { return uint64_t{0}; }, [] { return 1; });
    watch.SetEnabled(true);
    REQUIRE(waiting.WaitForNotificationWithTimeout(kTestTimeout));
  }
  CHECK(absl::Now() - begin < kTestTimeout);
}

// Guards against a single read that becomes a watch, and against requests that
// do not name the zone.
TEST_CASE("platform: a single read is made once and names the zone") {
  absl::Mutex mutex;
  std::vector<std::string> zones;
  std::atomic<int> answered{0};
  Server server([&](const transport::HttpCall& http) {
    absl::MutexLock lock(&mutex);
    zones.push_back(http.header("Boragepaddle-Zone"));
    return Reply(200, "7");
  });
  WatchThread watch(
      SettingsFor(server.address), "/v1/config",
      [&answered](absl::string_view body) {
        ++answered;
        return uint64_t{body == "7" ? 7U : 0U};
      },
      [] { return 1; });
  watch.ReadOnce();
  const absl::Time end = absl::Now() + kTestTimeout;
  while (answered == 0 && absl::Now() < end) {
    absl::SleepFor(absl::Milliseconds(1));
  }
  CHECK(answered == 1);
  CHECK(watch.counters().requests == 1);
  CHECK(watch.counters().failures == 0);
  absl::MutexLock lock(&mutex);
  CHECK(zones == std::vector<std::string>{"tamsui"});
}

}  // namespace
}  // namespace boragepaddle::config_service
