#ifndef KNAPWEEDLIFT_SERVERS_TABLES_FORWARDER_H_
#define KNAPWEEDLIFT_SERVERS_TABLES_FORWARDER_H_

#include <atomic>
#include <cstdint>
#include <memory>
#include <vector>

#include "absl/status/status.h"
#include "absl/synchronization/mutex.h"
#include "core/flow/flow_table.h"
#include "core/policy/decision.h"
#include "core/policy/view.h"
#include "servers/metrics.h"
#include "servers/packet_workers.h"
#include "servers/tables/event_history.h"

namespace knapweedlift {

// What the control part and the workers share. The view and its freshness are
// written by the control part and read by the workers.
class SharedView {
 public:
  void Publish(ViewPtr view);
  void SetFreshUntil(TimePoint deadline);

  ViewPtr view();
  TimePoint fresh_until() const;
  // Grows with every Publish.
  uint64_t version() const { return version_; }

 private:
  absl::Mutex mutex_;
  ViewPtr view_ ABSL_GUARDED_BY(mutex_);
  std::atomic<uint64_t> version_{0};
  std::atomic<int64_t> fresh_until_{0};
};

// A home's answer that the control part must send.
struct PendingFlowAssignment {
  VmId recipient = kNoVm;
  ServiceNumber service = 0;
  uint64_t fingerprint = 0;
  ServerId server = kNoServer;
  bool opening = false;

  auto operator<=>(const PendingFlowAssignment&) const = default;
};

// Answers of homes on their way from the workers to the control part. Bounded:
// an answer that is lost is asked for again by the flow's next packet.
class FlowAssignmentQueue {
 public:
  void Push(const PendingFlowAssignment& assignment);
  std::vector<PendingFlowAssignment> TakeAll();

 private:
  static constexpr size_t kMaxPendingAssignments = 16'384;

  absl::Mutex mutex_;
  std::vector<PendingFlowAssignment> assignments_ ABSL_GUARDED_BY(mutex_);
};

struct ForwarderSettings {
  Endpoint data;
  size_t workers = 1;
  uint64_t hash_key = 0;

  auto operator<=>(const ForwarderSettings&) const = default;
};

// The packet path of flows in Geneve: workers that decide by bucket tables.
class Forwarder {
 public:
  // The references must outlive the forwarder.
  Forwarder(const ForwarderSettings& settings, SharedView& view,
            FlowTable& flows, FlowAssignmentQueue& pending_assignments,
            EventHistory& history);

  // Opens the sockets and starts the workers.
  absl::Status Start();
  void Stop() { workers_.Stop(); }

  // True where the fabric has sent nothing for `quiet`.
  bool IsIdleFor(Duration idle_time, TimePoint now) const;

  const MetricsShards& metrics() const { return metrics_; }
  Endpoint data_endpoint() const { return workers_.endpoint(); }

 private:
  ForwarderSettings settings_;
  SharedView& view_;
  FlowTable& flows_;
  FlowAssignmentQueue& pending_assignments_;
  EventHistory& history_;
  MetricsShards metrics_;
  PacketWorkers workers_;
};

}  // namespace knapweedlift

#endif  // KNAPWEEDLIFT_SERVERS_TABLES_FORWARDER_H_
