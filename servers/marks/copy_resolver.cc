#include "servers/marks/copy_resolver.h"

#include <utility>

#include "core/fleet/openings.h"
#include "drivers/clock.h"

namespace knapweedlift {
namespace {

// Copies that wait to be asked for; a power of two, as the channel requires.
// Further ones are placed at once.
constexpr size_t kMaxQueuedCopies = 256;
// Bounds the memory for copies during a flood of SYNs with a copy count.
constexpr size_t kMaxQueries = 1'024;
// Longest wait for the keepers. A VM with a small share of a core handles a
// message tens of milliseconds late, and the caller sends the next copy 400 ms
// after the first one.
constexpr Duration kQueryTimeout{60};

}  // namespace

CopyResolver::CopyResolver(FleetMessenger& messenger, MarkedFlowTable& flows,
                           MarkForwarder& forwarder)
    : messenger_(messenger),
      flows_(flows),
      forwarder_(forwarder),
      queue_(kMaxQueuedCopies) {}

bool CopyResolver::Hold(HeldCopy copy) {
  return queue_.try_push(std::move(copy)) ==
         boost::fibers::channel_op_status::success;
}

void CopyResolver::Run() {
  HeldCopy copy;
  while (queue_.pop(copy) == boost::fibers::channel_op_status::success) {
    Ask(std::move(copy), Now());
  }
}

void CopyResolver::Ask(HeldCopy copy, TimePoint now) {
  const OpeningId id = copy.id;
  const auto opening = FindOpening(messenger_.state().openings, id);
  const bool full = queries_.size() >= kMaxQueries || queries_.contains(id);
  const size_t asked =
      opening.has_value() || full ? 0 : messenger_.SendOpeningQuery(id);
  const auto [query, added] =
      queries_.try_emplace(id, Query{.copy = std::move(copy),
                                     .replies_left = asked,
                                     .deadline = now + kQueryTimeout});
  // A further copy of the same SYN shares the wait of the first one.
  if (added && asked == 0) Finish(query, opening, now);
}

void CopyResolver::HandleReply(const OpeningReply& reply, TimePoint now) {
  const auto query = queries_.find(reply.id);
  if (query == queries_.end()) return;
  // A forwarded query may have several replies, so that none of them ends it.
  if (!reply.forwarded) --query->second.replies_left;
  const bool done =
      reply.opening.has_value() || query->second.replies_left == 0;
  if (done) Finish(query, reply.opening, now);
}

void CopyResolver::Tick(TimePoint now) {
  const std::vector<Opening> openings = flows_.TakeDueOpenings(now);
  if (!openings.empty()) messenger_.SendOpenings(openings);
  for (auto query = queries_.begin(); query != queries_.end();) {
    const bool over = now >= query->second.deadline;
    query = over ? Finish(query, {}, now) : std::next(query);
  }
}

CopyResolver::Queries::iterator CopyResolver::Finish(
    Queries::iterator query, const std::optional<Opening>& opening,
    TimePoint now) {
  if (opening.has_value()) {
    ++counts_.resolved;
  } else if (query->second.replies_left == 0) {
    ++counts_.unknown;
  } else {
    ++counts_.timed_out;
  }
  forwarder_.ForwardHeldCopy(std::move(query->second.copy), opening, now);
  return queries_.erase(query);
}

}  // namespace knapweedlift
