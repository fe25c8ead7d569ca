#include "boragepaddle/event/response_writer.h"

#include <boost/beast/http/write.hpp>
#include <cassert>
#include <utility>

#include "boragepaddle/event/clock.h"

namespace boragepaddle::event {

namespace http = boost::beast::http;

namespace {

constexpr unsigned kHttp11 = 11;

boost::beast::string_view ToBeast(absl::string_view text) {
  return {text.data(), text.size()};
}

}  // namespace

ResponseWriter::ResponseWriter(Tcp::socket& socket, Done done)
    : socket(socket), done(std::move(done)) {}

void ResponseWriter::Write(HttpReply reply,
                           const ResponseOptions& options,
                           std::shared_ptr<void> owner) {
  assert(!this->is_writing());
  this->progress = BootNow();
  this->response.emplace();
  this->response->version(kHttp11);
  this->response->result(reply.status);
  for (const schema::HttpField& field : reply.fields) {
    if (!IsConnectionField(field.name)) {
      this->response->insert(ToBeast(field.name), ToBeast(field.value));
    }
  }
  this->response->keep_alive(options.keep_alive);
  if (options.is_head) {
    this->response->content_length(reply.body.size());
  } else {
    this->response->body() = std::move(reply.body);
    this->response->prepare_payload();
  }
  this->serializer.emplace(*this->response);
  this->WriteSome(std::move(owner));
}

// Writes in parts, so that a client that reads slowly counts as active.
void ResponseWriter::WriteSome(std::shared_ptr<void> owner) {
  http::async_write_some(this->socket, *this->serializer,
                         [this, owner = std::move(owner)](
                             const boost::system::error_code& error, size_t) {
                           if (error || this->serializer->is_done()) {
                             this->serializer.reset();
                             this->response.reset();
                             this->done(error);
                             return;
                           }
                           this->progress = BootNow();
                           this->WriteSome(owner);
                         });
}

}  // namespace boragepaddle::event
