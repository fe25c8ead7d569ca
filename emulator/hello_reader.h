#ifndef EMULATOR_HELLO_READER_H_
#define EMULATOR_HELLO_READER_H_

#include <cstdint>
#include <string>

#include "absl/strings/string_view.h"
#include "emulator/link_rules.h"

namespace emulator {

enum class HelloState : uint8_t { kIncomplete, kRead, kOther };

/// Reads who opens a connection from the first bytes that a node sends. Other
/// traffic gives kOther. `end` is set with kRead only.
HelloState ReadHello(absl::string_view first_bytes, LinkEnd* end);

}  // namespace emulator

#endif  // EMULATOR_HELLO_READER_H_
