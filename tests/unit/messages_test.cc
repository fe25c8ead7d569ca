#include "boragepaddle/schema/messages.h"

#include <doctest/doctest.h>

#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace boragepaddle::schema {
namespace {

CallRequest SampleRequest() {
  CallRequest request;
  request.attempt_id = 7;
  request.request_id = "r-1";
  request.service = "tagpress";
  request.operation = "print";
  request.call_class = CallClass::kInternal;
  request.deadline_us = -5;
  request.body = std::string("\0binary\xff", 8);
  return request;
}

TEST_CASE("messages: a call request survives encoding unchanged") {
  const auto decoded = Decode(Encode(SampleRequest()));
  REQUIRE(decoded.has_value());
  CHECK(std::get<CallRequest>(decoded.value()) == SampleRequest());
}

// Guards against a crash or an exception on truncated frames.
TEST_CASE("messages: every truncation of a frame is a typed error") {
  const std::string whole = Encode(SampleRequest());
  for (size_t length = 0; length < whole.size(); ++length) {
    const auto decoded = Decode(absl::string_view(whole).substr(0, length));
    CHECK_FALSE(decoded.has_value());
  }
}

std::string Bytes(const std::vector<int>& bytes) {
  return std::string(bytes.begin(), bytes.end());
}

// Guards against frames that nodes of the release before cannot read, and
// against reading theirs: fields are only added at the end.
TEST_CASE("messages: the era of replication frames is a trailing field") {
  const FeedStamp stamp{6, 9, 3, -1, "h", 2};
  // [38, [[revision, digest, age, outage age, origin, era], lost items]]
  CHECK(Encode(FeedNotice{stamp, {}}) ==
        Bytes({0x92, 38, 0x92, 0x96, 6, 9, 3, 0xff, 0xc4, 1, 'h', 2, 0x90}));
  CHECK(Encode(FeedFetch{6, false, 2}) == Bytes({0x92, 39, 0x93, 6, 0xc2, 2}));
  const auto notice =
      Decode(Bytes({0x92, 38, 0x91, 0x95, 6, 9, 3, 0xff, 0xc4, 1, 'h'}));
  REQUIRE(notice);
  CHECK(std::get<FeedNotice>(notice.value()) ==
        FeedNotice{{6, 9, 3, -1, "h", 0}, {}});
  const auto fetch = Decode(Bytes({0x92, 39, 0x92, 6, 0xc2}));
  REQUIRE(fetch);
  CHECK(std::get<FeedFetch>(fetch.value()) == FeedFetch{6, false, 0});
}

TEST_CASE("messages: an unknown kind is reported as kUnknownKind") {
  const auto decoded = Decode(std::string("\x92\x7f\x90", 3));
  REQUIRE_FALSE(decoded.has_value());
  CHECK(decoded.error().code == DecodeErrorCode::kUnknownKind);
}

// Guards against an out-of-range value reaching a switch over the enum.
TEST_CASE("messages: an enum value out of range is rejected") {
  const auto decoded = Decode(std::string("\x92\x06\x93\x01\x09\x00", 6));
  REQUIRE_FALSE(decoded.has_value());
  CHECK(decoded.error().code == DecodeErrorCode::kBadField);
}

}  // namespace
}  // namespace boragepaddle::schema
