#ifndef KNAPWEEDLIFT_SERVERS_MARKS_MARK_DAEMON_H_
#define KNAPWEEDLIFT_SERVERS_MARKS_MARK_DAEMON_H_

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/placement/cold_limit.h"
#include "core/placement/load_estimate.h"
#include "core/placement/server_speed.h"
#include "core/registry/fact_source.h"
#include "drivers/http.h"
#include "servers/marks/admission_control.h"
#include "servers/marks/copy_resolver.h"
#include "servers/marks/health_monitor.h"
#include "servers/marks/mark_forwarder.h"
#include "servers/marks/platform_watcher.h"

namespace knapweedlift {

// Settings of a daemon that forwards packets by their marks.
struct MarkDaemonSettings {
  std::string name;
  std::string domain;
  // Address for messages between VMs, TCP and UDP.
  Endpoint control;
  // Address for packets, UDP.
  Endpoint data;
  // HTTP endpoint for operators.
  Endpoint admin;
  // HTTP endpoint for the readiness probes of routers.
  Endpoint ready;
  Endpoint platform;
  std::vector<Endpoint> seeds;
  uint64_t deployment = 0;
  uint64_t hash_key = 0;
  size_t workers = 1;
  size_t max_flows = 0;
  // Log limits: lines about flow decisions, and lines of each other event.
  size_t flow_log_lines_per_second = 0;
  size_t event_log_lines_per_second = 0;
  // When the address of a removed backend server may belong to another one.
  AddressReuse address_reuse;
  // How server entries expire and return around an outage of the store.
  EntryTiming entry_times;
  // Tolerance of the limit of new flows on cold servers.
  ColdLimitSettings cold_limit;
  AdmissionSettings admission;
  // Longest time that the daemon keeps forwarding after Stop.
  Duration drain_timeout{0};
  // New flows avoid servers that answer more slowly than others of their
  // service.
  bool avoid_slow_servers = false;

  auto operator<=>(const MarkDaemonSettings&) const = default;
};

// Creates the client of the platform at the given address.
using FactSourceFactory =
    std::function<std::unique_ptr<FactSource>(Reactor&, const Endpoint&)>;

// Reads the settings again. Returns nothing if they are invalid.
using SettingsReader = std::function<std::optional<MarkDaemonSettings>()>;

// Daemon of an entry VM that forwards packets by their marks. Fibers of one
// thread run the control plane; the worker threads of the forwarder run the
// packet path.
class MarkDaemon {
 public:
  // `codec` must outlive the daemon.
  MarkDaemon(const MarkDaemonSettings& settings, const MarkedPacketCodec& codec,
             const FactSourceFactory& make_source,
             SettingsReader read_settings);

  // Opens all sockets and starts the workers. If a socket cannot be opened, its
  // error is returned and the daemon must not be run.
  absl::Status Open();

  // Serves until Stop is called and the routers have moved the traffic to other
  // VMs, or the drain timeout has expired.
  void Run();

  // Starts a graceful shutdown; a second call stops at once. Safe to call from
  // a signal handler.
  void Stop() { ++stop_requests_; }

  // Requests that the settings be read again; seeds and drain timeout take
  // effect without a restart. Safe to call from a signal handler.
  void Reload() { ++reload_requests_; }

  // Bound addresses, whose ports may have been chosen by the kernel.
  Endpoint control_endpoint() const { return messenger_.endpoint(); }
  Endpoint data_endpoint() const { return forwarder_.data_endpoint(); }
  Endpoint admin_endpoint() const { return LocalEndpoint(admin_listener_); }
  Endpoint ready_endpoint() const { return LocalEndpoint(ready_listener_); }

 private:
  void RunPeriodicTasks();
  void RunHealthChecks();
  // True while detached fibers run, which refer to this daemon.
  bool HasDetachedFibers() const;

  void HandleFleetUpdate(const FleetMessageResult& update);
  void HandleChangedFacts();
  // Logs the facts' first revision of a new era of the store.
  void LogNewEra();
  // Publishes a view at once or shortly after the last one, so that changes in
  // quick succession share a view.
  void SchedulePublish();
  void PublishView();
  void StartServing();
  void UpdateLoads(TimePoint now);
  void UpdateColdServers(TimePoint now);
  void ExpireFlows(TimePoint now);
  void UpdateShutdown(TimePoint now);
  void HandleReloadRequest();
  void LogDecisions();
  void ReportSuppressedLines(const char* event, const std::string& kind,
                             uint64_t count);
  HttpResponse ReadinessResponse() const;

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
  ViewBuildState memory_;
  LoadEstimate load_estimate_;
  ColdElection cold_election_;
  ServerSpeeds server_speeds_;
  AdmissionControl admission_;
  MarkedFlowTable flows_;
  DecisionLog log_;
  // Log lines dropped by rate limits, by flow decision or by event.
  std::map<std::string, uint64_t> suppressed_lines_;
  // Log lines dropped because nobody read the output, by event.
  std::map<std::string, uint64_t> dropped_lines_;
  MarkForwarder forwarder_;
  CopyResolver copies_;
  HealthMonitor health_;

  TimePoint view_published_at_;
  TimePoint view_valid_until_ = TimePoint::max();
  uint64_t views_published_ = 0;
  // New eras of the store since the first facts.
  uint64_t eras_begun_ = 0;
  Revision last_logged_revision_;
  bool publish_scheduled_ = false;
  // When this VM learnt of the oldest change that no view contains yet; max()
  // if there is none.
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
