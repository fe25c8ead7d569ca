#include <gflags/gflags.h>

#include <iostream>

#include "absl/strings/str_cat.h"
#include "emulator/fake_platform.h"
#include "emulator/http_listener.h"
#include "emulator/ready_line.h"

DEFINE_int32(port, 0, "port on the loopback address; 0 selects a free port");
DEFINE_int32(connections, 4000, "maximum number of concurrent connections");

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  emulator::FakePlatform platform;
  emulator::HttpListener listener(
      {FLAGS_port, static_cast<size_t>(FLAGS_connections)});
  platform.AddHandlers(&listener.server);
  const int port = listener.Bind();
  if (port < 0) {
    std::cerr << "fake_platform: cannot listen on port " << FLAGS_port << "\n";
    return 1;
  }
  emulator::PrintReadyLine(absl::StrCat("address=127.0.0.1:", port));
  listener.Serve();
  return 0;
}
