#include "boragepaddle/daemon/request_contexts.h"

#include <utility>

namespace boragepaddle::daemon {

void RequestContexts::Open(const std::string& id, RequestContext context) {
  this->tables.With(
      id, [&](Table& table) { table.emplace(id, std::move(context)); });
}

bool RequestContexts::IsRefusedBelow(const std::string& id) {
  return this->tables.With(id, [&](Table& table) {
    const auto found = table.find(id);
    return found != table.end() && found->second.refused_below;
  });
}

uint32_t RequestContexts::Close(const std::string& id) {
  return this->tables.With(id, [&](Table& table) {
    const auto found = table.find(id);
    const uint32_t left = found->second.tokens.remaining;
    table.erase(found);
    return left;
  });
}

absl::optional<RequestContext> RequestContexts::BeginChild(
    const std::string& id) {
  return this->tables.With(
      id, [&](Table& table) -> absl::optional<RequestContext> {
        const auto found = table.find(id);
        if (found == table.end()) {
          return absl::nullopt;
        }
        RequestContext child = found->second;
        child.tokens.remaining = retry::Delegate(found->second.tokens);
        return child;
      });
}

void RequestContexts::EndChild(const std::string& id,
                               uint32_t delegated,
                               uint32_t unspent,
                               bool refused) {
  this->tables.With(id, [&](Table& table) {
    const auto found = table.find(id);
    if (found != table.end()) {
      retry::Return(found->second.tokens, delegated, unspent);
      found->second.refused_below |= refused;
    }
  });
}

}  // namespace boragepaddle::daemon
