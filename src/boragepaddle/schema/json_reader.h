#ifndef BORAGEPADDLE_SCHEMA_JSON_READER_H_
#define BORAGEPADDLE_SCHEMA_JSON_READER_H_

#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>
#include "absl/strings/string_view.h"

#include "absl/strings/str_cat.h"
#include "boragepaddle/base/result.h"
#include "boragepaddle/schema/settings_error.h"

namespace boragepaddle::schema {

enum class Presence : uint8_t { kOptional, kRequired };

/// Accepted range of a number, both ends included.
struct NumberRange {
  uint64_t min = 0;
  uint64_t max = 0;
};

/// Reads the keys of one JSON object and collects all errors with their paths.
class JsonReader {
 public:
  JsonReader(const nlohmann::json& json,
             absl::string_view file,
             std::string path,
             SettingsErrors* errors);

  void ReadNumber(absl::string_view key,
                  Presence presence,
                  NumberRange range,
                  uint32_t* value);
  void ReadBool(absl::string_view key, Presence presence, bool* value);
  void ReadString(absl::string_view key, Presence presence, std::string* value);
  void ReadAddress(absl::string_view key,
                   Presence presence,
                   std::string* value);
  void ReadChoice(absl::string_view key,
                  Presence presence,
                  std::initializer_list<absl::string_view> choices,
                  std::string* value);
  void ReadStrings(absl::string_view key,
                   Presence presence,
                   std::vector<std::string>* values);
  void ReadAddresses(absl::string_view key,
                     Presence presence,
                     std::vector<std::string>* values);

  template <typename E>
  void ReadEnum(absl::string_view key, Presence presence, E* value) {
    std::string name;
    const size_t errors_before = this->errors->size();
    this->ReadString(key, presence, &name);
    if (name.empty() || this->errors->size() != errors_before) {
      return;
    }
    if (!FromString(name, value)) {
      this->AddError(SettingsErrorCode::kUnknownValue, key, name,
                     "a name listed in docs/reference.md");
    }
  }

  template <typename T>
  void ReadList(absl::string_view key,
                Presence presence,
                std::vector<T>* values) {
    const nlohmann::json* list = this->FindList(key, presence);
    if (list == nullptr) {
      return;
    }
    for (size_t index = 0; index < list->size(); ++index) {
      JsonReader reader((*list)[index], this->file,
                        absl::StrCat(this->PathOf(key), "[", index, "]"),
                        this->errors);
      T value;
      ReadFields(reader, &value);
      values->push_back(std::move(value));
    }
  }

  /// Reports an error for each key that no Read call has requested.
  void RejectUnknownKeys();

 private:
  const nlohmann::json* Find(absl::string_view key, Presence presence);
  const nlohmann::json* FindList(absl::string_view key, Presence presence);
  std::string PathOf(absl::string_view key) const;
  void AddError(SettingsErrorCode code,
                absl::string_view key,
                absl::string_view value,
                absl::string_view expected);
  void CheckAddress(absl::string_view key, absl::string_view address);

  const nlohmann::json& json;
  absl::string_view file;
  std::string path;
  SettingsErrors* errors;
  std::vector<std::string> known_keys;
};

/// Parses JSON with comments. On failure adds a syntax error and returns false.
bool ParseJson(absl::string_view file,
               absl::string_view text,
               nlohmann::json* json,
               SettingsErrors* errors);

template <typename T>
base::Result<T, SettingsErrors> ReadDocument(absl::string_view file,
                                             absl::string_view text,
                                             void (*read_fields)(JsonReader&,
                                                                 T*)) {
  SettingsErrors errors;
  nlohmann::json json;
  if (!ParseJson(file, text, &json, &errors)) {
    return errors;
  }
  T value;
  JsonReader reader(json, file, "", &errors);
  read_fields(reader, &value);
  if (!errors.empty()) {
    return errors;
  }
  return value;
}

}  // namespace boragepaddle::schema

#endif  // BORAGEPADDLE_SCHEMA_JSON_READER_H_
