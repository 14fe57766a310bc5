#ifndef KNAPWEEDLIFT_SERVERS_MARKS_HEALTH_MONITOR_H_
#define KNAPWEEDLIFT_SERVERS_MARKS_HEALTH_MONITOR_H_

#include <cstdint>
#include <functional>
#include <random>
#include <set>

#include "core/flow/marked_flows.h"
#include "core/health/server_health.h"
#include "servers/marks/fleet_messenger.h"
#include "servers/marks/mark_forwarder.h"
#include "servers/marks/shared_mark_view.h"

namespace knapweedlift {

// Finds backend servers that do not answer. Used by the control thread alone.
class HealthMonitor {
 public:
  // Called where the health of a server changed; the view must follow at once
  // for a verdict of this VM's own, and soon for another VM's word.
  enum class Urgency : uint8_t { kDeferred, kImmediate };
  using ChangeCallback = std::function<void(Urgency)>;

  // The references must outlive the monitor.
  HealthMonitor(Reactor& reactor, FleetMessenger& messenger,
                SharedMarkView& view, MarkedFlowTable& flows,
                MarkForwarder& forwarder, const AddressReuse& reuse,
                ChangeCallback on_change);

  // Looks for silence once and starts the checks that are due.
  void Tick(TimePoint now);

  // Forgets servers that no view knows any more.
  void RemoveUnknownServers();

  // Other VMs suspect these servers.
  void HandleSuspicions(const std::vector<Mark>& marks, TimePoint now);

  // No check is evaluated any more.
  void Stop() { stopping_ = true; }

  // True where no check is under way.
  bool idle() const { return active_checks_ == 0; }

  const HealthTable& table() const { return table_; }
  uint64_t check_count() const { return check_count_; }

 private:
  void DetectSilentServers(TimePoint now);
  // False for a server that is gone for good.
  bool IsListedOrHeld(Mark mark) const;
  void StartCheck(Mark mark, Duration delay);
  CheckOutcome RunCheck(Mark mark, const Endpoint& endpoint);
  bool ReferenceCheckPasses(Mark mark);
  void HandleOutcome(Mark mark, CheckOutcome outcome);
  // Ends the flows of new suspects. Returns false where there is none.
  bool TerminateFlowsOfSuspects(TimePoint now);
  void ReportSuspects(TimePoint now);

  Reactor& reactor_;
  FleetMessenger& messenger_;
  SharedMarkView& view_;
  MarkedFlowTable& flows_;
  MarkForwarder& forwarder_;
  ChangeCallback on_change_;
  HealthTable table_;
  // Suspects whose flows were ended.
  std::set<Mark> terminated_;
  std::minstd_rand random_;
  // This VM's place among those that renew reports.
  Duration report_delay_{0};
  size_t active_checks_ = 0;
  uint64_t check_count_ = 0;
  bool stopping_ = false;
};

}  // namespace knapweedlift

#endif  // KNAPWEEDLIFT_SERVERS_MARKS_HEALTH_MONITOR_H_
