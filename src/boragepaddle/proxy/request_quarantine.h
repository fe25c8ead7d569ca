#ifndef BORAGEPADDLE_PROXY_REQUEST_QUARANTINE_H_
#define BORAGEPADDLE_PROXY_REQUEST_QUARANTINE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "absl/types/span.h"
#include "boragepaddle/proxy/node_settings.h"
#include "boragepaddle/quarantine/crash_ledger.h"
#include "boragepaddle/schema/messages.h"
#include "boragepaddle/telemetry/event_log.h"

namespace boragepaddle::proxy {

/// Sends a message to a group of nodes.
using GroupSend = std::function<void(const schema::Message&)>;

/// What the node knows of requests that crash workers, and its exchange of
/// that knowledge with other nodes.
class RequestQuarantine {
 public:
  /// `send_to_service` reaches the other nodes of the node's service,
  /// `send_to_witnesses` the nodes of other services that keep its rejections.
  RequestQuarantine(const NodeSettings& settings,
                    telemetry::EventLog& log,
                    GroupSend send_to_service,
                    GroupSend send_to_witnesses);

  /// True if no worker may run the request.
  bool IsRejected(uint64_t fingerprint, absl::Time now) const;
  bool has_rejections() const { return !this->ledger.rejections.empty(); }
  /// Report of a rejected request, for the node that sent it.
  schema::RequestRejection RejectionOf(uint64_t fingerprint,
                                       absl::Time now) const;

  /// The local worker has crashed; `sign` tells in the log how it was noticed.
  void OnLocalCrash(absl::Span<const uint64_t> suspects,
                    absl::string_view sign,
                    absl::Time now);
  /// The local worker completed a request.
  void OnCompleted(uint64_t fingerprint, absl::Time now);

  /// Applies a report of another node. False if the message is none.
  bool OnMessage(const schema::Message& message, absl::Time now);

  /// What a node of the service must know, for a new connection to it. A
  /// witness also gets the rejections of this node's service.
  std::vector<schema::Message> ReportsFor(absl::string_view service,
                                          bool is_witness,
                                          absl::Time now) const;

  /// True if this node reported crashes or rejections that still count, which
  /// other nodes may have missed.
  bool HasOwnEvidence() const;

  /// Sends what is due.
  void Tick(absl::Time now);

  /// The node may belong to another service after a reload.
  void OnSettingsChanged();

  size_t suspects() const { return this->ledger.suspects.size(); }
  size_t rejections() const { return this->ledger.rejections.size(); }

 private:
  /// Reports the completions of suspects since the last report.
  void SendCompletions();
  /// Rejects requests for which there is now enough evidence, and tells the
  /// nodes that must know.
  void ApplyEvidence(absl::Time now);
  void LogRejected(const schema::RequestRejection& rejection,
                   absl::string_view source);

  const NodeSettings& settings;
  telemetry::EventLog& log;
  const GroupSend send_to_service;
  const GroupSend send_to_witnesses;
  quarantine::CrashLedger ledger;
  /// Completions of suspects on this node that the other nodes do not know yet.
  absl::flat_hash_map<uint64_t, uint32_t> unsent_completions;
  absl::Time completions_sent_at = absl::InfinitePast();
  absl::Time rejections_sent_at = absl::InfinitePast();
};

}  // namespace boragepaddle::proxy

#endif  // BORAGEPADDLE_PROXY_REQUEST_QUARANTINE_H_
