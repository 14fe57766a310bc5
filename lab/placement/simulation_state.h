#ifndef KNAPWEEDLIFT_LAB_PLACEMENT_SIMULATION_STATE_H_
#define KNAPWEEDLIFT_LAB_PLACEMENT_SIMULATION_STATE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <vector>

#include "core/placement/load_estimate.h"
#include "core/placement/mark_view.h"
#include "lab/placement/event_queue.h"

// State of the parts of a simulated deployment. Flows, servers and VMs refer to
// each other by index.
namespace knapweedlift::lab {

// A caller's connection, which carries one request at a time.
struct Flow {
  size_t vm = 0;
  size_t server = 0;
  int requests_left = 0;
  // True while the caller awaits a response.
  bool waiting = false;
  // Set when the flow ends or its server is replaced; such a flow carries no
  // more requests.
  bool ended = false;
  Request request;
};

// A backend server, which processes one request per slot.
struct Server {
  ServerFact fact;
  size_t domain = 0;
  // Requests that start before this time take longer.
  double warm_up_end_ms = 0;
  int busy_slots = 0;
  // Flows whose requests wait for a free slot.
  std::deque<size_t> queue;
  int flows = 0;
  uint64_t completed_requests = 0;
};

// An entry VM, which places flows on servers.
struct Vm {
  size_t domain = 0;
  MarkView view;
  ViewBuildState view_state;
  LoadEstimate estimate;
  LoadReports load_reports;
  std::vector<DomainLoad> domain_loads;
  // Load of the VM's own flows, by index of the server.
  std::map<size_t, ServerLoad> own_loads;
  uint64_t placed_flows = 0;
};

}  // namespace knapweedlift::lab

#endif  // KNAPWEEDLIFT_LAB_PLACEMENT_SIMULATION_STATE_H_
