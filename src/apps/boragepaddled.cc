#include <gflags/gflags.h>
#include <signal.h>

#include <cstdio>
#include <fstream>
#include <sstream>
#include <string>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "boragepaddle/daemon/logger.h"
#include "boragepaddle/daemon/node_daemon.h"
#include "boragepaddle/schema/settings.h"

DEFINE_string(settings, "", "Path of the settings file (JSON with comments).");
DEFINE_bool(check, false, "Check the settings file and exit.");

namespace {

namespace bp = boragepaddle;

constexpr int kExitOk = 0;
constexpr int kExitBadSettings = 1;
constexpr int kExitCannotStart = 2;
constexpr int kExitAbandoned = 3;
constexpr absl::Duration kDrainPoll = absl::Milliseconds(20);

bool ReadFile(const std::string& path, std::string* text) {
  std::ifstream file(path);
  if (!file) {
    return false;
  }
  std::ostringstream content;
  content << file.rdbuf();
  *text = content.str();
  return true;
}

/// Waits up to `timeout` for a stop signal; returns true if one arrived.
bool WaitForSignal(const sigset_t& signals, absl::Duration timeout) {
  const timespec limit = absl::ToTimespec(timeout);
  return sigtimedwait(&signals, nullptr, &limit) > 0;
}

int Drain(bp::daemon::NodeDaemon& node,
          const bp::daemon::Logger& log,
          const sigset_t& signals) {
  node.StartLeaving();
  log.Info(absl::StrCat("draining ", node.DescribeWorkInFlight()));
  while (!node.IsDrained()) {
    if (WaitForSignal(signals, kDrainPoll)) {
      log.Warn(absl::StrCat("abandoned ", node.DescribeWorkInFlight()));
      return kExitAbandoned;
    }
  }
  log.Info("drained");
  return kExitOk;
}

int Serve(const bp::schema::NodeSettings& settings, const sigset_t& signals) {
  bp::daemon::InitLogging(settings.log_level);
  const bp::daemon::Logger log("main");
  bp::daemon::NodeDaemon node(settings);
  const auto bound = node.Start();
  if (!bound) {
    log.Error(absl::StrCat("cannot start: ", ToString(bound.error().code),
                           " errno=", bound.error().system_error));
    return kExitCannotStart;
  }
  const auto& addresses = bound.value();
  std::printf("ready caller=%s worker=%s peer=%s operator=%s\n",
              addresses.caller.c_str(), addresses.worker.c_str(),
              addresses.peer.c_str(), addresses.operations.c_str());
  std::fflush(stdout);
  while (!node.drain_requested() &&
         !WaitForSignal(signals, absl::Milliseconds(100))) {
  }
  const int code = Drain(node, log, signals);
  // Exits without joining the threads that hold keep-alive connections: no
  // request is in flight on them.
  std::_Exit(code);
}

}  // namespace

int main(int argc, char** argv) {
  gflags::SetUsageMessage(
      "Overload control node beside one upstream VM.\n"
      "Usage: boragepaddled --settings=FILE [--check]");
  gflags::SetVersionString(BORAGEPADDLE_VERSION);
  gflags::ParseCommandLineFlags(&argc, &argv, /*remove_flags=*/true);
  std::string text;
  if (!ReadFile(FLAGS_settings, &text)) {
    std::fprintf(stderr,
                 "cannot read the settings file '%s'; name it with "
                 "--settings=FILE\n",
                 FLAGS_settings.c_str());
    return kExitBadSettings;
  }
  const auto settings = bp::schema::ReadNodeSettings(FLAGS_settings, text);
  if (!settings) {
    for (const auto& error : settings.error()) {
      std::fprintf(stderr, "%s\n", bp::schema::Describe(error).c_str());
    }
    return kExitBadSettings;
  }
  if (FLAGS_check) {
    std::printf("%s: valid\n", FLAGS_settings.c_str());
    return kExitOk;
  }
  // Blocked before any thread starts, so that only main receives the signals.
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  return Serve(settings.value(), signals);
}
