#ifndef BORAGEPADDLE_SCHEMA_MSGPACK_FIELDS_H_
#define BORAGEPADDLE_SCHEMA_MSGPACK_FIELDS_H_

#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <utility>
#include <variant>
#include <vector>
#include "absl/strings/string_view.h"

#include "boragepaddle/base/result.h"
#include "boragepaddle/schema/decode_error.h"

namespace boragepaddle::schema {

using Packer = msgpack::packer<msgpack::sbuffer>;

inline void Pack(Packer& packer, uint32_t value) {
  packer.pack(value);
}
inline void Pack(Packer& packer, uint64_t value) {
  packer.pack(value);
}
inline void Pack(Packer& packer, int64_t value) {
  packer.pack(value);
}
inline void Pack(Packer& packer, bool value) {
  packer.pack(value);
}
inline void Pack(Packer& packer, const std::string& value) {
  packer.pack_bin(static_cast<uint32_t>(value.size()));
  packer.pack_bin_body(value.data(), static_cast<uint32_t>(value.size()));
}
template <typename T>
void Pack(Packer& packer, const std::vector<T>& values) {
  packer.pack_array(static_cast<uint32_t>(values.size()));
  for (const T& value : values) {
    Pack(packer, value);
  }
}

template <typename T>
bool UnpackInteger(const msgpack::object& object, T* value) {
  if (object.type != msgpack::type::POSITIVE_INTEGER &&
      object.type != msgpack::type::NEGATIVE_INTEGER) {
    return false;
  }
  // `convert` throws on overflow; DecodeFrame turns that into an error.
  object.convert(*value);
  return true;
}
inline bool Unpack(const msgpack::object& object, uint32_t* value) {
  return UnpackInteger(object, value);
}
inline bool Unpack(const msgpack::object& object, uint64_t* value) {
  return UnpackInteger(object, value);
}
inline bool Unpack(const msgpack::object& object, int64_t* value) {
  return UnpackInteger(object, value);
}
inline bool Unpack(const msgpack::object& object, bool* value) {
  if (object.type != msgpack::type::BOOLEAN) {
    return false;
  }
  *value = object.via.boolean;
  return true;
}
inline bool Unpack(const msgpack::object& object, std::string* value) {
  if (object.type != msgpack::type::BIN) {
    return false;
  }
  value->assign(object.via.bin.ptr, object.via.bin.size);
  return true;
}
template <typename E>
bool UnpackEnum(const msgpack::object& object, uint8_t count, E* value) {
  uint64_t number = 0;
  if (!UnpackInteger(object, &number) || number >= count) {
    return false;
  }
  *value = static_cast<E>(number);
  return true;
}
template <typename T>
bool Unpack(const msgpack::object& object, std::vector<T>* values) {
  if (object.type != msgpack::type::ARRAY) {
    return false;
  }
  values->clear();
  values->reserve(object.via.array.size);
  for (uint32_t index = 0; index < object.via.array.size; ++index) {
    T value{};
    if (!Unpack(object.via.array.ptr[index], &value)) {
      return false;
    }
    values->push_back(std::move(value));
  }
  return true;
}

/// Reads the fields of an array in order. Missing trailing fields keep their
/// defaults and extra fields are ignored, so that nodes of adjacent releases
/// can exchange messages.
class ArrayReader {
 public:
  explicit ArrayReader(const msgpack::object& object)
      : object(object), valid(object.type == msgpack::type::ARRAY) {}

  template <typename T>
  void Next(T* value) {
    if (!this->valid || this->index >= this->object.via.array.size) {
      return;
    }
    this->valid = Unpack(this->object.via.array.ptr[this->index++], value);
  }

  bool ok() const { return this->valid; }

 private:
  const msgpack::object& object;
  uint32_t index = 0;
  bool valid;
};

template <typename Variant, typename PackValue>
std::string EncodeFrame(const Variant& message, PackValue pack_value) {
  msgpack::sbuffer buffer;
  Packer packer(buffer);
  std::visit([&](const auto& value) { pack_value(packer, value); }, message);
  return std::string(buffer.data(), buffer.size());
}

template <typename Variant, typename DecodeKind>
base::Result<Variant, DecodeError> DecodeFrame(absl::string_view payload,
                                               DecodeKind decode_kind) {
  try {
    const msgpack::object_handle handle =
        msgpack::unpack(payload.data(), payload.size());
    const msgpack::object& root = handle.get();
    uint64_t kind = 0;
    if (root.type != msgpack::type::ARRAY || root.via.array.size != 2 ||
        !UnpackInteger(root.via.array.ptr[0], &kind)) {
      return DecodeError{DecodeErrorCode::kNotAMessage};
    }
    return decode_kind(kind, root.via.array.ptr[1]);
  } catch (const msgpack::type_error&) {
    return DecodeError{DecodeErrorCode::kBadField};
  } catch (const std::exception&) {
    return DecodeError{DecodeErrorCode::kNotMsgpack};
  }
}

}  // namespace boragepaddle::schema

#endif  // BORAGEPADDLE_SCHEMA_MSGPACK_FIELDS_H_
