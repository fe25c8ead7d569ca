#include "boragepaddle/platform/boot_settings.h"

#include <algorithm>
#include <utility>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/ascii.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_split.h"

namespace boragepaddle::platform {

namespace {

constexpr double kMebibyte = 1u << 20;

constexpr absl::Duration kReportInterval = absl::Milliseconds(1500);
constexpr absl::Duration kEntryLifetimeMargin = absl::Seconds(1);

using Values = absl::flat_hash_map<std::string, std::string>;

/// Reads values by key and keeps the first error.
struct Lookup {
  const Values& values;
  BootSettings& settings;
  BootSettingsError error;

  std::string Required(const std::string& key) {
    const auto found = this->values.find(key);
    if (found == this->values.end() || found->second.empty()) {
      this->SetError(key, "");
      return "";
    }
    return found->second;
  }

  std::string Address(const std::string& key) {
    std::string value = this->Required(key);
    uint32_t port = 0;
    const size_t colon = value.rfind(':');
    if (colon == std::string::npos ||
        !absl::SimpleAtoi(value.substr(colon + 1), &port) || port == 0 ||
        port > 65535) {
      this->SetError(key, value);
    }
    return value;
  }

  double Number(const std::string& key, double fallback) {
    const auto found = this->values.find(key);
    if (found == this->values.end()) {
      this->settings.defaulted.push_back(key);
      return fallback;
    }
    double number = 0;
    if (!absl::SimpleAtod(found->second, &number) || number < 0) {
      this->SetError(key, found->second);
      return fallback;
    }
    return number;
  }

  absl::Duration Seconds(const std::string& key, absl::Duration fallback) {
    return absl::Seconds(this->Number(key, absl::ToDoubleSeconds(fallback)));
  }

  void SetError(const std::string& key, const std::string& value) {
    if (this->error.key.empty()) {
      this->error = {key, value};
    }
  }
};

Values ParseLines(absl::string_view text) {
  Values values;
  for (absl::string_view line : absl::StrSplit(text, '\n')) {
    const std::pair<absl::string_view, absl::string_view> pair =
        absl::StrSplit(line, absl::MaxSplits('=', 1));
    values[std::string(absl::StripAsciiWhitespace(pair.first))] =
        std::string(absl::StripAsciiWhitespace(pair.second));
  }
  return values;
}

/// Expands each `name=value` element of the list `bounds` to a key
/// `bounds.name`.
void ExpandBounds(Values& values) {
  const auto found = values.find("bounds");
  if (found == values.end()) {
    return;
  }
  const std::string list = found->second;
  for (absl::string_view bound : absl::StrSplit(list, ',')) {
    const std::pair<absl::string_view, absl::string_view> pair =
        absl::StrSplit(bound, absl::MaxSplits('=', 1));
    values["bounds." + std::string(absl::StripAsciiWhitespace(pair.first))] =
        std::string(absl::StripAsciiWhitespace(pair.second));
  }
}

uint16_t FirstPort(Lookup& lookup) {
  const std::string range = lookup.Required("internal_port_range");
  uint32_t port = 0;
  if (!absl::SimpleAtoi(range.substr(0, range.find(',')), &port) || port == 0 ||
      port > 65535) {
    lookup.SetError("internal_port_range", range);
  }
  return static_cast<uint16_t>(port);
}

}  // namespace

base::Result<BootSettings, BootSettingsError> ParseBootSettings(
    absl::string_view text) {
  Values values = ParseLines(text);
  ExpandBounds(values);
  BootSettings settings;
  Lookup lookup{values, settings, {}};
  proxy::NodeSettings& node = settings.node;
  node.vm_id = lookup.Required("node_id");
  node.host = lookup.Required("ip");
  node.availability_zone = lookup.Required("zone");
  node.service = lookup.Required("service");
  // Outbound from the view of the VM: its own clients and its worker connect
  // here.
  node.caller_address = lookup.Address("listen_addrs.outbound");
  node.ready_address = lookup.Address("listen_addrs.ready");
  // The platform calls the worker the app.
  node.worker_address = lookup.Address("app_addr");
  node.store_address = lookup.Address("platform.address");
  node.peer_port = FirstPort(lookup);
  node.memory_bytes = static_cast<uint64_t>(
      lookup.Number("limits.memory_mb",
                    static_cast<double>(node.memory_bytes) / kMebibyte) *
      kMebibyte);
  node.max_descriptors = static_cast<uint32_t>(
      lookup.Number("limits.max_fds", node.max_descriptors));
  node.shutdown_grace_period =
      lookup.Seconds("bounds.grace_s", node.shutdown_grace_period);
  node.change_deadline =
      std::min(lookup.Seconds("bounds.config_apply_s", node.change_deadline),
               lookup.Seconds("bounds.drain_s", node.change_deadline));
  // The store drops an entry after three reports that did not come.
  node.entry_lifetime =
      3 * lookup.Seconds("heartbeat_s", kReportInterval) + kEntryLifetimeMargin;
  node.retry_budget_ratio =
      lookup.Number("bounds.retry_budget_ratio", node.retry_budget_ratio);
  node.retry_budget_allowance =
      lookup.Number("bounds.budget_slack", node.retry_budget_allowance);
  node.retry_budget_window =
      lookup.Seconds("bounds.budget_window_s", node.retry_budget_window);
  if (!lookup.error.key.empty()) {
    return lookup.error;
  }
  return settings;
}

}  // namespace boragepaddle::platform
