#include "boragepaddle/platform/documents.h"

#include <cmath>
#include <nlohmann/json.hpp>
#include <utility>

#include "absl/container/flat_hash_set.h"
#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/time/time.h"
#include "boragepaddle/event/socket_options.h"
#include "boragepaddle/platform/bounded_json.h"

namespace boragepaddle::platform {

namespace {

using Json = nlohmann::json;
using proxy::DocumentFault;

/// Limit on counts, such as slots and weights.
constexpr uint64_t kMaxCount = 1'000'000'000;

/// Largest integer that a JSON number holds exactly.
constexpr uint64_t kMaxInteger = uint64_t{1} << 53;

/// Reads fields and keeps the first error, so that callers need to check for
/// errors only once, at the end.
struct Reader {
  std::string error;

  void Fail(absl::string_view detail) {
    if (this->error.empty()) {
      this->error = std::string(detail);
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
      this->Fail(absl::StrCat(name, ": missing or not a string"));
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
      this->Fail(absl::StrCat(name, ": not a finite, non-negative number"));
      return fallback;
    }
    return value->get<double>();
  }

  /// A number that is used as an integer; fractions are cut off.
  uint64_t Integer(const Json& object,
                   const char* name,
                   uint64_t fallback,
                   uint64_t max) {
    const double number =
        this->Number(object, name, static_cast<double>(fallback));
    if (number > static_cast<double>(max)) {
      this->Fail(absl::StrCat(name, ": too large"));
      return fallback;
    }
    return static_cast<uint64_t>(number);
  }

  uint32_t Integer32(const Json& object, const char* name, uint32_t fallback) {
    return static_cast<uint32_t>(
        this->Integer(object, name, fallback, kMaxCount));
  }

  bool Flag(const Json& object, const char* name) {
    const Json* value = this->Find(object, name);
    if (value != nullptr && !value->is_boolean()) {
      this->Fail(absl::StrCat(name, ": not a boolean"));
      return false;
    }
    return value != nullptr && value->get<bool>();
  }

