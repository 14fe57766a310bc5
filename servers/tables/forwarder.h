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

// The view that the control plane publishes to the workers, and until when it
// is fresh. Thread-safe.
class SharedView {
 public:
  void Publish(ViewPtr view);
  // Until `deadline`, peers have confirmed the state of this VM recently enough
  // for it to place new flows.
  void SetFreshUntil(TimePoint deadline);

  // Null before the first Publish.
  ViewPtr view();
  TimePoint fresh_until() const;
  // Incremented by every Publish, so that workers notice a new view without
  // taking the lock.
  uint64_t version() const { return version_; }

 private:
  absl::Mutex mutex_;
  ViewPtr view_ ABSL_GUARDED_BY(mutex_);
  std::atomic<uint64_t> version_{0};
  std::atomic<int64_t> fresh_until_{0};
};

// The server of a flow that this VM reports to `recipient`, which is a home of
// the flow or the VM where its packet entered.
struct PendingFlowAssignment {
  VmId recipient = kNoVm;
  ServiceNumber service = 0;
  uint64_t fingerprint = 0;
  ServerId server = kNoServer;
  // True if the flow is still opening.
  bool opening = false;

  auto operator<=>(const PendingFlowAssignment&) const = default;
};

// Flow assignments passed from the workers to the control plane, which sends
// them to other VMs. Bounded: when the queue is full, further assignments are
// dropped, and the next packet of the flow causes a new one. Thread-safe.
class FlowAssignmentQueue {
 public:
  void Push(const PendingFlowAssignment& assignment);
  // Returns and clears all queued assignments.
  std::vector<PendingFlowAssignment> TakeAll();

 private:
  static constexpr size_t kMaxPendingAssignments = 16'384;

  absl::Mutex mutex_;
  std::vector<PendingFlowAssignment> assignments_ ABSL_GUARDED_BY(mutex_);
};

struct ForwarderSettings {
  // Address for packets, UDP.
  Endpoint data;
  size_t workers = 1;
  uint64_t hash_key = 0;

  auto operator<=>(const ForwarderSettings&) const = default;
};

// The packet path of the daemon: workers that forward Geneve packets by bucket
// tables.
class Forwarder {
 public:
  // The references must outlive the forwarder.
  Forwarder(const ForwarderSettings& settings, SharedView& view,
            FlowTable& flows, FlowAssignmentQueue& pending_assignments,
            EventHistory& history);

  // Opens the sockets and starts the workers. Fails if a socket cannot be
  // opened.
  absl::Status Start();
  void Stop() { workers_.Stop(); }

  // Returns true if the fabric has sent no packet for `idle_time`.
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
