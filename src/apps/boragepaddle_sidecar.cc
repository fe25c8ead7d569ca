#include <gflags/gflags.h>
#include <malloc.h>
#include <signal.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <memory>
#include <sstream>
#include <string>
#include <utility>

#include "absl/strings/str_join.h"
#include "absl/types/optional.h"
#include "boragepaddle/event/run_event_loop.h"
#include "boragepaddle/platform/boot_settings.h"
#include "boragepaddle/platform/store_client.h"
#include "boragepaddle/platform/wire_names.h"
#include "boragepaddle/proxy/proxy_node.h"
#include "boragepaddle/telemetry/event_log.h"

DEFINE_string(settings,
              "",
              "Path of the settings file. Default: the path in the environment "
              "variable BORAGEPADDLE_CONFIG, or /etc/boragepaddle/boot.conf.");
DEFINE_bool(check, false, "Check the settings file and exit.");

namespace {

namespace bp = boragepaddle;
using bp::telemetry::LogLine;

constexpr int kExitOk = 0;
constexpr int kExitBadSettings = 1;
constexpr int kExitCannotStart = 2;

/// Allocations from this size on are returned to the system when they are
/// freed. By default, the allocator raises the threshold to 32 MB and keeps
/// twice as much free memory once it has served large bodies, so that the
/// memory budget would not bound the memory of the process.
constexpr int kMinMappedBytes = 256 << 10;

/// Free memory at the end of the heap that is kept. Setting the threshold above
/// fixes this one at 128 KiB, which returns and requests memory too often.
constexpr int kMaxKeptHeapBytes = 4 << 20;

std::string SettingsPath() {
  if (!FLAGS_settings.empty()) {
    return FLAGS_settings;
  }
  const char* path = std::getenv(bp::platform::kSettingsEnvVariable);
  return path == nullptr ? bp::platform::kDefaultSettingsPath : path;
}

absl::optional<std::string> ReadFile(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    return absl::nullopt;
  }
  std::ostringstream content;
  content << file.rdbuf();
  return content.str();
}

/// Reads and parses the settings file; prints an error on failure.
absl::optional<bp::platform::BootSettings> ReadSettings(
    const std::string& path) {
  const auto text = ReadFile(path);
  if (!text) {
    std::fprintf(stderr, "cannot read the settings file '%s'\n", path.c_str());
    return absl::nullopt;
  }
  auto settings = bp::platform::ParseBootSettings(*text);
  if (!settings) {
    std::fprintf(stderr, "%s: %s has no valid value: '%s'\n", path.c_str(),
                 settings.error().key.c_str(), settings.error().value.c_str());
    return absl::nullopt;
  }
  return settings.value();
}

/// Returns a function that reads the settings file again. It returns no
/// settings if the file is unreadable, invalid or unchanged since the last
/// call.
std::function<absl::optional<bp::proxy::NodeSettings>()> MakeReload(
    const std::string& path) {
  auto last = std::make_shared<std::string>();
  return [path, last]() -> absl::optional<bp::proxy::NodeSettings> {
    const auto text = ReadFile(path);
    if (!text || *text == *last) {
      return absl::nullopt;
    }
    *last = *text;
    const auto settings = bp::platform::ParseBootSettings(*text);
    if (!settings) {
      std::fprintf(stderr,
                   "%s: %s has no valid value; keeping the current settings\n",
                   path.c_str(), settings.error().key.c_str());
      return absl::nullopt;
    }
    return settings.value().node;
  };
}

int Serve(const std::string& path, const bp::platform::BootSettings& settings) {
  bp::telemetry::EventLog log{bp::telemetry::EventLogSettings()};
  if (!settings.defaulted.empty()) {
    log.LogState(LogLine("node", "settings_defaulted")
                     .Add("keys", absl::StrJoin(settings.defaulted, ",")));
  }
  const auto store = bp::event::ParseEndpoint(settings.node.store_address);
  if (!store) {
    return kExitBadSettings;
  }
  boost::asio::io_context loop(1);
  bp::proxy::NodeDependencies parts;
  parts.http = bp::platform::MakeHttpDialect();
  parts.store = bp::platform::MakeStoreDialect();
  parts.source = std::make_unique<bp::platform::StoreClient>(loop, *store);
  parts.reload = MakeReload(path);
  bp::proxy::ProxyNode node(loop, settings.node, std::move(parts), log);
  if (!node.Start()) {
    return kExitCannotStart;
  }
  boost::asio::signal_set signals(loop, SIGTERM, SIGINT, SIGHUP);
  std::function<void()> wait_signal = [&] {
    signals.async_wait([&](const boost::system::error_code& error, int signal) {
      if (error) {
        return;
      }
      wait_signal();
      if (signal == SIGHUP) {
        node.Reload();
      } else {
        node.StartShutdown();
      }
    });
  };
  wait_signal();
  bp::event::RunEventLoop(loop, [&log](absl::string_view what) {
    log.LogState(LogLine("node", "handler_failed").Add("what", what));
  });
  // Skips destructors: no output is pending, and the shutdown of the log
  // library would wait for its threads.
  std::_Exit(kExitOk);
}

}  // namespace

int main(int argc, char** argv) {
  // The default action would end a process that is asked to reload while it
  // starts.
  signal(SIGHUP, SIG_IGN);
  mallopt(M_MMAP_THRESHOLD, kMinMappedBytes);
  mallopt(M_TRIM_THRESHOLD, kMaxKeptHeapBytes);
  gflags::SetUsageMessage(
      "Overload control node beside one upstream VM of the users' platform.\n"
      "Usage: boragepaddle_sidecar [--settings=FILE] [--check]");
  gflags::SetVersionString(BORAGEPADDLE_VERSION);
  gflags::ParseCommandLineFlags(&argc, &argv, /*remove_flags=*/true);
  signal(SIGPIPE, SIG_IGN);
  const std::string path = SettingsPath();
  const auto settings = ReadSettings(path);
  if (!settings) {
    return kExitBadSettings;
  }
  if (FLAGS_check) {
    std::printf("%s: valid\n", path.c_str());
    return kExitOk;
  }
  return Serve(path, *settings);
}
