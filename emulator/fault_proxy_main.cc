#include <gflags/gflags.h>

#include <iostream>
#include <thread>

#include "absl/strings/str_cat.h"
#include "emulator/fault_proxy.h"
#include "emulator/http_listener.h"
#include "emulator/proxy_control.h"
#include "emulator/ready_line.h"

DEFINE_int32(port, 0, "control port; 0 selects a free port");

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  emulator::FaultProxy proxy;
  emulator::HttpListener control({FLAGS_port, 16});
  emulator::AddProxyHandlers(&proxy, &control.server);
  const int port = control.Bind();
  if (port < 0) {
    std::cerr << "fault_proxy: cannot listen on port " << FLAGS_port << "\n";
    return 1;
  }
  std::thread proxy_thread([&proxy] { proxy.Run(); });
  emulator::PrintReadyLine(absl::StrCat("control=127.0.0.1:", port));
  control.Serve();
  proxy_thread.join();
  return 0;
}
