#include "boragepaddle/event/shared_body.h"

#include <utility>

namespace boragepaddle::event {

namespace {

struct ChargedBody {
  std::string bytes;
  MemoryReservation reservation;
};

}  // namespace

SharedBody ShareBody(std::string bytes, MemoryReservation reservation) {
  auto body = std::make_shared<ChargedBody>();
  body->bytes = std::move(bytes);
  body->reservation = std::move(reservation);
  return SharedBody(body, &body->bytes);
}

}  // namespace boragepaddle::event
