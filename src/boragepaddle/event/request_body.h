#ifndef BORAGEPADDLE_EVENT_REQUEST_BODY_H_
#define BORAGEPADDLE_EVENT_REQUEST_BODY_H_

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional/optional.hpp>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace boragepaddle::event {

/// Body of a request that is read in parts, for Beast's parser. Memory for it
/// is reserved before it is allocated.
struct RequestBody {
  // Beast requires the names of both types.
  // NOLINTNEXTLINE(readability-identifier-naming)
  struct value_type {
    std::string text;
    /// Reserves the capacity that the text is about to have.
    std::function<bool(uint64_t)> reserve;
    /// Largest capacity.
    uint64_t max_bytes = 0;
  };

  /// Fails with `no_buffer_space` if the memory cannot be reserved.
  // NOLINTNEXTLINE(readability-identifier-naming)
  class reader {
   public:
    template <bool isRequest, class Fields>
    reader(boost::beast::http::header<isRequest, Fields>&, value_type& body)
        : body(body) {}

    void init(const boost::optional<uint64_t>& length,
              boost::system::error_code& error) {
      error = {};
      if (length) {
        this->Grow(*length, error);
      }
    }

    template <class ConstBufferSequence>
    size_t put(const ConstBufferSequence& buffers,
               boost::system::error_code& error) {
      error = {};
      const size_t count = boost::asio::buffer_size(buffers);
      const uint64_t needed = this->body.text.size() + count;
      if (needed > this->body.text.capacity()) {
        const uint64_t doubled = std::min<uint64_t>(
            2 * this->body.text.capacity(), this->body.max_bytes);
        this->Grow(std::max({needed, doubled, kMinCapacity}), error);
        if (error) {
          return 0;
        }
      }
      for (auto part = boost::asio::buffer_sequence_begin(buffers);
           part != boost::asio::buffer_sequence_end(buffers); ++part) {
        const boost::asio::const_buffer data(*part);
        this->body.text.append(static_cast<const char*>(data.data()),
                               data.size());
      }
      return count;
    }

    void finish(boost::system::error_code& error) { error = {}; }

   private:
    /// First capacity of a body without a length.
    static constexpr uint64_t kMinCapacity = 4096;

    void Grow(uint64_t capacity, boost::system::error_code& error) {
      if (!this->body.reserve(capacity)) {
        error = boost::asio::error::no_buffer_space;
        return;
      }
      // std::string::reserve of a text with content may allocate twice its
      // capacity instead of the number of bytes that is asked for.
      std::string larger;
      larger.reserve(capacity);
      larger.append(this->body.text);
      this->body.text.swap(larger);
    }

    value_type& body;
  };
};

}  // namespace boragepaddle::event

#endif  // BORAGEPADDLE_EVENT_REQUEST_BODY_H_
