#include "core/flow/marked_flows.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "core/registry/registry.h"

namespace knapweedlift {
namespace {

// Covers retransmissions of the caller's FIN.
constexpr Duration kClosedFlowLifetime{2'000};
// A caller that still waits retransmits at least this often.
constexpr Duration kWaitTimeout{2'000};
// A full server refuses a request (status 503) at once; a response to a request
// that was run takes longer.
constexpr Duration kMinServiceTime{5};
constexpr double kWaitSmoothing = 1.0 / 16;
// Callers give up a connection attempt after 1.4 s.
constexpr Duration kOpeningFlowLifetime{3'000};

// No flow is older than this, so that none stays in doubt for longer.
constexpr Duration kMaxRouteDoubt = kTombstoneLifetime;

// Returns true if `a` precedes `b` in wrapping sequence numbers.
bool IsSequenceBefore(uint32_t a, uint32_t b) {
  return static_cast<int32_t>(a - b) < 0;
}

void StartWaiting(ServerTraffic& traffic, MarkedFlow& flow, TimePoint now) {
  if (flow.waiting_since != TimePoint::max()) return;
  flow.waiting_since = now;
  ++traffic.waiting;
  traffic.silent_since = std::min(traffic.silent_since, now);
}

void StopWaiting(ServerTraffic& traffic, MarkedFlow& flow) {
  if (flow.waiting_since == TimePoint::max()) return;
  flow.waiting_since = TimePoint::max();
  --traffic.waiting;
  if (traffic.waiting == 0) traffic.silent_since = TimePoint::max();
}

void RecordAnswer(ServerTraffic& traffic, MarkedFlow& flow, TimePoint now,
                  PacketObservation& observation) {
  observation.answered = true;
  if (flow.waiting_since != TimePoint::max()) {
    observation.waited = now - flow.waiting_since;
    const auto waited = static_cast<double>(observation.waited.count());
    traffic.mean_wait_ms += kWaitSmoothing * (waited - traffic.mean_wait_ms);
  }
  StopWaiting(traffic, flow);
  traffic.last_answer = now;
  traffic.silent_since = traffic.waiting > 0 ? now : TimePoint::max();
}

// Waits below the clock's resolution count as one millisecond.
void AddWait(ResponseWaits& waits, Duration waited) {
  ++waits.count;
  waits.log_sum += std::log(std::max(1.0, static_cast<double>(waited.count())));
}

void DetachFromServer(MarkedFlowMap& map, MarkedFlow& flow) {
  const auto found = map.servers.find(flow.mark);
  if (found == map.servers.end()) return;
  StopWaiting(found->second, flow);
  if (flow.state == MarkedFlowState::kClosing) return;
  --found->second.flows;
}

void CloseFlow(ServerTraffic& traffic, MarkedFlow& flow) {
  if (flow.state == MarkedFlowState::kClosing) return;
  StopWaiting(traffic, flow);
  flow.state = MarkedFlowState::kClosing;
  --traffic.flows;
}

PacketObservation RecordSyn(ServerTraffic& traffic, MarkedFlow& flow,
                            bool known, TimePoint now) {
  StartWaiting(traffic, flow, now);
  return {.retransmitted = known};
}

PacketObservation RecordSegment(ServerTraffic& traffic, MarkedFlow& flow,
                                bool known, const MarkedPacket& packet,
                                TimePoint now) {
  PacketObservation observation;
  const bool handshake_completed = flow.state == MarkedFlowState::kOpening;
  // Callers send packets without data only to acknowledge received data, even
  // if an earlier packet is missing.
  const bool bare_ack = packet.payload_size == 0 && !packet.fin;
  const bool answered =
      known && (handshake_completed || bare_ack ||
                IsSequenceBefore(flow.acknowledged, packet.acknowledged));
  observation.handshake_completed = handshake_completed;
  if (handshake_completed) {
    flow.state = MarkedFlowState::kOpen;
    flow.syn_packet = {};
  }
  if (answered) RecordAnswer(traffic, flow, now, observation);
  if (answered && !handshake_completed && !flow.served &&
      observation.waited > Duration(0)) {
    flow.served = true;
    observation.first_served = observation.waited >= kMinServiceTime;
  }
  // Before the first acknowledgment there is no earlier one to compare with.
  if (!known || handshake_completed ||
      IsSequenceBefore(flow.acknowledged, packet.acknowledged)) {
    flow.acknowledged = packet.acknowledged;
  }
  const uint32_t end = packet.sequence + packet.payload_size;
  if (packet.payload_size > 0) {
    observation.retransmitted =
        known && !IsSequenceBefore(flow.next_sequence, end);
    StartWaiting(traffic, flow, now);
  }
  if (!known || IsSequenceBefore(flow.next_sequence, end)) {
    flow.next_sequence = end;
  }
  if (packet.fin) CloseFlow(traffic, flow);
  return observation;
}

}  // namespace

MarkedFlow* FindMarkedFlow(MarkedFlowMap& map, uint64_t fingerprint) {
  const auto found = map.flows.find(fingerprint);
  return found == map.flows.end() ? nullptr : &found->second;
}

PacketObservation RecordPacket(MarkedFlowMap& map, uint64_t fingerprint,
                               const MarkedPacket& packet, Mark mark,
                               TimePoint now) {
  MarkedFlow* flow = FindMarkedFlow(map, fingerprint);
  if (packet.rst) {
    if (flow != nullptr) RemoveMarkedFlow(map, fingerprint);
    return {};
  }
  // A reused port opens a new flow.
  const bool stale = flow != nullptr &&
                     (flow->mark != mark ||
                      (packet.syn && flow->syn_sequence != packet.sequence));
  if (stale) {
    RemoveMarkedFlow(map, fingerprint);
    flow = nullptr;
  }
  const bool known = flow != nullptr;
  if (!known) {
    if (map.flows.size() >= map.capacity) return {};
    flow = &map.flows[fingerprint];
    *flow = {.key = packet.key,
             .mark = mark,
             .state = packet.syn ? MarkedFlowState::kOpening
                                 : MarkedFlowState::kOpen,
             .syn_sequence = packet.syn ? packet.sequence : 0,
             .next_sequence = packet.sequence};
    ++map.servers[mark].flows;
  }
  flow->last_seen = now;
  ServerTraffic& traffic = map.servers[mark];
  if (flow->state == MarkedFlowState::kClosing) return {};
  if (packet.syn) return RecordSyn(traffic, *flow, known, now);
  const bool waiting = flow->waiting_since != TimePoint::max();
  const PacketObservation observation =
      RecordSegment(traffic, *flow, known, packet, now);
  const bool measured = waiting && observation.answered &&
                        !observation.handshake_completed &&
                        packet.payload_size == 0;
  if (measured) AddWait(map.waits[mark], observation.waited);
  return observation;
}

void RecordPlacement(MarkedFlowMap& map, uint64_t fingerprint, MarkedFlow& flow,
                     const FlowPlacement& placement) {
  flow.placement = placement;
  if (map.due_openings.size() >= map.capacity) return;
  map.due_openings.push_back(
      {.id = {.flow = fingerprint, .syn_sequence = flow.syn_sequence},
       .due_at = placement.placed_at + kOpeningReportDelay});
}

std::vector<Opening> TakeDueOpenings(MarkedFlowMap& map, TimePoint now) {
  std::vector<Opening> openings;
  while (!map.due_openings.empty() && map.due_openings.front().due_at <= now) {
    const OpeningId id = map.due_openings.front().id;
    map.due_openings.pop_front();
    const MarkedFlow* flow = FindMarkedFlow(map, id.flow);
    const bool opening = flow != nullptr &&
                         flow->state == MarkedFlowState::kOpening &&
                         flow->syn_sequence == id.syn_sequence;
    if (!opening) continue;
    openings.push_back(
        {.id = id, .mark = flow->mark, .placed_at = flow->placement.placed_at});
  }
  return openings;
}

bool IsUnseenCopy(const MarkedPacket& packet, const MarkedFlow* flow) {
  const bool seen = flow != nullptr && flow->syn_sequence == packet.sequence;
  return packet.syn && packet.retransmit_count > 0 && !seen;
}

void AdoptOpening(MarkedFlowMap& map, const MarkedPacket& packet,
                  const Opening& opening, TimePoint now) {
  const uint64_t fingerprint = opening.id.flow;
  if (!IsUnseenCopy(packet, FindMarkedFlow(map, fingerprint))) return;
  RecordPacket(map, fingerprint, packet, opening.mark, now);
  MarkedFlow* flow = FindMarkedFlow(map, fingerprint);
  if (flow == nullptr) return;
  flow->placement = {.reason = ResultCode::kForwardedKnownOpening,
                     .placed_at = opening.placed_at};
}

void MoveFlow(MarkedFlowMap& map, uint64_t fingerprint, MarkedFlow& flow,
              Mark mark, TimePoint now) {
  DetachFromServer(map, flow);
  flow.mark = mark;
  map.due_openings.push_front(
      {.id = {.flow = fingerprint, .syn_sequence = flow.syn_sequence},
       .due_at = now});
  ServerTraffic& traffic = map.servers[mark];
  ++traffic.flows;
  StartWaiting(traffic, flow, now);
}

void RemoveMarkedFlow(MarkedFlowMap& map, uint64_t fingerprint) {
  const auto found = map.flows.find(fingerprint);
  if (found == map.flows.end()) return;
  DetachFromServer(map, found->second);
  map.flows.erase(found);
}

bool IsRouteInDoubt(MarkedFlowMap& map, uint64_t fingerprint,
                    TimePoint confirmed_at, TimePoint now) {
  const bool full = map.unrouted.size() >= map.capacity;
  if (full && !map.unrouted.contains(fingerprint)) return true;
  const auto [found, added] = map.unrouted.try_emplace(fingerprint);
  UnroutedFlow& flow = found->second;
  if (added) {
    const MarkedFlow* known = FindMarkedFlow(map, fingerprint);
    flow.since = now;
    flow.had_route = known != nullptr && known->routed;
  }
  flow.last_seen = now;
  return !flow.had_route && confirmed_at < flow.since + kMaxFactsLag &&
         now < flow.since + kMaxRouteDoubt;
}

void RecordRoute(MarkedFlowMap& map, uint64_t fingerprint, MarkedFlow* flow) {
  if (flow != nullptr) flow->routed = true;
  if (!map.unrouted.empty()) map.unrouted.erase(fingerprint);
}

void ExpireMarkedFlows(MarkedFlowMap& map, Duration idle_timeout,
                       TimePoint now) {
  std::vector<uint64_t> expired;
  for (auto& [fingerprint, flow] : map.flows) {
    if (now - flow.last_seen > kWaitTimeout) {
      StopWaiting(map.servers[flow.mark], flow);
    }
    Duration lifetime = idle_timeout;
    if (flow.state == MarkedFlowState::kClosing) lifetime = kClosedFlowLifetime;
    if (flow.state == MarkedFlowState::kOpening) {
      lifetime = kOpeningFlowLifetime;
    }
    if (now - flow.last_seen > lifetime) expired.push_back(fingerprint);
  }
  for (const uint64_t fingerprint : expired) {
    RemoveMarkedFlow(map, fingerprint);
  }
  absl::erase_if(map.unrouted, [idle_timeout, now](const auto& item) {
    return now - item.second.last_seen > idle_timeout;
  });
  absl::erase_if(map.servers, [](const auto& item) {
    return item.second.flows == 0 && item.second.waiting == 0;
  });
}

MarkedFlowTable::MarkedFlowTable(size_t shard_count, size_t capacity) {
  for (size_t i = 0; i < shard_count; ++i) {
    auto shard = std::make_unique<Shard>();
    shard->map.capacity = capacity / shard_count;
    shards_.push_back(std::move(shard));
  }
}

MarkedFlowTable::Shard& MarkedFlowTable::ShardOf(uint64_t fingerprint) {
  // The hash maps of the shards use the low bits.
  return *shards_[(fingerprint >> 48) & (shards_.size() - 1)];
}

absl::flat_hash_map<Mark, ServerTraffic> MarkedFlowTable::Traffic() {
  absl::flat_hash_map<Mark, ServerTraffic> sum;
  for (const auto& shard : shards_) {
    absl::MutexLock lock(&shard->mutex);
    for (const auto& [mark, traffic] : shard->map.servers) {
      const auto [found, added] = sum.try_emplace(mark, traffic);
      if (added) continue;
      ServerTraffic& total = found->second;
      total.flows += traffic.flows;
      total.waiting += traffic.waiting;
      total.silent_since = std::min(total.silent_since, traffic.silent_since);
      total.last_answer = std::max(total.last_answer, traffic.last_answer);
      total.mean_wait_ms = std::max(total.mean_wait_ms, traffic.mean_wait_ms);
    }
  }
  return sum;
}

std::vector<Opening> MarkedFlowTable::TakeDueOpenings(TimePoint now) {
  std::vector<Opening> openings;
  for (const auto& shard : shards_) {
    absl::MutexLock lock(&shard->mutex);
    const auto due = knapweedlift::TakeDueOpenings(shard->map, now);
    openings.insert(openings.end(), due.begin(), due.end());
  }
  return openings;
}

absl::flat_hash_map<Mark, ResponseWaits> MarkedFlowTable::TakeResponseWaits() {
  absl::flat_hash_map<Mark, ResponseWaits> sum;
  for (const auto& shard : shards_) {
    absl::MutexLock lock(&shard->mutex);
    for (const auto& [mark, waits] : std::exchange(shard->map.waits, {})) {
      sum[mark].count += waits.count;
      sum[mark].log_sum += waits.log_sum;
    }
  }
  return sum;
}

}  // namespace knapweedlift
