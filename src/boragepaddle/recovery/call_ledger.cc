#include "boragepaddle/recovery/call_ledger.h"

#include <algorithm>
#include <utility>

#include "absl/algorithm/container.h"

namespace boragepaddle::recovery {

namespace {

void DropOldest(CallLedger& ledger, SenderRecord& record) {
  const size_t bytes = record.answers.front().answer.body.size();
  ledger.answer_bytes -= bytes;
  record.answer_bytes -= bytes;
  record.answers.pop_front();
}

void DropLargest(CallLedger& ledger) {
  const auto largest =
      absl::c_max_element(ledger.senders, [](const auto& a, const auto& b) {
        return a.second.answer_bytes < b.second.answer_bytes;
      });
  DropOldest(ledger, largest->second);
}

}  // namespace

void OnChannel(CallLedger& ledger, uint64_t sender, uint64_t channel) {
  SenderRecord& record = ledger.senders[sender];
  record.channel = std::max(record.channel, channel);
  record.lost_at = absl::InfiniteFuture();
}

bool OnCall(CallLedger& ledger,
            uint64_t sender,
            uint64_t channel,
            uint64_t call_id) {
  SenderRecord& record = ledger.senders[sender];
  if (channel != record.channel || call_id <= record.highest) {
    return false;
  }
  record.highest = call_id;
  // Answered at once, the call is known no more when OnTaken comes.
  record.running[call_id] = 0;
  return true;
}

void OnTaken(CallLedger& ledger,
             uint64_t sender,
             uint64_t call_id,
             uint64_t worker_side_id) {
  SenderRecord& record = ledger.senders[sender];
  const auto found = record.running.find(call_id);
  if (found != record.running.end()) {
    found->second = worker_side_id;
  }
}

uint64_t OnAnswer(CallLedger& ledger,
                  uint64_t sender,
                  const schema::HttpAnswer& answer,
                  absl::Time now) {
  SenderRecord& record = ledger.senders[sender];
  record.running.erase(answer.call_id);
  record.answers.push_back({answer, now});
  record.answer_bytes += answer.body.size();
  ledger.answer_bytes += answer.body.size();
  while (ledger.answer_bytes > ledger.settings.max_answer_bytes) {
    DropLargest(ledger);
  }
  return record.channel;
}

uint64_t OnCancel(CallLedger& ledger, uint64_t sender, uint64_t call_id) {
  SenderRecord& record = ledger.senders[sender];
  const auto found = record.running.find(call_id);
  if (found == record.running.end()) {
    return 0;
  }
  const uint64_t id = found->second;
  record.running.erase(found);
  return id;
}

void OnChannelClosed(CallLedger& ledger, uint64_t channel, absl::Time now) {
  for (auto& [sender, record] : ledger.senders) {
    if (record.channel == channel) {
      record.channel = 0;
      record.lost_at = now;
    }
  }
}

ResumeResult OnResume(CallLedger& ledger,
                      uint64_t sender,
                      absl::Span<const uint64_t> call_ids) {
  SenderRecord& record = ledger.senders[sender];
  ResumeResult result;
  const uint64_t highest = record.highest;
  for (const uint64_t id : call_ids) {
    if (record.running.contains(id)) {
      continue;
    }
    const auto kept = absl::c_find_if(
        record.answers,
        [id](const KeptAnswer& entry) { return entry.answer.call_id == id; });
    if (kept != record.answers.end()) {
      result.answers.push_back(kept->answer);
    } else if (id > highest) {
      // The ids of a connection grow, so this one was never read. It is not
      // taken any more either, should its connection still hold it.
      result.states.never_received.push_back(id);
      record.highest = std::max(record.highest, id);
    } else {
      result.states.unknown.push_back(id);
    }
  }
  return result;
}

std::vector<uint64_t> Expire(CallLedger& ledger, absl::Time now) {
  std::vector<uint64_t> cancelled;
  for (auto at = ledger.senders.begin(); at != ledger.senders.end();) {
    SenderRecord& record = at->second;
    while (!record.answers.empty() &&
           now - record.answers.front().at > ledger.settings.answer_time) {
      DropOldest(ledger, record);
    }
    if (now - record.lost_at > ledger.settings.orphan_time) {
      for (const auto& [call_id, id] : record.running) {
        cancelled.push_back(id);
      }
      record.running.clear();
    }
    if (now - record.lost_at > ledger.settings.sender_time &&
        record.answers.empty()) {
      ledger.senders.erase(at++);
    } else {
      ++at;
    }
  }
  return cancelled;
}

}  // namespace boragepaddle::recovery
