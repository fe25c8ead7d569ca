#include "boragepaddle/platform/store_client.h"

#include <limits>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

#include "absl/strings/escaping.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "boragepaddle/event/http_exchange.h"
#include "boragepaddle/platform/bounded_json.h"

namespace boragepaddle::platform {

namespace {

using event::SourceError;
using event::SourceErrorCode;
using event::SourcePage;
using Json = nlohmann::json;

/// Timeout of a range read. The store usually answers within milliseconds, but
/// a slow answer is still useful.
constexpr absl::Duration kReadTimeout = absl::Seconds(2);

constexpr char kEraField[] = "Store-Era";

constexpr uint32_t kOk = 200;
constexpr uint32_t kGone = 410;

/// Percent-encodes all characters except letters, digits, '-', '_' and '.'.
std::string QueryValue(absl::string_view text) {
  std::string encoded;
  for (const char c : text) {
    if (absl::ascii_isalnum(static_cast<unsigned char>(c)) || c == '-' ||
        c == '_' || c == '.') {
      encoded.push_back(c);
    } else {
      absl::StrAppend(
          &encoded, "%",
          absl::Hex(static_cast<unsigned char>(c), absl::kZeroPad2));
    }
  }
  return encoded;
}

uint64_t Unsigned(const Json& object, const char* name) {
  const auto found = object.find(name);
  return found != object.end() && found->is_number_unsigned()
             ? found->get<uint64_t>()
             : 0;
}

// The platform's eras may start at 0, which stands for an unknown one here. So
// does a field that is missing or not a whole number.
uint64_t DecodeEra(const std::vector<schema::HttpField>& fields) {
  uint64_t era = 0;
  const bool is_valid =
      absl::SimpleAtoi(event::FieldValue(fields, kEraField), &era) &&
      era < std::numeric_limits<uint64_t>::max();
  return is_valid ? era + 1 : 0;
}

bool DecodeItem(const Json& object, schema::KeyValue* item) {
  if (!object.is_object() || !object.contains("key") ||
      !object["key"].is_string()) {
    return false;
  }
  item->key = object["key"].get<std::string>();
  item->revision = Unsigned(object, "revision");
  const auto removed = object.find("removed");
  item->removed =
      removed != object.end() && removed->is_boolean() && removed->get<bool>();
  const auto value = object.find("value");
  if (value != object.end() && value->is_string()) {
    // A value that is not base64 stays empty, which is not a valid document.
    absl::Base64Unescape(value->get<std::string>(), &item->value);
  }
  return true;
}

}  // namespace

StoreClient::StoreClient(boost::asio::io_context& loop,
                         const event::Tcp::endpoint& store)
    : http(loop, store) {}

void StoreClient::List(absl::string_view prefix,
                       absl::string_view after_key,
                       event::ReadMode mode,
                       Callback callback) {
  std::string target =
      absl::StrCat("/boragepaddle/kv-range?prefix=", QueryValue(prefix));
  if (!after_key.empty()) {
    absl::StrAppend(&target, "&after=", QueryValue(after_key));
  }
  if (mode == event::ReadMode::kMaybeStale) {
    absl::StrAppend(&target, "&serializable=1");
  }
  this->http.Get(target, kReadTimeout,
                 [callback = std::move(callback)](event::HttpGetResult result) {
                   callback(DecodePage(result));
                 });
}

void StoreClient::Watch(absl::string_view prefix,
                        uint64_t after_revision,
                        absl::Duration wait,
                        absl::Duration response_margin,
                        Callback callback) {
  const std::string target = absl::StrCat(
      "/boragepaddle/kv-watch?prefix=", QueryValue(prefix),
      "&after=", after_revision, "&wait_ms=", absl::ToInt64Milliseconds(wait));
  this->http.Get(target, wait + response_margin,
                 [callback = std::move(callback)](event::HttpGetResult result) {
                   callback(DecodePage(result));
                 });
}

void StoreClient::Abort() {
  this->http.Abort();
}

base::Result<SourcePage, SourceError> DecodePage(
    const event::HttpGetResult& response) {
  const uint32_t status = response.status;
  if (status == 0) {
    return SourceError{SourceErrorCode::kUnreachable, status};
  }
  if (status == kGone) {
    return SourceError{SourceErrorCode::kCompacted, status};
  }
  if (status != kOk) {
    return SourceError{SourceErrorCode::kRefused, status};
  }
  const Json document = ParseBoundedObject(response.body);
  if (document.is_null()) {
    return SourceError{SourceErrorCode::kMalformed, status};
  }
  SourcePage page;
  page.era = DecodeEra(response.fields);
  // Revision of the store at the time of the response.
  page.as_of = Unsigned(document, "as_of");
  const auto more = document.find("truncated");
  page.more = more != document.end() && more->is_boolean() && more->get<bool>();
  // Range reads return `items` and watches `events`, in the same format.
  for (const char* list : {"items", "events"}) {
    const auto found = document.find(list);
    if (found == document.end() || !found->is_array()) {
      continue;
    }
    for (const Json& object : *found) {
      schema::KeyValue item;
      if (!DecodeItem(object, &item)) {
        return SourceError{SourceErrorCode::kMalformed, status};
      }
      page.items.push_back(std::move(item));
    }
  }
  return page;
}

}  // namespace boragepaddle::platform
