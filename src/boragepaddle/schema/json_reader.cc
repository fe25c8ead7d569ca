#include "boragepaddle/schema/json_reader.h"

#include <algorithm>

#include "absl/container/flat_hash_set.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_join.h"

namespace boragepaddle::schema {

namespace {

constexpr uint32_t kMaxPort = 65535;
// Truncates quoted values, so that each error fits on one line.
constexpr size_t kMaxQuotedLength = 80;
// Valid settings nest 6 levels deep. Quoting a value in an error recurses once
// per level, so a file of 1 MB of brackets would overflow the stack.
constexpr int kMaxDepth = 32;

std::string Quote(const nlohmann::json& json) {
  std::string text =
      json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  if (text.size() > kMaxQuotedLength) {
    text.resize(kMaxQuotedLength);
    text += "...";
  }
  return text;
}

// Parser callback that detects duplicate keys and deep nesting, which the
// parser accepts.
class DocumentValidator {
 public:
  // Returns false to make the parser discard the value.
  bool OnEvent(int depth,
               nlohmann::json::parse_event_t event,
               const nlohmann::json& value) {
    using Event = nlohmann::json::parse_event_t;
    this->too_deep |= depth > kMaxDepth;
    if (this->too_deep) {
      return false;
    }
    if (event == Event::object_start) {
      this->Open();
    } else if (event == Event::object_end) {
      --this->open_count;
    } else if (event == Event::key) {
      const auto& key = value.get_ref<const std::string&>();
      if (!this->keys[this->open_count - 1].insert(key).second) {
        this->duplicate_key = key;
      }
    }
    return true;
  }

  // Returns the description of the error; empty if there is none.
  std::string Error() const {
    if (this->too_deep) {
      return absl::StrCat("nested deeper than ", kMaxDepth);
    }
    if (!this->duplicate_key.empty()) {
      return absl::StrCat("key ", this->duplicate_key, " twice in one object");
    }
    return "";
  }

 private:
  void Open() {
    if (this->open_count == this->keys.size()) {
      this->keys.emplace_back();
    }
    this->keys[this->open_count].clear();
    ++this->open_count;
  }

