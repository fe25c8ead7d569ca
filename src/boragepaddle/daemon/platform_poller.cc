#include "boragepaddle/daemon/platform_poller.h"

#include <httplib.h>

#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"

namespace boragepaddle::daemon {

namespace {

constexpr absl::Duration kPollInterval = absl::Milliseconds(200);

nlohmann::json Fetch(const std::string& url, const std::string& path) {
  httplib::Client client(url);
  const httplib::Result result = client.Get(path);
  if (!result || result->status != 200) {
    return nlohmann::json();
  }
  return nlohmann::json::parse(result->body, nullptr,
                               /*allow_exceptions=*/false);
}

schema::VmEntry ToVmEntry(const nlohmann::json& json) {
  schema::VmEntry vm;
  vm.vm_id = json.value("vm_id", "");
  vm.member = json.value("member", "");
  vm.service = json.value("service", "");
  vm.availability_zone = json.value("availability_zone", "");
  vm.region = json.value("region", "");
  vm.peer_address = json.value("peer_address", "");
  schema::FromString(json.value("state", "live"), &vm.state);
  return vm;
}

}  // namespace

PlatformPoller::PlatformPoller(const std::string& platform_address,
                               RuleBook& rules,
                               EgressClient& egress)
    : url(absl::StrCat("http://", platform_address)),
      rules(rules),
      egress(egress) {
  this->thread = std::thread([this] { this->Loop(); });
}

PlatformPoller::~PlatformPoller() {
  this->stopping = true;
  this->thread.join();
}

void PlatformPoller::Loop() {
  while (!this->stopping) {
    this->PollConfig();
    this->PollVms();
    absl::SleepFor(kPollInterval);
  }
}

void PlatformPoller::PollConfig() {
  const nlohmann::json json = Fetch(this->url, "/v1/config");
  if (!json.is_object()) {
    return;
  }
  config::Folder folder;
  for (const auto& item : json["files"].items()) {
    folder[item.key()] = item.value().get<std::string>();
  }
  const uint64_t revision = json.value("revision", uint64_t{0});
  if (revision > 0) {
    this->rules.Offer(revision, std::move(folder));
  }
}

void PlatformPoller::PollVms() {
  const nlohmann::json json = Fetch(this->url, "/v1/vms");
  if (!json.is_object() ||
      json.value("revision", uint64_t{0}) <= this->list_revision) {
    return;
  }
  this->list_revision = json.value("revision", uint64_t{0});
  std::vector<schema::VmEntry> vms;
  for (const nlohmann::json& vm : json["vms"]) {
    vms.push_back(ToVmEntry(vm));
  }
  this->egress.SetUpstreams(vms);
}

}  // namespace boragepaddle::daemon