  absl::Duration Seconds(const Json& object,
                         const char* name,
                         absl::Duration fallback) {
    const double seconds = this->Number(object, name, -1);
    return seconds < 0 ? fallback : absl::Seconds(seconds);
  }
};

/// Converts a table of `columns` and `rows` to one object per row. Null values
/// are omitted.
std::vector<Json> ReadTable(Reader& reader,
                            const Json& document,
                            const char* name) {
  std::vector<Json> objects;
  const Json* table = reader.Find(document, name);
  const Json* columns = table ? reader.Find(*table, "columns") : nullptr;
  const Json* rows = table ? reader.Find(*table, "rows") : nullptr;
  if (columns == nullptr || rows == nullptr || !columns->is_array() ||
      !rows->is_array()) {
    reader.Fail(absl::StrCat(name, ": missing or not a table"));
    return objects;
  }
  for (const Json& row : *rows) {
    Json object = Json::object();
    if (!row.is_array() || row.size() != columns->size()) {
      reader.Fail(absl::StrCat(name, ": row does not match the columns"));
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
    reader.Fail("traffic_split: not a list or empty");
    return targets;
  }
  for (const Json& part : *split) {
    targets.push_back(
        {reader.Text(part, "service"), reader.Number(part, "weight", 1)});
  }
  return targets;
}

catalog::Route ReadRoute(Reader& reader, const Json& row) {
  catalog::Route route;
  route.name = reader.Text(row, "name");
  route.host = reader.Text(row, "authority");
  route.prefix = reader.Text(row, "prefix");
  // All other route types run at most once: `non_idempotent`, `upload`, and any
  // that may be added later.
  route.idempotent = reader.Text(row, "route_type") == "idempotent";
  // Longest time for which callers should wait; does not limit the worker.
  route.timeout = reader.Seconds(row, "timeout_s", absl::InfiniteDuration());
  route.latency_objective =
      reader.Seconds(row, "target_latency_s", absl::InfiniteDuration());
  route.priority = reader.Integer32(row, "priority", 9);
  // Number of distinct workers that one client attempt may reach, not the
  // number of times that it is sent to one worker.
  route.max_workers = reader.Integer32(row, "max_attempts", 1);
  route.is_public = reader.Flag(row, "public");
  route.targets = ReadTargets(reader, row);
  if (!absl::StartsWith(route.prefix, "/") ||
      !absl::EndsWith(route.prefix, "/")) {
    reader.Fail(absl::StrCat("prefix does not start and end with '/' in route ",
                             route.name));
  }
  return route;
}

/// Reads the keys of the last account. Error messages do not contain keys.
void ReadKeys(Reader& reader, const Json& row, catalog::RouteCatalog& catalog) {
  const size_t index = catalog.accounts.size() - 1;
  const std::string& account = catalog.accounts.back().name;
  const Json* keys = reader.Find(row, "api_keys");
  if (keys == nullptr || !keys->is_array()) {
    reader.Fail(absl::StrCat("api_keys: missing or not a list in ", account));
    return;
  }
  for (const Json& key : *keys) {
    if (!key.is_string() || key.get_ref<const std::string&>().empty()) {
      reader.Fail(absl::StrCat("api_keys: not a string or empty in ", account));
      return;
    }
    const auto [entry, inserted] =
        catalog.account_by_key.try_emplace(key.get<std::string>(), index);
    if (!inserted && entry->second != index) {
      reader.Fail(absl::StrCat("api_keys: key of ",
                               catalog.accounts[entry->second].name,
                               " repeated in ", account));
      return;
    }
  }
}

// Unknown columns are ignored, as in the other tables, so that the platform can
// add some.
void ReadAccounts(Reader& reader,
                  const Json& document,
                  catalog::RouteCatalog& catalog) {
  if (reader.Find(document, "tenants") == nullptr) {
    return;
  }
  catalog.requires_key = true;
  absl::flat_hash_set<std::string> names;
  for (const Json& row : ReadTable(reader, document, "tenants")) {
    catalog::ClientAccount account;
    account.name = reader.Text(row, "name");
    if (reader.Find(row, "priority") != nullptr) {
      account.priority = reader.Integer32(row, "priority", 0);
    }
    account.rate_per_s = reader.Number(row, "rate_per_s", 0);
    account.burst = reader.Number(row, "burst", 0);
    if (!names.insert(account.name).second) {
      reader.Fail(absl::StrCat("tenants: repeated name ", account.name));
    }
    catalog.accounts.push_back(std::move(account));
    ReadKeys(reader, row, catalog);
  }
}

catalog::ClientLimits ReadLimits(Reader& reader, const Json& document) {
  catalog::ClientLimits limits;
  const Json* object = reader.Find(document, "limits");
  if (object == nullptr) {
    return limits;
  }
  limits.max_header_bytes = reader.Integer(
      *object, "max_header_bytes", limits.max_header_bytes, kMaxInteger);
  limits.max_body_bytes = reader.Integer(*object, "max_body_bytes",
                                         limits.max_body_bytes, kMaxInteger);
  limits.header_timeout =
      reader.Seconds(*object, "header_timeout_s", limits.header_timeout);
  limits.idle_timeout =
      reader.Seconds(*object, "idle_timeout_s", limits.idle_timeout);
  return limits;
}

std::string HostOf(absl::string_view address) {
  return std::string(address.substr(0, address.rfind(':')));
}

}  // namespace

base::Result<catalog::RouteCatalog, DocumentFault> DecodeCatalog(
    absl::string_view document) {
  const Json parsed = ParseBoundedObject(document);
  if (parsed.is_null()) {
    return DocumentFault{"no JSON object"};
  }
  Reader reader;
  catalog::RouteCatalog catalog;
  catalog.version = reader.Text(parsed, "version");
  // Versions are hexadecimal numbers that increase.
  if (!absl::SimpleHexAtoi(catalog.version, &catalog.version_order)) {
    catalog.version_order = 0;
  }
  for (const Json& row : ReadTable(reader, parsed, "routes")) {
    catalog.routes.push_back(ReadRoute(reader, row));
  }
  for (const Json& row : ReadTable(reader, parsed, "services")) {
    catalog.services.push_back({reader.Text(row, "name"),
                                reader.Integer32(row, "max_connections", 0)});
  }
  ReadAccounts(reader, parsed, catalog);
  catalog.limits = ReadLimits(reader, parsed);
  if (!reader.error.empty()) {
    return DocumentFault{reader.error};
  }
  IndexRoutes(catalog);
  return catalog;
}

base::Result<catalog::WorkerEntry, DocumentFault> DecodeWorker(
    absl::string_view key,
    absl::string_view document) {
  const Json parsed = ParseBoundedObject(document);
  if (parsed.is_null()) {
    return DocumentFault{"no JSON object"};
  }
  Reader reader;
  catalog::WorkerEntry entry;
  // The document does not contain the instance id.
  entry.instance = std::string(key.substr(key.rfind('/') + 1));
  entry.service = reader.Text(parsed, "service");
  entry.address = reader.Text(parsed, "address");
  entry.host = HostOf(entry.address);
  entry.availability_zone = reader.Text(parsed, "zone");
  entry.slots = reader.Integer32(parsed, "slots", 0);
  // Unused here; every worker writes them, so an entry without them comes from
  // another writer.
  reader.Text(parsed, "version");
  if (reader.Number(parsed, "sequence", -1) < 0) {
    reader.Fail("sequence: missing");
  }
  const std::string state = reader.Text(parsed, "state");
  entry.draining = state == "draining";
  entry.warm_up_remaining =
      reader.Seconds(parsed, "cold_remaining_s", absl::ZeroDuration());
  entry.started_ms =
      static_cast<int64_t>(reader.Integer(parsed, "born", 0, kMaxInteger));
  const Json* born = reader.Find(parsed, "born");
  if (born != nullptr && !born->is_number_integer()) {
    reader.Fail("born: not a whole number");
  }
  if (state != "ready" && state != "draining") {
    reader.Fail("state: neither ready nor draining");
  }
  const auto endpoint = event::ParseEndpoint(entry.address);
  if (entry.instance.empty() || !endpoint || endpoint->port() == 0 ||
      entry.slots == 0) {
    reader.Fail("instance id, address or slots missing or invalid");
  }
  if (!reader.error.empty()) {
    return DocumentFault{reader.error};
  }
  return entry;
}

}  // namespace boragepaddle::platform
