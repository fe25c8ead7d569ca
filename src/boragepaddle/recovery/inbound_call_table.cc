#include "boragepaddle/recovery/inbound_call_table.h"

#include <algorithm>
#include <utility>

#include "absl/algorithm/container.h"

namespace boragepaddle::recovery {

namespace {

size_t BodyBytes(const CachedAnswer& cached) {
  return cached.answer.body.size() +
         (cached.body == nullptr ? 0 : cached.body->size());
}

void EvictOldest(InboundCallTable& table, SenderState& record) {
  const size_t bytes = BodyBytes(record.answers.front());
  table.answer_bytes -= bytes;
  record.answer_bytes -= bytes;
  record.answers.pop_front();
}

void EvictFromLargestSender(InboundCallTable& table) {
  const auto largest =
      absl::c_max_element(table.senders, [](const auto& a, const auto& b) {
        return a.second.answer_bytes < b.second.answer_bytes;
      });
  EvictOldest(table, largest->second);
}

/// Ids of these calls increase, so a late one is rejected by the highest id.
bool AcceptId(SenderState& record, uint64_t connection, uint64_t call_id) {
  if (connection != record.connection || call_id <= record.highest_call_id) {
    return false;
  }
  record.highest_call_id = call_id;
  return true;
}

void AddIncomplete(const InboundCallTable& table,
                   SenderState& record,
                   uint64_t call_id) {
  record.incomplete.push_back(call_id);
  if (record.incomplete.size() > table.settings.max_incomplete_calls) {
    record.incomplete.pop_front();
  }
}

}  // namespace

void OnConnected(InboundCallTable& table,
                 uint64_t sender,
                 uint64_t connection) {
  SenderState& record = table.senders[sender];
  record.connection = std::max(record.connection, connection);
  record.disconnected_at = absl::InfiniteFuture();
}

bool OnCall(InboundCallTable& table,
            uint64_t sender,
            uint64_t connection,
            uint64_t call_id) {
  SenderState& record = table.senders[sender];
  if (!AcceptId(record, connection, call_id)) {
    return false;
  }
  // Recorded before OnForwarded sets the id, as the call may be answered, and
  // thus removed, before OnForwarded is called.
  record.running[call_id] = 0;
  return true;
}

bool OnCallStart(InboundCallTable& table,
                 uint64_t sender,
                 uint64_t connection,
                 uint64_t call_id) {
  SenderState& record = table.senders[sender];
  if (!AcceptId(record, connection, call_id)) {
    return false;
  }
  record.receiving[call_id] = connection;
  return true;
}

bool OnBodyComplete(InboundCallTable& table,
                    uint64_t sender,
                    uint64_t call_id) {
  SenderState& record = table.senders[sender];
  if (record.receiving.erase(call_id) == 0) {
    return false;
  }
  record.running[call_id] = 0;
  return true;
}

void OnBodyDropped(InboundCallTable& table, uint64_t sender, uint64_t call_id) {
  SenderState& record = table.senders[sender];
  if (record.receiving.erase(call_id) > 0) {
    AddIncomplete(table, record, call_id);
  }
}

void OnForwarded(InboundCallTable& table,
                 uint64_t sender,
                 uint64_t call_id,
                 uint64_t worker_call_id) {
  SenderState& record = table.senders[sender];
  const auto found = record.running.find(call_id);
  if (found != record.running.end()) {
    found->second = worker_call_id;
  }
}

uint64_t OnAnswer(InboundCallTable& table,
                  uint64_t sender,
                  const schema::HttpAnswer& answer,
                  absl::Time now,
                  std::shared_ptr<const std::string> body) {
  SenderState& record = table.senders[sender];
  record.running.erase(answer.call_id);
  record.answers.push_back({answer, std::move(body), now});
  const size_t bytes = BodyBytes(record.answers.back());
  record.answer_bytes += bytes;
  table.answer_bytes += bytes;
  while (table.answer_bytes > table.settings.max_answer_bytes) {
    EvictFromLargestSender(table);
  }
  return record.connection;
}

uint64_t OnCancel(InboundCallTable& table, uint64_t sender, uint64_t call_id) {
  SenderState& record = table.senders[sender];
  record.receiving.erase(call_id);
  const auto found = record.running.find(call_id);
  if (found == record.running.end()) {
    return 0;
  }
  const uint64_t id = found->second;
  record.running.erase(found);
  return id;
}

void OnConnectionClosed(InboundCallTable& table,
                        uint64_t connection,
                        absl::Time now) {
  for (auto& [sender, record] : table.senders) {
    if (record.connection == connection) {
      record.connection = 0;
      record.disconnected_at = now;
    }
    // No more pieces can arrive. The sender may ask on a newer connection, so
    // that this does not depend on which one is the latest.
    std::vector<uint64_t> dropped;
    for (const auto& [call_id, origin] : record.receiving) {
      if (origin == connection) {
        dropped.push_back(call_id);
      }
    }
    for (const uint64_t call_id : dropped) {
      record.receiving.erase(call_id);
      AddIncomplete(table, record, call_id);
    }
  }
}

ResumeResult OnResume(InboundCallTable& table,
                      uint64_t sender,
                      absl::Span<const uint64_t> call_ids) {
  SenderState& record = table.senders[sender];
  ResumeResult result;
  const uint64_t highest_call_id = record.highest_call_id;
  for (const uint64_t id : call_ids) {
    if (record.running.contains(id)) {
      continue;
    }
    const auto kept = absl::c_find_if(
        record.answers,
        [id](const CachedAnswer& entry) { return entry.answer.call_id == id; });
    if (kept != record.answers.end()) {
      result.answers.push_back(kept->answer);
      if (kept->body != nullptr) {
        result.bodies[id] = kept->body;
      }
    } else if (record.receiving.erase(id) > 0) {
      // The rest of the body may still arrive on the old connection, and must
      // not be passed on after this statement.
      AddIncomplete(table, record, id);
      result.states.never_received.push_back(id);
    } else if (absl::c_linear_search(record.incomplete, id)) {
      result.states.never_received.push_back(id);
    } else if (id > highest_call_id) {
      // Ids increase on a connection, so this call was never received. Raising
      // the highest id rejects it if the old connection still delivers it.
      result.states.never_received.push_back(id);
      record.highest_call_id = std::max(record.highest_call_id, id);
    } else {
      result.states.unknown.push_back(id);
    }
  }
  return result;
}

std::vector<uint64_t> CallsInProgress(const InboundCallTable& table,
                                      uint64_t sender) {
  std::vector<uint64_t> ids;
  const auto found = table.senders.find(sender);
  if (found != table.senders.end()) {
    for (const auto& [call_id, worker_call_id] : found->second.running) {
      ids.push_back(call_id);
    }
  }
  return ids;
}

std::vector<uint64_t> Expire(InboundCallTable& table, absl::Time now) {
  std::vector<uint64_t> cancelled;
  for (auto at = table.senders.begin(); at != table.senders.end();) {
    SenderState& record = at->second;
    while (!record.answers.empty() && now - record.answers.front().cached_at >
                                          table.settings.answer_retention) {
      EvictOldest(table, record);
    }
    if (now - record.disconnected_at > table.settings.orphan_timeout) {
      for (const auto& [call_id, id] : record.running) {
        cancelled.push_back(id);
      }
      record.running.clear();
    }
    if (now - record.disconnected_at > table.settings.sender_retention &&
        record.answers.empty()) {
      table.senders.erase(at++);
    } else {
      ++at;
    }
  }
  return cancelled;
}

}  // namespace boragepaddle::recovery