  bool too_deep = false;
  std::string duplicate_key;
  // Keys of the open objects, outermost first. The set of a closed object is
  // reused for the next one, as a file has one object per operation.
  std::vector<absl::flat_hash_set<std::string>> keys;
  size_t open_count = 0;
};

}  // namespace

JsonReader::JsonReader(const nlohmann::json& json,
                       absl::string_view file,
                       std::string path,
                       SettingsErrors* errors)
    : json(json), file(file), path(std::move(path)), errors(errors) {
  if (!json.is_object()) {
    errors->push_back({SettingsErrorCode::kWrongType, std::string(file),
                       this->path, Quote(json), "an object"});
  }
}

void JsonReader::ReadNumber(absl::string_view key,
                            Presence presence,
                            NumberRange range,
                            uint32_t* value) {
  const nlohmann::json* found = this->Find(key, presence);
  if (found == nullptr) {
    return;
  }
  const std::string expected =
      absl::StrCat("a whole number from ", range.min, " to ", range.max);
  if (!found->is_number_integer()) {
    this->AddError(SettingsErrorCode::kWrongType, key, Quote(*found), expected);
    return;
  }
  const bool negative =
      !found->is_number_unsigned() && found->get<int64_t>() < 0;
  const uint64_t number = negative ? 0 : found->get<uint64_t>();
  if (negative || number < range.min || number > range.max) {
    this->AddError(SettingsErrorCode::kOutOfRange, key, Quote(*found),
                   expected);
    return;
  }
  *value = static_cast<uint32_t>(number);
}

void JsonReader::ReadBool(absl::string_view key,
                          Presence presence,
                          bool* value) {
  const nlohmann::json* found = this->Find(key, presence);
  if (found == nullptr) {
    return;
  }
  if (!found->is_boolean()) {
    this->AddError(SettingsErrorCode::kWrongType, key, Quote(*found),
                   "true or false");
    return;
  }
  *value = found->get<bool>();
}

void JsonReader::ReadString(absl::string_view key,
                            Presence presence,
                            std::string* value) {
  const nlohmann::json* found = this->Find(key, presence);
  if (found == nullptr) {
    return;
  }
  if (!found->is_string() || found->get_ref<const std::string&>().empty()) {
    this->AddError(SettingsErrorCode::kWrongType, key, Quote(*found),
                   "a string that is not empty");
    return;
  }
  *value = found->get<std::string>();
}

void JsonReader::ReadAddress(absl::string_view key,
                             Presence presence,
                             std::string* value) {
  const size_t errors_before = this->errors->size();
  std::string address;
  this->ReadString(key, presence, &address);
  if (address.empty() || this->errors->size() != errors_before) {
    return;
  }
  this->CheckAddress(key, address);
  *value = std::move(address);
}

void JsonReader::ReadChoice(absl::string_view key,
                            Presence presence,
                            std::initializer_list<absl::string_view> choices,
                            std::string* value) {
  const size_t errors_before = this->errors->size();
  this->ReadString(key, presence, value);
  if (this->errors->size() != errors_before) {
    return;
  }
  if (std::find(choices.begin(), choices.end(), *value) == choices.end()) {
    this->AddError(SettingsErrorCode::kUnknownValue, key, *value,
                   absl::StrCat("one of ", absl::StrJoin(choices, ", ")));
  }
}

void JsonReader::ReadStrings(absl::string_view key,
                             Presence presence,
                             std::vector<std::string>* values) {
  const nlohmann::json* list = this->FindList(key, presence);
  if (list == nullptr) {
    return;
  }
  for (const nlohmann::json& entry : *list) {
    if (!entry.is_string()) {
      this->AddError(SettingsErrorCode::kWrongType, key, Quote(entry),
                     "a list of strings");
      return;
    }
    values->push_back(entry.get<std::string>());
  }
}

void JsonReader::ReadAddresses(absl::string_view key,
                               Presence presence,
                               std::vector<std::string>* values) {
  this->ReadStrings(key, presence, values);
  for (const std::string& address : *values) {
    this->CheckAddress(key, address);
  }
}

void JsonReader::RejectUnknownKeys() {
  if (!this->json.is_object()) {
    return;
  }
  for (const auto& item : this->json.items()) {
    const auto& known = this->known_keys;
    if (std::find(known.begin(), known.end(), item.key()) == known.end()) {
      this->AddError(SettingsErrorCode::kUnknownKey, item.key(), "",
                     absl::StrCat("one of ", absl::StrJoin(known, ", ")));
    }
  }
}

const nlohmann::json* JsonReader::Find(absl::string_view key,
                                       Presence presence) {
  this->known_keys.emplace_back(key);
  if (!this->json.is_object()) {
    return nullptr;
  }
  const auto found = this->json.find(std::string(key));
  if (found != this->json.end()) {
    return &*found;
  }
  if (presence == Presence::kRequired) {
    this->AddError(SettingsErrorCode::kMissingKey, key, "", "");
  }
  return nullptr;
}

const nlohmann::json* JsonReader::FindList(absl::string_view key,
                                           Presence presence) {
  const nlohmann::json* found = this->Find(key, presence);
  if (found == nullptr || found->is_array()) {
    return found;
  }
  this->AddError(SettingsErrorCode::kWrongType, key, Quote(*found), "a list");
  return nullptr;
}

std::string JsonReader::PathOf(absl::string_view key) const {
  if (this->path.empty()) {
    return std::string(key);
  }
  return absl::StrCat(this->path, ".", key);
}

void JsonReader::AddError(SettingsErrorCode code,
                          absl::string_view key,
                          absl::string_view value,
                          absl::string_view expected) {
  this->errors->push_back({code, std::string(this->file), this->PathOf(key),
                           std::string(value), std::string(expected)});
}

void JsonReader::CheckAddress(absl::string_view key,
                              absl::string_view address) {
  const size_t colon = address.rfind(':');
  uint32_t port = 0;
  const bool valid = colon != absl::string_view::npos && colon > 0 &&
                     absl::SimpleAtoi(address.substr(colon + 1), &port) &&
                     port <= kMaxPort;
  if (!valid) {
    this->AddError(SettingsErrorCode::kBadAddress, key, address,
                   "an IP address and a port, such as 127.0.0.1:8080");
  }
}

bool ParseJson(absl::string_view file,
               absl::string_view text,
               nlohmann::json* json,
               SettingsErrors* errors) {
  DocumentValidator validator;
  const auto on_event = [&validator](int depth,
                                     nlohmann::json::parse_event_t event,
                                     nlohmann::json& value) {
    return validator.OnEvent(depth, event, value);
  };
  std::string detail;
  try {
    *json = nlohmann::json::parse(text, on_event, /*allow_exceptions=*/true,
                                  /*ignore_comments=*/true);
  } catch (const nlohmann::json::parse_error& error) {
    detail = absl::StrCat("at byte ", error.byte);
  } catch (const nlohmann::json::out_of_range&) {
    // Thrown for a number that no type can represent.
    detail = "number out of range";
  }
  if (detail.empty()) {
    detail = validator.Error();
  }
  if (detail.empty()) {
    return true;
  }
  errors->push_back({SettingsErrorCode::kSyntax, std::string(file), "",
                     std::move(detail), "JSON with comments"});
  return false;
}

}  // namespace boragepaddle::schema
