#include "core/flow/flow_table.h"

#include <algorithm>

namespace knapweedlift {
namespace {

constexpr int kShardShift = 48;

}  // namespace

FlowEntry* FindFlow(FlowMap& flows, uint64_t fingerprint, TimePoint now) {
  const auto found = flows.entries.find(fingerprint);
  if (found == flows.entries.end()) return nullptr;
  if (found->second.expires < FlowTicks(now)) return nullptr;
  return &found->second;
}

bool UpsertFlow(FlowMap& flows, uint64_t fingerprint, const FlowEntry& entry) {
  const bool opening = entry.state == FlowState::kOpening;
  const auto found = flows.entries.find(fingerprint);
  if (found != flows.entries.end()) {
    SetFlowState(flows, found->second, entry.state);
    found->second = entry;
    return true;
  }
  if (flows.entries.size() >= flows.capacity) return false;
  if (opening && flows.opening >= flows.capacity / 2) return false;
  flows.entries.emplace(fingerprint, entry);
  if (opening) ++flows.opening;
  return true;
}

void SetFlowState(FlowMap& flows, FlowEntry& entry, FlowState state) {
  if (entry.state == state) return;
  if (entry.state == FlowState::kOpening) --flows.opening;
  if (state == FlowState::kOpening) ++flows.opening;
  entry.state = state;
}

bool PassesQuarantine(FlowMap& flows, uint64_t fingerprint, TimePoint now) {
  const auto found = flows.quarantined.find(fingerprint);
  if (found != flows.quarantined.end()) return found->second <= FlowTicks(now);
  if (flows.quarantined.size() < kMaxQuarantinedFlows) {
    flows.quarantined[fingerprint] = FlowTicks(now + kQuarantineDuration);
  }
  return false;
}

size_t ExpireFlows(FlowMap& flows, TimePoint now,
                   const std::function<void(const FlowEntry&)>& on_expired) {
  const uint32_t now_ticks = FlowTicks(now);
  const size_t before = flows.entries.size();
  const uint32_t lifetime = kQuarantineEntryLifetime / kFlowTick;
  absl::erase_if(flows.quarantined, [&](const auto& item) {
    return item.second + lifetime < now_ticks;
  });
  absl::erase_if(flows.entries, [&](const auto& item) {
    if (item.second.expires >= now_ticks) return false;
    if (item.second.state == FlowState::kOpening) --flows.opening;
    on_expired(item.second);
    return true;
  });
  return before - flows.entries.size();
}

void DisableMutexDeadlockDetection() {
  absl::SetMutexDeadlockDetectionMode(absl::OnDeadlockCycle::kIgnore);
}

FlowTable::FlowTable(size_t shard_count, size_t capacity) {
  for (size_t i = 0; i < shard_count; ++i) {
    auto shard = std::make_unique<Shard>();
    absl::MutexLock lock(&shard->mutex);
    shard->flows.capacity = std::max<size_t>(1, capacity / shard_count);
    shard->flows.entries.reserve(shard->flows.capacity);
    shards_.push_back(std::move(shard));
  }
}

FlowTable::Shard& FlowTable::ShardOf(uint64_t fingerprint) {
  return *shards_[(fingerprint >> kShardShift) & (shards_.size() - 1)];
}

size_t FlowTable::Size() {
  size_t size = 0;
  for (const auto& shard : shards_) {
    absl::MutexLock lock(&shard->mutex);
    size += shard->flows.entries.size();
  }
  return size;
}

void FlowTable::ForEachLive(
    TimePoint now,
    const std::function<void(uint64_t, const FlowEntry&)>& visit) {
  const uint32_t now_ticks = FlowTicks(now);
  for (const auto& shard : shards_) {
    absl::MutexLock lock(&shard->mutex);
    for (const auto& [fingerprint, entry] : shard->flows.entries) {
      if (entry.expires >= now_ticks) visit(fingerprint, entry);
    }
  }
}

}  // namespace knapweedlift
