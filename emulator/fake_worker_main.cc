#include <gflags/gflags.h>

#include <fstream>
#include <iostream>
#include <sstream>

#include "absl/strings/str_cat.h"
#include "emulator/fake_worker.h"
#include "emulator/http_listener.h"
#include "emulator/ready_line.h"
#include "emulator/worker_behaviour.h"

DEFINE_int32(port, 0, "port on the loopback address; 0 takes any free port");
DEFINE_string(service, "", "name of the service");
DEFINE_string(behaviour, "", "JSON file with the operations");
DEFINE_string(journal, "", "file that execution events are appended to");

namespace {

std::string ReadFile(const std::string& path) {
  std::ifstream file(path);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

}  // namespace

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  const auto behaviour =
      emulator::ApplyBehaviourJson({}, ReadFile(FLAGS_behaviour));
  if (!behaviour) {
    std::cerr << "fake_worker: " << FLAGS_behaviour << ": "
              << emulator::ToString(behaviour.error()) << "\n";
    return 2;
  }
  emulator::FakeWorker worker(FLAGS_service, behaviour.value(), FLAGS_journal);
  emulator::HttpListener listener({FLAGS_port, behaviour.value().connections});
  worker.AddHandlers(&listener.server);
  const int port = listener.Bind();
  if (port < 0) {
    std::cerr << "fake_worker: cannot listen on port " << FLAGS_port << "\n";
    return 1;
  }
  emulator::PrintReadyLine(absl::StrCat("address=127.0.0.1:", port));
  listener.Serve();
  return 0;
}
