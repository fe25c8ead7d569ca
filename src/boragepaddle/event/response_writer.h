#ifndef BORAGEPADDLE_EVENT_RESPONSE_WRITER_H_
#define BORAGEPADDLE_EVENT_RESPONSE_WRITER_H_

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/optional/optional.hpp>
#include <functional>
#include <memory>

#include "absl/time/time.h"
#include "boragepaddle/event/http_exchange.h"
#include "boragepaddle/event/socket_options.h"

namespace boragepaddle::event {

/// How a response is framed.
struct ResponseOptions {
  bool keep_alive = false;
  /// Answers a HEAD request: the body is not sent.
  bool is_head = false;
};

/// Writes responses to a socket, one at a time.
class ResponseWriter {
 public:
  using Done = std::function<void(const boost::system::error_code&)>;

  /// `done` is called at the end of each response.
  ResponseWriter(Tcp::socket& socket, Done done);

  /// Starts to write. The owner of the writer is kept alive until the end.
  void Write(HttpReply reply,
             const ResponseOptions& options,
             std::shared_ptr<void> owner);

  bool is_writing() const { return this->response.has_value(); }
  /// Time at which the last part was taken by the socket.
  absl::Time last_progress() const { return this->progress; }

 private:
  using Response =
      boost::beast::http::response<boost::beast::http::string_body>;
  using Serializer =
      boost::beast::http::response_serializer<boost::beast::http::string_body>;

  void WriteSome(std::shared_ptr<void> owner);

  Tcp::socket& socket;
  Done done;
  boost::optional<Response> response;
  boost::optional<Serializer> serializer;
  absl::Time progress;
};

}  // namespace boragepaddle::event

#endif  // BORAGEPADDLE_EVENT_RESPONSE_WRITER_H_
