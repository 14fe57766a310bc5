#ifndef KNAPWEEDLIFT_SERVERS_MARKS_MARK_DAEMON_H_
#define KNAPWEEDLIFT_SERVERS_MARKS_MARK_DAEMON_H_

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/placement/load_estimate.h"
#include "core/registry/fact_source.h"
#include "drivers/http.h"
#include "servers/marks/health_monitor.h"
#include "servers/marks/mark_forwarder.h"
#include "servers/marks/platform_watcher.h"

namespace knapweedlift {

// What a daemon for packets with marks is told at its start.
struct MarkDaemonSettings {
  std::string name;
  std::string domain;
  // Peer messages, TCP and UDP.
  Endpoint control;
  // Packets.
  Endpoint data;
  // The operators' endpoint.
  Endpoint admin;
  // Tells routers whether to send packets here.
  Endpoint ready;
  Endpoint platform;
  std::vector<Endpoint> seeds;
  uint64_t deployment = 0;
  uint64_t hash_key = 0;
  size_t workers = 1;
  size_t max_flows = 0;
  // Lines about flows, and of each other event.
  size_t flow_log_lines_per_second = 0;
  size_t event_log_lines_per_second = 0;
  // How backend servers' addresses change hands.
  AddressReuse address_reuse;
  // How their entries expire.
  EntryTimes entry_times;
  // How long a stopping daemon forwards at most.
  Duration drain_timeout{0};

  auto operator<=>(const MarkDaemonSettings&) const = default;
};

using FactSourceFactory =
    std::function<std::unique_ptr<FactSource>(Reactor&, const Endpoint&)>;

// Reads the settings again; nothing where they are faulty.
using SettingsReader = std::function<std::optional<MarkDaemonSettings>()>;

// An entry VM's daemon where packets carry marks. Fibers of one thread run the
// control part; the forwarder's workers run the packet path.
class MarkDaemon {
 public:
  // `codec` must outlive the daemon.
  MarkDaemon(const MarkDaemonSettings& settings, const MarkedPacketCodec& codec,
             const FactSourceFactory& make_source,
             SettingsReader read_settings);

  // Opens every socket. Nothing is served where one fails.
  absl::Status Open();

  // Serves until Stop was called and the traffic has moved to other VMs, or the
  // drain deadline has passed.
  void Run();

  // Starts a graceful shutdown; a second call ends it. Safe to call from a
  // signal handler.
  void Stop() { ++stop_requests_; }

  // Reads the settings again. Safe to call from a signal handler.
  void Reload() { ++reload_requests_; }

  // Where it listens, which matters where the kernel chose the ports.
  Endpoint control_endpoint() const { return messenger_.endpoint(); }
  Endpoint data_endpoint() const { return forwarder_.data_endpoint(); }
  Endpoint admin_endpoint() const { return LocalEndpoint(admin_listener_); }
  Endpoint ready_endpoint() const { return LocalEndpoint(ready_listener_); }

 private:
  void RunPeriodicTasks();
  void RunHealthChecks();
  // True while fibers run that nobody joins; they use this daemon.
  bool HasDetachedFibers() const;

  void HandleFleetUpdate(const FleetNews& update);
  void HandleChangedFacts();
  // Publishes soon; changes that follow each other closely share a view.
  void SchedulePublish();
  void PublishView();
  void StartServing();
  void UpdateLoads(TimePoint now);
  void ExpireFlows(TimePoint now);
  void UpdateShutdown(TimePoint now);
  void HandleReloadRequest();
  void LogDecisions();
  void ReportSuppressedLines(const char* event, const std::string& kind,
                             uint64_t count);
  HttpAnswer ReadinessResponse() const;

  MarkDaemonSettings settings_;
  SettingsReader read_settings_;
  Reactor reactor_;
  FileDescriptor ready_listener_;
  FileDescriptor admin_listener_;

  Registry registry_;
  FleetMessenger messenger_;
  std::unique_ptr<FactSource> source_;
  PlatformWatcher watcher_;

  SharedMarkView view_;
  ViewMemory memory_;
  LoadEstimate load_estimate_;
  MarkedFlowTable flows_;
  DecisionLog log_;
  // By reason of a flow's decision, or by event.
  std::map<std::string, uint64_t> suppressed_lines_;
  MarkForwarder forwarder_;
  HealthMonitor health_;

  TimePoint view_published_at_;
  TimePoint view_valid_until_ = TimePoint::max();
  uint64_t views_published_ = 0;
  bool publish_scheduled_ = false;
  // When the first fact came that no view holds yet; never where there is none.
  TimePoint oldest_unpublished_fact_at_ = TimePoint::max();
  LogHistogram publish_delay_ms_{{.min = 1, .max = 1e4, .bins = 20}};

  bool serving_ = false;
  bool stopping_ = false;
  TimePoint next_expire_at_;
  TimePoint shutdown_started_at_ = TimePoint::max();
  std::atomic<int> stop_requests_{0};
  std::atomic<int> reload_requests_{0};
};

}  // namespace knapweedlift

#endif  // KNAPWEEDLIFT_SERVERS_MARKS_MARK_DAEMON_H_
