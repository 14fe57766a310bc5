#ifndef KNAPWEEDLIFT_SERVERS_MARKS_COPY_RESOLVER_H_
#define KNAPWEEDLIFT_SERVERS_MARKS_COPY_RESOLVER_H_

#include <boost/fiber/buffered_channel.hpp>
#include <cstdint>
#include <map>

#include "core/flow/marked_flows.h"
#include "servers/marks/fleet_messenger.h"
#include "servers/marks/mark_forwarder.h"

namespace knapweedlift {

// How the waits of held copies ended since the start.
struct HeldCopyCounts {
  // A keeper told the server of the SYN.
  uint64_t resolved = 0;
  // All keepers that were asked replied that they know no earlier copy.
  uint64_t unknown = 0;
  uint64_t timed_out = 0;

  auto operator<=>(const HeldCopyCounts&) const = default;
};

// Keeps the copies of one SYN on one server when they reach several VMs: tells
// the keepers of this VM's flows that are still opening, and lets a copy whose
// SYN this VM has not seen wait for the answer of its flow's keepers. Hold is
// called by the workers, all else by the control thread.
class CopyResolver {
 public:
  // The references must outlive the resolver.
  CopyResolver(FleetMessenger& messenger, MarkedFlowTable& flows,
               MarkForwarder& forwarder);

  // Queues a copy. Returns false if the queue is full or closed.
  bool Hold(HeldCopy copy);

  // Asks for the copies that are held until Stop is called.
  void Run();
  // Makes Run return once all held copies have been asked for.
  void Stop() { queue_.close(); }

  // Reports openings and forwards the copies whose wait is over. To be called
  // periodically.
  void Tick(TimePoint now);

  void HandleReply(const OpeningReply& reply, TimePoint now);

  const HeldCopyCounts& counts() const { return counts_; }

 private:
  struct Query {
    HeldCopy copy;
    size_t replies_left = 0;
    TimePoint deadline;
  };
  using Queries = std::map<OpeningId, Query>;

  void Ask(HeldCopy copy, TimePoint now);
  // Forwards the copy of a query and ends the query. Returns the next one.
  Queries::iterator Finish(Queries::iterator query,
                           const std::optional<Opening>& opening,
                           TimePoint now);

  FleetMessenger& messenger_;
  MarkedFlowTable& flows_;
  MarkForwarder& forwarder_;
  boost::fibers::buffered_channel<HeldCopy> queue_;
  Queries queries_;
  HeldCopyCounts counts_;
};

}  // namespace knapweedlift

#endif  // KNAPWEEDLIFT_SERVERS_MARKS_COPY_RESOLVER_H_
