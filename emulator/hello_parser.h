#ifndef EMULATOR_HELLO_PARSER_H_
#define EMULATOR_HELLO_PARSER_H_

#include <cstdint>
#include <string>

#include "absl/strings/string_view.h"
#include "emulator/link_rules.h"

namespace emulator {

enum class HelloParseResult : uint8_t { kIncomplete, kParsed, kNotHello };

/// Identifies the node that opened a connection from the first bytes that it
/// sent. Returns kNotHello for any other traffic. `endpoint` is set only if the
/// result is kParsed.
HelloParseResult ParseHello(absl::string_view first_bytes,
                            LinkEndpoint* endpoint);

}  // namespace emulator

#endif  // EMULATOR_HELLO_PARSER_H_
