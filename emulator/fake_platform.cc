#include "emulator/fake_platform.h"

#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "emulator/http_listener.h"

namespace emulator {
namespace {

constexpr absl::Duration kWatchTimeout = absl::Seconds(30);
// A watch that began before the platform was told to be down must end too.
constexpr absl::Duration kOutageCheckInterval = absl::Milliseconds(100);

void SetUnavailableResponse(httplib::Response* response) {
  SetJsonResponse(R"({"error":"down"})", 503, response);
}

}  // namespace

FakePlatform::FakePlatform()
    : config("files", nlohmann::json::object()),
      vms("vms", nlohmann::json::array()) {}

void FakePlatform::AddHandlers(httplib::Server* server) {
  using httplib::Request;
  using httplib::Response;
  this->AddDocument("/v1/config", "files", &this->config, server);
  this->AddDocument("/v1/vms", "vms", &this->vms, server);
  server->Post("/control", [this](const Request& request, Response& response) {
    this->OnControl(request, &response);
  });
  server->Get("/stats", [this](const Request&, Response& response) {
    this->OnStats(&response);
  });
}

void FakePlatform::AddDocument(const std::string& path,
                               const std::string& content_key,
                               PlatformDocument* document,
                               httplib::Server* server) {
  using httplib::Request;
  using httplib::Response;
  server->Get(path, [=](const Request& request, Response& response) {
    if (this->IsUnavailableFor(request)) {
      return SetUnavailableResponse(&response);
    }
    ++this->reads;
    SetJsonResponse(document->Get(), 200, &response);
  });
  server->Get(path + "/watch", [=](const Request& request, Response& response) {
    this->OnWatch(request, document, &response);
  });
  server->Put(path, [=](const Request& request, Response& response) {
    this->OnPut(request, content_key, document, &response);
  });
}

void FakePlatform::OnWatch(const httplib::Request& request,
                           PlatformDocument* document,
                           httplib::Response* response) {
  uint64_t after = 0;
  if (!absl::SimpleAtoi(request.get_param_value("after"), &after)) {
    return SetJsonResponse(R"({"error":"after is not a number"})", 400,
                           response);
  }
  ++this->reads;
  ++this->watches;
  const int64_t waiting = ++this->waiting_watches;
  int64_t peak = this->peak_waiting_watches.load();
  while (waiting > peak &&
         !this->peak_waiting_watches.compare_exchange_weak(peak, waiting)) {
  }
  const absl::Time end = absl::Now() + kWatchTimeout;
  bool down = this->IsUnavailableFor(request);
  bool newer = false;
  while (!down && !newer && absl::Now() < end) {
    newer = document->WaitForNewer(after, absl::Now() + kOutageCheckInterval);
    down = this->IsUnavailableFor(request);
  }
  --this->waiting_watches;
  if (down) {
    return SetUnavailableResponse(response);
  }
  SetJsonResponse(document->Get(), 200, response);
}

void FakePlatform::OnPut(const httplib::Request& request,
                         const std::string& content_key,
                         PlatformDocument* document,
                         httplib::Response* response) {
  nlohmann::json json = nlohmann::json::parse(request.body, nullptr, false);
  if (!json.is_object() || !json.contains(content_key)) {
    return SetJsonResponse(R"({"error":"content is missing"})", 400, response);
  }
  const uint64_t revision = document->Put(std::move(json[content_key]));
  SetJsonResponse(absl::StrCat("{\"revision\":", revision, "}"), 200, response);
}

void FakePlatform::OnControl(const httplib::Request& request,
                             httplib::Response* response) {
  const nlohmann::json json =
      nlohmann::json::parse(request.body, nullptr, false);
  try {
    this->ApplyControl(json);
  } catch (const nlohmann::json::exception&) {
    return SetJsonResponse(R"({"error":"a value has the wrong type"})", 400,
                           response);
  }
  SetJsonResponse("{}", 200, response);
}

void FakePlatform::ApplyControl(const nlohmann::json& json) {
  if (json.contains("config_newest_shown")) {
    this->config.SetMaxVisibleRevision(
        json["config_newest_shown"].get<uint64_t>());
  }
  if (json.contains("vms_newest_shown")) {
    this->vms.SetMaxVisibleRevision(json["vms_newest_shown"].get<uint64_t>());
  }
  if (json.contains("vms_lag_s")) {
    this->vms.SetLag(absl::Seconds(json["vms_lag_s"].get<double>()));
  }
  absl::MutexLock lock(&this->mutex);
  this->down = json.value("down", this->down);
  this->down_zones = json.value("down_zones", this->down_zones);
}

void FakePlatform::OnStats(httplib::Response* response) {
  const nlohmann::json json = {
      {"reads", this->reads.load()},
      {"watches", this->watches.load()},
      {"waiting_watches", this->waiting_watches.load()},
      {"peak_waiting_watches", this->peak_waiting_watches.load()},
      {"refused", this->refused.load()}};
  SetJsonResponse(json.dump(), 200, response);
}

bool FakePlatform::IsUnavailableFor(const httplib::Request& request) {
  absl::MutexLock lock(&this->mutex);
  const std::string zone = request.get_header_value("Boragepaddle-Zone");
  const bool is_down = this->down || this->down_zones.count(zone) > 0;
  if (is_down) {
    ++this->refused;
  }
  return is_down;
}

}  // namespace emulator
