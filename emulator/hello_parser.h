#ifndef EMULATOR_HELLO_PARSER_H_
#define EMULATOR_HELLO_PARSER_H_

#include <cstdint>
#include <string>

#include "absl/strings/string_view.h"
#include "emulator/link_rules.h"

namespace emulator {

enum class HelloParseResult : uint8_t { kIncomplete, kParsed, kNotHello };

/// Reads who opens a connection from the first bytes that a node sends. Other
/// traffic gives kNotHello. `endpoint` is set with kParsed only.
HelloParseResult ParseHello(absl::string_view first_bytes,
                            LinkEndpoint* endpoint);

}  // namespace emulator

#endif  // EMULATOR_HELLO_PARSER_H_
