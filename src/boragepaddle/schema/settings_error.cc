#include "boragepaddle/schema/settings_error.h"

#include "absl/strings/str_cat.h"

namespace boragepaddle::schema {

const char* ToString(SettingsErrorCode code) {
  switch (code) {
    case SettingsErrorCode::kSyntax:
      return "syntax error";
    case SettingsErrorCode::kMissingKey:
      return "missing key";
    case SettingsErrorCode::kUnknownKey:
      return "unknown key";
    case SettingsErrorCode::kWrongType:
      return "wrong type";
    case SettingsErrorCode::kOutOfRange:
      return "out of range";
    case SettingsErrorCode::kUnknownValue:
      return "unknown value";
    case SettingsErrorCode::kBadAddress:
      return "bad address";
  }
  return "invalid";
}

std::string Describe(const SettingsError& error) {
  std::string text = absl::StrCat(error.file, ": ");
  if (!error.path.empty()) {
    absl::StrAppend(&text, error.path, ": ");
  }
  absl::StrAppend(&text, ToString(error.code));
  if (!error.value.empty()) {
    absl::StrAppend(&text, " ", error.value);
  }
  if (!error.expected.empty()) {
    absl::StrAppend(&text, "; expected ", error.expected);
  }
  return text;
}

}  // namespace boragepaddle::schema
