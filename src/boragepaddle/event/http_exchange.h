#ifndef BORAGEPADDLE_EVENT_HTTP_EXCHANGE_H_
#define BORAGEPADDLE_EVENT_HTTP_EXCHANGE_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "boragepaddle/event/memory_budget.h"
#include "boragepaddle/event/shared_body.h"
#include "boragepaddle/schema/messages.h"

namespace boragepaddle::event {

/// A complete client request without its hop-by-hop header fields.
struct HttpRequest {
  std::string method;
  /// Path and query.
  std::string target;
  std::string host;
  std::vector<schema::HttpField> fields;
  std::string body;
  /// Time at which the last byte was read.
  absl::Time received;
};

/// A response. Content-Length is added when it is written.
struct HttpReply {
  uint32_t status = 0;
  std::vector<schema::HttpField> fields;
  std::string body;
  /// Memory of a large body.
  MemoryReservation reservation;
  /// Closes the connection after the response.
  bool close = false;
};

/// Returns the value of the first field with the name, ignoring case; empty if
/// there is none.
absl::string_view FieldValue(const std::vector<schema::HttpField>& fields,
                             absl::string_view name);

bool HasField(const std::vector<schema::HttpField>& fields,
              absl::string_view name);

/// True for hop-by-hop header fields and Content-Length.
bool IsConnectionField(absl::string_view name);

/// One request that waits for its response. Reply must be called once; it has
/// no effect if the client has disconnected.
class HttpExchange {
 public:
  virtual ~HttpExchange() = default;
  virtual const HttpRequest& request() const = 0;
  virtual HttpRequest& mutable_request() = 0;
  /// Moves the body out of the request, together with the memory reserved for
  /// it, so that it may be used after the response.
  virtual SharedBody TakeBody() = 0;
  virtual void Reply(HttpReply reply) = 0;
  /// Sets a callback that is invoked, at most once, if the client disconnects
  /// before the response.
  virtual void SetOnClientDisconnect(std::function<void()> callback) = 0;
};

}  // namespace boragepaddle::event

#endif  // BORAGEPADDLE_EVENT_HTTP_EXCHANGE_H_
