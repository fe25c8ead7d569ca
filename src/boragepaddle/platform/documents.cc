#include "boragepaddle/platform/documents.h"

#include <cmath>
#include <nlohmann/json.hpp>
#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/time/time.h"

namespace boragepaddle::platform {

namespace {

using Json = nlohmann::json;
using proxy::DocumentFault;

/// Collects the first fault, so that decoding reads straight on.
struct Reader {
  std::string fault;

  void Fail(absl::string_view detail) {
    if (this->fault.empty()) {
      this->fault = std::string(detail);
    }
  }

  const Json* Find(const Json& object, const char* name) {
    if (!object.is_object()) {
      return nullptr;
    }
    const auto found = object.find(name);
    return found == object.end() || found->is_null() ? nullptr : &*found;
  }

  std::string Text(const Json& object, const char* name) {
    const Json* value = this->Find(object, name);
    if (value == nullptr || !value->is_string()) {
      this->Fail(absl::StrCat(name, ": no text"));
      return "";
    }
    return value->get<std::string>();
  }

  double Number(const Json& object, const char* name, double fallback) {
    const Json* value = this->Find(object, name);
    if (value == nullptr) {
      return fallback;
    }
    if (!value->is_number() || !std::isfinite(value->get<double>()) ||
        value->get<double>() < 0) {
      this->Fail(absl::StrCat(name, ": no number"));
      return fallback;
    }
    return value->get<double>();
  }

