#include "emulator/proxy_control.h"

#include <nlohmann/json.hpp>
#include <string>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "emulator/http_listener.h"

namespace emulator {
namespace {

using httplib::Request;
using httplib::Response;

void SetErrorResponse(absl::string_view error, Response* response) {
  SetJsonResponse(absl::StrCat("{\"error\":\"", error, "\"}"), 400, response);
}

/// Port of an address "127.0.0.1:port"; -1 if there is none.
int ParsePort(absl::string_view address) {
  int port = -1;
  const size_t colon = address.rfind(':');
  if (colon == absl::string_view::npos ||
      !absl::SimpleAtoi(address.substr(colon + 1), &port)) {
    return -1;
  }
  return port;
}

std::string StringValue(const nlohmann::json& json, const char* key) {
  const auto found = json.find(key);
  return found != json.end() && found->is_string() ? found->get<std::string>()
                                                   : "";
}

nlohmann::json ParseObject(const Request& request) {
  nlohmann::json json = nlohmann::json::parse(request.body, nullptr, false);
  return json.is_object() ? json : nlohmann::json::object();
}

void OnAddListener(FaultProxy* proxy,
                   const Request& request,
                   Response* response) {
  const nlohmann::json json = ParseObject(request);
  const int target = ParsePort(StringValue(json, "target"));
  if (target < 0) {
    return SetErrorResponse("target is not an address", response);
  }
  const int port =
      proxy->AddListener({StringValue(json, "vm"), StringValue(json, "zone"),
                          StringValue(json, "region")},
                         target);
  if (port < 0) {
    return SetErrorResponse("no free port", response);
  }
  SetJsonResponse(absl::StrCat("{\"address\":\"127.0.0.1:", port, "\"}"), 200,
                  response);
}

void OnSetTarget(FaultProxy* proxy,
                 const Request& request,
                 Response* response) {
  const nlohmann::json json = ParseObject(request);
  const int target = ParsePort(StringValue(json, "target"));
  if (target < 0 ||
      !proxy->SetTarget(ParsePort(StringValue(json, "address")), target)) {
    return SetErrorResponse("no such listener, or target is not an address",
                            response);
  }
  SetJsonResponse("{}", 200, response);
}

void OnRules(FaultProxy* proxy, const Request& request, Response* response) {
  auto rules = ParseLinkRules(ParseObject(request)["rules"]);
  if (!rules) {
    return SetErrorResponse(ToString(rules.error()), response);
  }
  proxy->SetRules(std::move(rules).value());
  SetJsonResponse("{}", 200, response);
}

using Action = size_t (FaultProxy::*)(const LinkRule&);

void OnAction(FaultProxy* proxy,
              Action action,
              const Request& request,
              Response* response) {
  const auto rules =
      ParseLinkRules(nlohmann::json::array({ParseObject(request)}));
  if (!rules) {
    return SetErrorResponse(ToString(rules.error()), response);
  }
  const size_t count = (proxy->*action)(rules.value().front());
  SetJsonResponse(absl::StrCat("{\"connections\":", count, "}"), 200, response);
}

void OnStats(FaultProxy* proxy, Response* response) {
  const ProxyStats stats = proxy->Stats();
  const nlohmann::json json = {{"connections", stats.connections},
                               {"accepted", stats.accepted},
                               {"cut", stats.cut},
                               {"bytes", stats.bytes}};
  SetJsonResponse(json.dump(), 200, response);
}

}  // namespace

void AddProxyHandlers(FaultProxy* proxy, httplib::Server* server) {
  server->Post("/listeners", [=](const Request& request, Response& response) {
    OnAddListener(proxy, request, &response);
  });
  server->Put("/listeners", [=](const Request& request, Response& response) {
    OnSetTarget(proxy, request, &response);
  });
  server->Put("/rules", [=](const Request& request, Response& response) {
    OnRules(proxy, request, &response);
  });
  server->Post("/drop", [=](const Request& request, Response& response) {
    OnAction(proxy, &FaultProxy::ResetConnections, request, &response);
  });
  server->Post("/half_close", [=](const Request& request, Response& response) {
    OnAction(proxy, &FaultProxy::HalfCloseConnections, request, &response);
  });
  server->Get("/stats", [=](const Request&, Response& response) {
    OnStats(proxy, &response);
  });
}

}  // namespace emulator
