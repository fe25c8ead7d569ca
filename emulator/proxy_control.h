#ifndef EMULATOR_PROXY_CONTROL_H_
#define EMULATOR_PROXY_CONTROL_H_

#include <httplib.h>

#include "emulator/fault_proxy.h"

namespace emulator {

/// Registers the control paths of a proxy on an HTTP server. The proxy must
/// outlive the server.
void AddProxyHandlers(FaultProxy* proxy, httplib::Server* server);

}  // namespace emulator

#endif  // EMULATOR_PROXY_CONTROL_H_