  absl::Duration Seconds(const Json& object,
                         const char* name,
                         absl::Duration fallback) {
    const double seconds = this->Number(object, name, -1);
    return seconds < 0 ? fallback : absl::Seconds(seconds);
  }
};

/// Turns `columns` and `rows` into objects; null values are left out.
std::vector<Json> ReadTable(Reader& reader,
                            const Json& document,
                            const char* name) {
  std::vector<Json> objects;
  const Json* table = reader.Find(document, name);
  const Json* columns = table ? reader.Find(*table, "columns") : nullptr;
  const Json* rows = table ? reader.Find(*table, "rows") : nullptr;
  if (columns == nullptr || rows == nullptr || !columns->is_array() ||
      !rows->is_array()) {
    reader.Fail(absl::StrCat(name, ": no table"));
    return objects;
  }
  for (const Json& row : *rows) {
    Json object = Json::object();
    if (!row.is_array() || row.size() != columns->size()) {
      reader.Fail(absl::StrCat(name, ": row of another length"));
      return objects;
    }
    for (size_t index = 0; index < row.size(); ++index) {
      if ((*columns)[index].is_string() && !row[index].is_null()) {
        object[(*columns)[index].get<std::string>()] = row[index];
      }
    }
    objects.push_back(std::move(object));
  }
  return objects;
}

std::vector<catalog::RouteTarget> ReadTargets(Reader& reader, const Json& row) {
  const Json* split = reader.Find(row, "traffic_split");
  if (split == nullptr) {
    return {{reader.Text(row, "service"), 1}};
  }
  std::vector<catalog::RouteTarget> targets;
  if (!split->is_array() || split->empty()) {
    reader.Fail("traffic_split: no list");
    return targets;
  }
  for (const Json& part : *split) {
    targets.push_back(
        {reader.Text(part, "service"),
         static_cast<uint32_t>(reader.Number(part, "weight", 1))});
  }
  return targets;
}

catalog::Route ReadRoute(Reader& reader, const Json& row) {
  catalog::Route route;
  route.name = reader.Text(row, "name");
  route.host = reader.Text(row, "authority");
  route.prefix = reader.Text(row, "prefix");
  // Anything but `idempotent` runs at most once: `non_idempotent`, `upload`
  // and kinds that come later.
  route.idempotent = reader.Text(row, "route_type") == "idempotent";
  // Longest wait that the operators want, not a limit on the worker.
  route.timeout = reader.Seconds(row, "timeout_s", absl::InfiniteDuration());
  route.latency_objective =
      reader.Seconds(row, "target_latency_s", absl::InfiniteDuration());
  route.priority = static_cast<uint32_t>(reader.Number(row, "priority", 9));
  // Workers that one client attempt may reach, not sends to one worker.
  route.max_workers =
      static_cast<uint32_t>(reader.Number(row, "max_attempts", 1));
  route.targets = ReadTargets(reader, row);
  if (!absl::StartsWith(route.prefix, "/") ||
      !absl::EndsWith(route.prefix, "/")) {
    reader.Fail(absl::StrCat("prefix of route ", route.name));
  }
  return route;
}

catalog::ClientLimits ReadLimits(Reader& reader, const Json& document) {
  catalog::ClientLimits limits;
  const Json* object = reader.Find(document, "limits");
  if (object == nullptr) {
    return limits;
  }
  limits.max_header_bytes = static_cast<size_t>(
      reader.Number(*object, "max_header_bytes",
                    static_cast<double>(limits.max_header_bytes)));
  limits.max_body_bytes = static_cast<uint64_t>(reader.Number(
      *object, "max_body_bytes", static_cast<double>(limits.max_body_bytes)));
  limits.header_timeout =
      reader.Seconds(*object, "header_timeout_s", limits.header_timeout);
  limits.idle_timeout =
      reader.Seconds(*object, "idle_timeout_s", limits.idle_timeout);
  return limits;
}

/// Null if the text is no JSON object.
Json ParseObject(absl::string_view document) {
  Json parsed = Json::parse(document.begin(), document.end(), nullptr,
                            /*allow_exceptions=*/false);
  return parsed.is_object() ? parsed : Json();
}

std::string HostOf(absl::string_view address) {
  return std::string(address.substr(0, address.rfind(':')));
}

}  // namespace

base::Result<catalog::RouteCatalog, DocumentFault> DecodeCatalog(
    absl::string_view document) {
  const Json parsed = ParseObject(document);
  if (parsed.is_null()) {
    return DocumentFault{"no JSON object"};
  }
  Reader reader;
  catalog::RouteCatalog catalog;
  catalog.version = reader.Text(parsed, "version");
  for (const Json& row : ReadTable(reader, parsed, "routes")) {
    catalog.routes.push_back(ReadRoute(reader, row));
  }
  for (const Json& row : ReadTable(reader, parsed, "services")) {
    catalog.services.push_back(
        {reader.Text(row, "name"),
         static_cast<uint32_t>(reader.Number(row, "max_connections", 0))});
  }
  catalog.limits = ReadLimits(reader, parsed);
  if (!reader.fault.empty()) {
    return DocumentFault{reader.fault};
  }
  IndexRoutes(catalog);
  return catalog;
}

base::Result<catalog::WorkerEntry, DocumentFault> DecodeWorker(
    absl::string_view key,
    absl::string_view document) {
  const Json parsed = ParseObject(document);
  if (parsed.is_null()) {
    return DocumentFault{"no JSON object"};
  }
  Reader reader;
  catalog::WorkerEntry entry;
  // The id stands only in the key.
  entry.instance = std::string(key.substr(key.rfind('/') + 1));
  entry.service = reader.Text(parsed, "service");
  entry.address = reader.Text(parsed, "address");
  entry.host = HostOf(entry.address);
  entry.availability_zone = reader.Text(parsed, "zone");
  entry.slots = static_cast<uint32_t>(reader.Number(parsed, "slots", 0));
  const std::string state = reader.Text(parsed, "state");
  entry.draining = state == "draining";
  entry.warm_up_remaining =
      reader.Seconds(parsed, "cold_remaining_s", absl::ZeroDuration());
  entry.started_ms = static_cast<int64_t>(reader.Number(parsed, "born", 0));
  if (state != "ready" && state != "draining") {
    reader.Fail("state: unknown");
  }
  if (entry.instance.empty() || entry.host.empty() ||
      entry.host == entry.address || entry.slots == 0) {
    reader.Fail("address or slots missing");
  }
  if (!reader.fault.empty()) {
    return DocumentFault{reader.fault};
  }
  return entry;
}

}  // namespace boragepaddle::platform
