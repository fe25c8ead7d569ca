#ifndef BORAGEPADDLE_EVENT_HTTP_EXCHANGE_H_
#define BORAGEPADDLE_EVENT_HTTP_EXCHANGE_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "boragepaddle/schema/messages.h"

namespace boragepaddle::event {

/// A whole request of a client. Fields that concern only the connection have
/// been left out.
struct HttpRequest {
  std::string method;
  /// Path and query.
  std::string target;
  std::string host;
  std::vector<schema::HttpField> fields;
  std::string body;
  /// When the last byte was read.
  absl::Time received;
};

/// An answer. The length is added when it is written.
struct HttpReply {
  uint32_t status = 0;
  std::vector<schema::HttpField> fields;
  std::string body;
  /// Close the connection after the answer.
  bool close = false;
};

/// Value of the first field of the name, ignoring case; empty if there is
/// none.
absl::string_view FieldValue(const std::vector<schema::HttpField>& fields,
                             absl::string_view name);

bool HasField(const std::vector<schema::HttpField>& fields,
              absl::string_view name);

/// True for fields that concern one connection only, and for the length.
bool IsConnectionField(absl::string_view name);

/// One request that waits for its answer. Reply is called once; calls after
/// the client left have no effect.
class HttpExchange {
 public:
  virtual ~HttpExchange() = default;
  virtual const HttpRequest& request() const = 0;
  virtual HttpRequest& mutable_request() = 0;
  virtual void Reply(HttpReply reply) = 0;
  /// Called at most once, when the client closes before the answer.
  virtual void SetOnClientDisconnect(std::function<void()> callback) = 0;
};

}  // namespace boragepaddle::event

#endif  // BORAGEPADDLE_EVENT_HTTP_EXCHANGE_H_
