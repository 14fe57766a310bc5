#ifndef KNAPWEEDLIFT_SERVERS_TABLES_DAEMON_H_
#define KNAPWEEDLIFT_SERVERS_TABLES_DAEMON_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "core/control/control.h"
#include "core/control/send_queue.h"
#include "drivers/http.h"
#include "drivers/peer_transport.h"
#include "servers/tables/forwarder.h"

namespace knapweedlift {

// Settings of a daemon that forwards Geneve packets by bucket tables.
struct DaemonSettings {
  // Identifier, failure domain and addresses of this VM.
  VmAddress self;
  // HTTP endpoint for operators.
  Endpoint admin;
  Endpoint platform;
  uint64_t deployment = 0;
  uint64_t hash_key = 0;
  // Tenants whose services are forwarded; empty for all tenants.
  std::vector<std::string> tenants;
  size_t workers = 1;
  size_t max_flows = 0;
  // Token bucket for messages to peers: its rate and its capacity.
  size_t control_bytes_per_second = 0;
  size_t control_burst_bytes = 0;
  // Longest time that the daemon keeps forwarding after Stop.
  Duration drain_timeout{0};
  // A stopping daemon ends earlier if the fabric has sent no packet for this
  // long.
  Duration idle_time{0};

  auto operator<=>(const DaemonSettings&) const = default;
};

// Daemon of an entry VM that forwards Geneve packets by bucket tables. Fibers
// of one thread run the control plane; the worker threads of the forwarder run
// the packet path.
class Daemon {
 public:
  explicit Daemon(const DaemonSettings& settings);
  ~Daemon();

  // Opens all sockets and starts the workers. If a socket cannot be opened, its
  // error is returned and the daemon must not be run.
  absl::Status Open();

  // Serves until Stop is called and the fabric has moved the traffic to other
  // VMs, or the drain timeout has expired.
  void Run();

  // Starts a graceful shutdown; after a second call, at most 500 ms are left.
  // Safe to call from a signal handler.
  void Stop() { ++stop_requests_; }

  // Bound addresses, whose ports may have been chosen by the kernel.
  Endpoint control_endpoint() const { return transport_->endpoint(); }
  Endpoint data_endpoint() const { return forwarder_.data_endpoint(); }
  Endpoint admin_endpoint() const { return LocalEndpoint(admin_listener_); }

 private:
  // Bodies of fibers; each runs until the daemon stops.
  void RunPeriodicTasks();
  void RunSheetWatch();
  void RunVmListWatch();
  void RunFlowAssignmentNotices();

  // Steps of these fibers.
  void RunTick(TimePoint now);
  void UpdateShutdown(TimePoint now);
  void HandlePeerMessage(const std::string& bytes);
  void QueueMessages(Outbox& out);
  void SendQueuedMessages();
  void PublishView(TimePoint now);
  void LogNewGenerations();
  void ExpireNextShard(TimePoint now);
  void RecordNewFlowRates();
  absl::Status FetchSheet();
  absl::Status FetchVmList();
  void ReportPlatformStatus(const char* what, const absl::Status& status);
  void SleepBackoff(int failures);

  // HTTP endpoint for operators, in daemon_admin.cc.
  HttpResponse HandleAdminRequest(const HttpRequest& request);
  HttpResponse PrometheusResponse();
  HttpResponse StatusResponse();
  HttpResponse ExplainResponse(const HttpRequest& request);
  HttpResponse ExplainService(const HttpRequest& request);
  HttpResponse ExplainFlow(const FlowKey& key, const ServiceView& service,
                           const View& view);

  DaemonSettings settings_;
  FlowTable flows_;
  SharedView view_;
  FlowAssignmentQueue pending_assignments_;
  EventHistory history_;
  Forwarder forwarder_;
  Reactor reactor_;
  std::unique_ptr<PeerTransport> transport_;
  FileDescriptor admin_listener_;

  // Used by the control thread only.
  ControlState control_;
  SendQueue send_queue_;
  uint64_t vm_list_revision_ = 0;
  uint64_t received_bytes_ = 0;
  uint64_t bad_messages_ = 0;
  uint64_t logged_revision_ = 0;
  std::map<ServiceNumber, GenerationId> logged_generations_;
  size_t next_shard_ = 0;
  TimePoint next_rate_sample_at_;
  TimePoint shutdown_deadline_ = TimePoint::max();
  std::string platform_status_ = "none";
  bool platform_ok_ = true;
  std::atomic<int> stop_requests_{0};
  int handled_stop_requests_ = 0;
  bool stopping_ = false;
};

}  // namespace knapweedlift

#endif  // KNAPWEEDLIFT_SERVERS_TABLES_DAEMON_H_
