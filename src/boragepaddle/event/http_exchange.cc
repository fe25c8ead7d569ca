#include "boragepaddle/event/http_exchange.h"

#include "absl/strings/match.h"

namespace boragepaddle::event {

absl::string_view FieldValue(const std::vector<schema::HttpField>& fields,
                             absl::string_view name) {
  for (const schema::HttpField& field : fields) {
    if (absl::EqualsIgnoreCase(field.name, name)) {
      return field.value;
    }
  }
  return {};
}

bool HasField(const std::vector<schema::HttpField>& fields,
              absl::string_view name) {
  for (const schema::HttpField& field : fields) {
    if (absl::EqualsIgnoreCase(field.name, name)) {
      return true;
    }
  }
  return false;
}

bool IsConnectionField(absl::string_view name) {
  static constexpr absl::string_view kNames[] = {
      "Connection",     "Keep-Alive",          "Proxy-Connection",  "TE",
      "Trailer",        "Transfer-Encoding",   "Upgrade",           "Expect",
      "Content-Length", "Proxy-Authorization", "Proxy-Authenticate"};
  for (const absl::string_view candidate : kNames) {
    if (absl::EqualsIgnoreCase(candidate, name)) {
      return true;
    }
  }
  return false;
}

}  // namespace boragepaddle::event
