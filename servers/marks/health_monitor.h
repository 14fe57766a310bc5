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

// Detects backend servers that do not answer, from the traffic of callers,
// active checks and reports of other VMs, and moves or resets their flows. Used
// by the control thread only.
class HealthMonitor {
 public:
  // How soon a view must be published after the health of a server has changed:
  // at once after a result of this VM's own checks, and soon after all else.
  enum class Urgency : uint8_t { kDeferred, kImmediate };
  using ChangeCallback = std::function<void(Urgency)>;

  // The references must outlive the monitor, except `reuse`, which is copied.
  // `on_change` is called when the health of a server has changed.
  HealthMonitor(Reactor& reactor, FleetMessenger& messenger,
                SharedMarkView& view, MarkedFlowTable& flows,
                MarkForwarder& forwarder, const AddressReuse& reuse,
                ChangeCallback on_change);

  // Evaluates the traffic of callers, starts the checks that are due and
  // expires reports. To be called periodically.
  void Tick(TimePoint now);

  // Drops the health state of servers that the view no longer contains.
  void RemoveUnknownServers();

  // Handles another VM's report that these servers failed its checks.
  void HandleSuspicions(const std::vector<Mark>& marks, TimePoint now);

  // Handles another VM's report that these servers answered its callers at
  // `answered_at` or later.
  void HandlePeerAnswers(const std::vector<Mark>& marks, TimePoint answered_at,
                         TimePoint now);

  // Ignores the outcomes of checks that are still in progress.
  void Stop() { stopping_ = true; }

  // True while no check is in progress.
  bool idle() const { return active_checks_ == 0; }

  const HealthTable& table() const { return table_; }

  // Connection attempts since the start, reference checks included.
  uint64_t check_count() const { return check_count_; }

 private:
  void DetectSilentServers(TimePoint now);
  // Shortest silence that is evidence against a server, which depends on the
  // load of its service.
  Duration MinSilence(Mark mark,
                      const absl::flat_hash_map<Mark, ServerTraffic>& traffic,
                      TimePoint now) const;
  // False for a server whose removal by the platform is final.
  bool IsListedOrHeld(Mark mark) const;
  Listing ListingOf(Mark mark) const;
  // Stops keeping the flows of suspects whose end the facts show.
  void SettleDoubts();
  void StartCheck(Mark mark, Duration delay);
  CheckOutcome RunCheck(Mark mark, const Endpoint& endpoint);
  // Checks some server that is considered healthy. If it fails as well, this
  // VM's own connectivity may be at fault.
  bool ReferenceCheckPasses(Mark mark);
  void HandleOutcome(Mark mark, CheckOutcome outcome);
  // Records the last answer that any of the server's callers got. The evidence
  // of a check may be one flow that waits while the others are answered.
  void RecordLastAnswer(Mark mark);
  // Reports suspects that answered this VM's callers, since the first of them
  // at `answered_at`, to the other VMs, whose own callers may still wait.
  void ReportAnswers(const std::vector<Mark>& marks, TimePoint answered_at);
  // Moves or resets the flows of new suspects. Returns false if there are none.
  bool TerminateFlowsOfSuspects(TimePoint now);
  void ReportSuspects(TimePoint now);

  Reactor& reactor_;
  FleetMessenger& messenger_;
  SharedMarkView& view_;
  MarkedFlowTable& flows_;
  MarkForwarder& forwarder_;
  ChangeCallback on_change_;
  HealthTable table_;
  // Suspects whose flows were moved or reset.
  std::set<Mark> terminated_;
  std::minstd_rand random_;
  // Random delay of this VM's renewed reports, so that the VM with the shortest
  // delay renews for all.
  Duration report_delay_{0};
  size_t active_checks_ = 0;
  uint64_t check_count_ = 0;
  bool stopping_ = false;
};

}  // namespace knapweedlift

#endif  // KNAPWEEDLIFT_SERVERS_MARKS_HEALTH_MONITOR_H_
