#include "boragepaddle/admission/worker_load.h"

#include <array>

#include "absl/strings/ascii.h"

namespace boragepaddle::admission {

namespace {

constexpr uint32_t kMaxFigure = 1000000;
constexpr size_t kMaxDigits = 7;
constexpr size_t kFiguresWithoutSpeed = 3;
constexpr size_t kFiguresWithSpeed = 4;

absl::optional<uint32_t> ParseFigure(absl::string_view text) {
  if (text.empty() || text.size() > kMaxDigits) {
    return absl::nullopt;
  }
  uint32_t value = 0;
  for (const char digit : text) {
    if (!absl::ascii_isdigit(static_cast<unsigned char>(digit))) {
      return absl::nullopt;
    }
    value = value * 10 + static_cast<uint32_t>(digit - '0');
  }
  return value <= kMaxFigure ? absl::optional<uint32_t>(value) : absl::nullopt;
}

}  // namespace

absl::optional<WorkerLoadFigures> ParseWorkerLoad(absl::string_view text) {
  std::array<uint32_t, kFiguresWithSpeed> figures = {};
  size_t count = 0;
  for (bool more = true; more;) {
    const size_t comma = text.find(',');
    const auto figure = ParseFigure(text.substr(0, comma));
    if (!figure || count == figures.size()) {
      return absl::nullopt;
    }
    figures[count++] = *figure;
    more = comma != absl::string_view::npos;
    text.remove_prefix(more ? comma + 1 : text.size());
  }
  if (count < kFiguresWithoutSpeed || figures[2] == 0 ||
      (count == kFiguresWithSpeed && figures[3] == 0)) {
    return absl::nullopt;
  }
  return WorkerLoadFigures{figures[0], figures[1], figures[2], figures[3]};
}

}  // namespace boragepaddle::admission
