#include "boragepaddle/config_service/platform_response.h"

#include <nlohmann/json.hpp>
#include <string>
#include <utility>

namespace boragepaddle::config_service {
namespace {

using nlohmann::json;

PlatformError Malformed() {
  return PlatformError{PlatformErrorCode::kMalformed};
}

json Parse(absl::string_view body) {
  return json::parse(body.begin(), body.end(), nullptr,
                     /*allow_exceptions=*/false);
}

bool ReadRevision(const json& document, uint64_t* revision) {
  const auto found = document.find("revision");
  if (found == document.end() || !found->is_number_unsigned()) {
    return false;
  }
  *revision = found->get<uint64_t>();
  return true;
}

bool ReadText(const json& object, const char* key, std::string* text) {
  const auto found = object.find(key);
  if (found == object.end() || !found->is_string()) {
    return false;
  }
  *text = found->get<std::string>();
  return true;
}

bool ReadVm(const json& object, schema::VmEntry* vm) {
  std::string state;
  return object.is_object() && ReadText(object, "vm_id", &vm->vm_id) &&
         ReadText(object, "member", &vm->member) &&
         ReadText(object, "service", &vm->service) &&
         ReadText(object, "availability_zone", &vm->availability_zone) &&
         ReadText(object, "region", &vm->region) &&
         ReadText(object, "peer_address", &vm->peer_address) &&
         ReadText(object, "state", &state) &&
         schema::FromString(state, &vm->state);
}

}  // namespace

base::Result<node::PlatformConfig, PlatformError> ParseConfigResponse(
    absl::string_view body) {
  const json document = Parse(body);
  node::PlatformConfig answer;
  if (!document.is_object() || !ReadRevision(document, &answer.revision) ||
      !document.contains("files") || !document["files"].is_object()) {
    return Malformed();
  }
  for (const auto& item : document["files"].items()) {
    if (!item.value().is_string()) {
      return Malformed();
    }
    answer.files[item.key()] = item.value().get<std::string>();
  }
  return answer;
}

base::Result<node::PlatformList, PlatformError> ParseVmListResponse(
    absl::string_view body) {
  const json document = Parse(body);
  node::PlatformList answer;
  if (!document.is_object() || !ReadRevision(document, &answer.revision) ||
      !document.contains("vms") || !document["vms"].is_array()) {
    return Malformed();
  }
  for (const json& entry : document["vms"]) {
    schema::VmEntry vm;
    if (!ReadVm(entry, &vm)) {
      return Malformed();
    }
    answer.vms.push_back(std::move(vm));
  }
  return answer;
}

}  // namespace boragepaddle::config_service
