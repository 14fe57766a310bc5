#ifndef KNAPWEEDLIFT_LAB_PLACEMENT_PARTS_H_
#define KNAPWEEDLIFT_LAB_PLACEMENT_PARTS_H_

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
  bool over = false;
  Request request;
};

struct Server {
  ServerFact fact;
  size_t domain = 0;
  double cold_until = 0;
  int busy = 0;
  // Flows whose requests wait for a slot.
  std::deque<size_t> queue;
  int flows = 0;
  uint64_t answered = 0;
};

struct Vm {
  size_t domain = 0;
  MarkView view;
  ViewBuildState memory;
  LoadEstimate estimate;
  LoadReports book;
  std::vector<DomainLoad> domain_loads;
  // By index of the server.
  std::map<size_t, ServerLoad> own;
  uint64_t placed = 0;
};

}  // namespace knapweedlift::lab

#endif  // KNAPWEEDLIFT_LAB_PLACEMENT_PARTS_H_
