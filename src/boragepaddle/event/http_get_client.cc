#include "boragepaddle/event/http_get_client.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/optional/optional.hpp>
#include <utility>

#include "absl/strings/str_cat.h"

namespace boragepaddle::event {

namespace http = boost::beast::http;

namespace {

constexpr unsigned kHttp11 = 11;
constexpr uint64_t kMaxResponseBytes = 16u << 20;

}  // namespace

/// One connection to the server with at most one GET in progress.
class HttpGetConnection
    : public std::enable_shared_from_this<HttpGetConnection> {
 public:
  HttpGetConnection(boost::asio::io_context& loop, const Tcp::endpoint& server)
      : server(server), socket(loop), timer(loop) {}

  bool reusable() const {
    return this->connected && !this->closed && !this->callback;
  }

  void Run(absl::string_view target,
           absl::Duration timeout,
           HttpGetClient::Callback done) {
    this->callback = std::move(done);
    this->request = {http::verb::get,
                     boost::beast::string_view(target.data(), target.size()),
                     kHttp11};
    this->request.set(http::field::host,
                      absl::StrCat(this->server.address().to_string(), ":",
                                   this->server.port()));
    auto self = this->shared_from_this();
    this->timer.expires_after(absl::ToChronoNanoseconds(timeout));
    this->timer.async_wait([self](const boost::system::error_code& error) {
      if (!error) {
        self->Fail();
      }
    });
    if (this->connected) {
      this->Write();
      return;
    }
    this->socket.async_connect(this->server,
                               [self](const boost::system::error_code& error) {
                                 if (error) {
                                   self->Fail();
                                   return;
                                 }
                                 self->connected = true;
                                 SetTcpPeerOptions(self->socket);
                                 self->Write();
                               });
  }

  void Drop() {
    this->callback = nullptr;
    this->Close();
  }

 private:
  void Write() {
    auto self = this->shared_from_this();
    http::async_write(this->socket, this->request,
                      [self](const boost::system::error_code& error, size_t) {
                        if (error) {
                          self->Fail();
                          return;
                        }
                        self->Read();
                      });
  }

  void Read() {
    this->parser.emplace();
    this->parser->body_limit(kMaxResponseBytes);
    auto self = this->shared_from_this();
    // Reads the header separately. If header and body are read in one call,
    // Beast 1.74 reserves memory for the whole Content-Length even if it
    // exceeds the body limit.
    http::async_read_header(
        this->socket, this->buffer, *this->parser,
        [self](const boost::system::error_code& error, size_t) {
          if (error) {
            self->Fail();
            return;
          }
          self->ReadBody();
        });
  }

  void ReadBody() {
    auto self = this->shared_from_this();
    http::async_read(this->socket, this->buffer, *this->parser,
                     [self](const boost::system::error_code& error, size_t) {
                       if (error) {
                         self->Fail();
                         return;
                       }
                       self->Finish();
                     });
  }

  void Finish() {
    this->timer.cancel();
    auto message = this->parser->release();
    if (!message.keep_alive() || this->buffer.size() > 0) {
      this->Close();
    }
    HttpGetClient::Callback done = std::move(this->callback);
    this->callback = nullptr;
    if (!done) {
      return;
    }
    HttpGetResult result;
    result.status = message.result_int();
    for (const auto& field : message) {
      result.fields.push_back(
          {std::string(field.name_string()), std::string(field.value())});
    }
    result.body = std::move(message.body());
    done(std::move(result));
  }

  void Fail() {
    HttpGetClient::Callback done = std::move(this->callback);
    this->callback = nullptr;
    this->Close();
    if (done) {
      done(HttpGetResult{});
    }
  }

  void Close() {
    if (this->closed) {
      return;
    }
    this->closed = true;
    this->timer.cancel();
    boost::system::error_code ignored;
    this->socket.close(ignored);
  }

  const Tcp::endpoint server;
  Tcp::socket socket;
  boost::asio::steady_timer timer;
  boost::beast::flat_buffer buffer;
  http::request<http::empty_body> request;
  boost::optional<http::response_parser<http::string_body>> parser;
  HttpGetClient::Callback callback;
  bool connected = false;
  bool closed = false;
};

HttpGetClient::HttpGetClient(boost::asio::io_context& loop,
                             const Tcp::endpoint& server)
    : loop(loop), server(server) {}

HttpGetClient::~HttpGetClient() {
  this->Abort();
}

void HttpGetClient::Get(absl::string_view target,
                        absl::Duration timeout,
                        Callback callback) {
  if (this->connection != nullptr && !this->connection->reusable()) {
    this->Abort();
  }
  if (this->connection == nullptr) {
    this->connection =
        std::make_shared<HttpGetConnection>(this->loop, this->server);
  }
  this->connection->Run(target, timeout, std::move(callback));
}

void HttpGetClient::Abort() {
  if (this->connection != nullptr) {
    this->connection->Drop();
    this->connection = nullptr;
  }
}

}  // namespace boragepaddle::event
