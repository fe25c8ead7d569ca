#include "emulator/hello_parser.h"

#include <cstddef>
#include <variant>

#include "boragepaddle/schema/messages.h"

namespace emulator {
namespace {

constexpr size_t kLengthBytes = 4;
// A Hello is small; a longer first frame is another protocol.
constexpr size_t kMaxHelloBytes = 65'536;

size_t FrameLength(absl::string_view bytes) {
  size_t length = 0;
  for (size_t index = 0; index < kLengthBytes; ++index) {
    length = length << 8 | static_cast<unsigned char>(bytes[index]);
  }
  return length;
}

}  // namespace

HelloParseResult ParseHello(absl::string_view first_bytes,
                            LinkEndpoint* endpoint) {
  if (first_bytes.size() < kLengthBytes) {
    return HelloParseResult::kIncomplete;
  }
  const size_t length = FrameLength(first_bytes);
  if (length > kMaxHelloBytes) {
    return HelloParseResult::kNotHello;
  }
  if (first_bytes.size() < kLengthBytes + length) {
    return HelloParseResult::kIncomplete;
  }
  const auto message =
      boragepaddle::schema::Decode(first_bytes.substr(kLengthBytes, length));
  if (!message) {
    return HelloParseResult::kNotHello;
  }
  const auto* hello =
      std::get_if<boragepaddle::schema::Hello>(&message.value());
  if (hello == nullptr) {
    return HelloParseResult::kNotHello;
  }
  *endpoint = {hello->vm_id, hello->availability_zone, hello->region};
  return HelloParseResult::kParsed;
}

}  // namespace emulator
