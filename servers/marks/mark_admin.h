#ifndef KNAPWEEDLIFT_SERVERS_MARKS_MARK_ADMIN_H_
#define KNAPWEEDLIFT_SERVERS_MARKS_MARK_ADMIN_H_

#include <map>
#include <string>

#include "core/placement/load_estimate.h"
#include "drivers/http.h"
#include "servers/marks/admission_control.h"
#include "servers/marks/copy_resolver.h"
#include "servers/marks/health_monitor.h"
#include "servers/marks/platform_watcher.h"

namespace knapweedlift {

// State that the admin endpoint of a mark daemon reads. The references must
// outlive the endpoint.
struct MarkAdminContext {
  const std::string& name;
  uint64_t hash_key;
  const Registry& registry;
  const FleetMessenger& messenger;
  const PlatformWatcher& watcher;
  const HealthMonitor& health;
  const CopyResolver& copies;
  const MarkForwarder& forwarder;
  const ViewBuildState& memory;
  const AdmissionControl& admission;
  // Log lines dropped by rate limits, by flow decision or by event.
  const std::map<std::string, uint64_t>& suppressed_lines;
  // Log lines dropped because nobody read the output, by event.
  const std::map<std::string, uint64_t>& dropped_lines;
  // Time from learning of a change to publishing it to the packet path.
  const LogHistogram& publish_delay_ms;
  const uint64_t& views_published;
  const uint64_t& eras_begun;
  SharedMarkView& view;
  MarkedFlowTable& flows;
};

// Serves /metrics, /v1/status and /v1/explain; other paths get status 404. Used
// by the control thread only.
HttpResponse HandleMarkAdminRequest(const MarkAdminContext& context,
                                    const HttpRequest& request);

}  // namespace knapweedlift

#endif  // KNAPWEEDLIFT_SERVERS_MARKS_MARK_ADMIN_H_
