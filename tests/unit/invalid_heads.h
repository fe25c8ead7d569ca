#ifndef BORAGEPADDLE_TESTS_UNIT_INVALID_HEADS_H_
#define BORAGEPADDLE_TESTS_UNIT_INVALID_HEADS_H_

#include <string>
#include <vector>

namespace boragepaddle {

/// Statuses that are no final status of a response.
inline std::vector<std::string> InvalidStatuses() {
  return {"000", "001", "099", "600", "999", "20", "2000", "-20", "2x0", "+20"};
}

/// Lines of a head whose field name is not a token (RFC 9110, 5.1).
inline std::vector<std::string> InvalidFieldLines() {
  return {"X Y: z",
          "X : z",
          "X\t: z",
          "Content-Length : 1",
          "Transfer-Encoding : chunked",
          "Content Length: 1",
          std::string("X\0Y: z", 6),
          "X\x01Y: z",
          "X\x7fY: z",
          "X\rY: z",
          "X(Y): z",
          ": z",
          "no colon"};
}

}  // namespace boragepaddle

#endif  // BORAGEPADDLE_TESTS_UNIT_INVALID_HEADS_H_
