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

// What a played deployment consists of.
namespace knapweedlift::lab {

struct Flow {
  size_t vm = 0;
  size_t server = 0;
  int requests_left = 0;
  bool waiting = false;
  // Flows that ended, or whose server did, take no more requests.
  bool ended = false;
  Request request;
};

struct Server {
  ServerFact fact;
  size_t domain = 0;
  double warm_up_end_ms = 0;
  int busy_slots = 0;
  // Flows whose requests wait for a slot.
  std::deque<size_t> queue;
  int flows = 0;
  uint64_t completed_requests = 0;
};

struct Vm {
  size_t domain = 0;
  MarkView view;
  ViewBuildState view_state;
  LoadEstimate estimate;
  LoadReports load_reports;
  std::vector<DomainLoad> domain_loads;
  // By index of the server.
  std::map<size_t, ServerLoad> own_loads;
  uint64_t placed_flows = 0;
};

}  // namespace knapweedlift::lab

#endif  // KNAPWEEDLIFT_LAB_PLACEMENT_SIMULATION_STATE_H_
