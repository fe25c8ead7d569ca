#ifndef BORAGEPADDLE_CTL_RENDER_H_
#define BORAGEPADDLE_CTL_RENDER_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "boragepaddle/config/config_error.h"
#include "boragepaddle/config/diff.h"
#include "boragepaddle/config/explain.h"
#include "boragepaddle/config/membership.h"
#include "boragepaddle/config/service_table.h"

namespace boragepaddle::ctl {

/// JSON that preserves the insertion order of keys.
using Json = nlohmann::ordered_json;

/// Formats a digest as 16 hexadecimal digits.
std::string DigestText(uint64_t digest);

/// Formats JSON with a trailing line break. Invalid UTF-8 is replaced.
std::string JsonText(const Json& json);

Json ToJson(const config::ConfigErrors& errors);
Json ToJson(const std::vector<config::Change>& changes);
Json ToJson(const config::Explanation& explanation);
Json ToJson(const config::ServiceTable& table);

/// Adds the keys `members` and `candidates`.
void AddMembership(const config::Membership& membership, Json* json);

/// Formats one line per member and candidate.
std::string ToText(const config::Membership& membership);
/// Formats one line per service and operation.
std::string ToText(const config::ServiceTable& table);
std::string ToText(const config::Explanation& explanation);
std::string ToText(const std::vector<config::Change>& changes);

}  // namespace boragepaddle::ctl

#endif  // BORAGEPADDLE_CTL_RENDER_H_
