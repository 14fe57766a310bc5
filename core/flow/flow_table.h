#ifndef KNAPWEEDLIFT_CORE_FLOW_FLOW_TABLE_H_
#define KNAPWEEDLIFT_CORE_FLOW_FLOW_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/synchronization/mutex.h"
#include "core/ids.h"
#include "core/time.h"

namespace knapweedlift {

// How far a flow has come, as seen from the caller's packets alone.
enum class FlowState : uint8_t {
  kOpening,      // Only SYNs were seen.
  kEstablished,  // A packet other than a SYN was seen.
  kClosing,      // The caller sent FIN; the answer may still be under way.
  kReset,        // The caller sent RST.
};

// What a VM remembers of a flow. Kept small: there are 300,000 of them a VM.
struct FlowEntry {
  // Deadline of the entry in ticks of kFlowTick.
  uint32_t expires = 0;
  // When this VM first saw the flow, in ticks of kFlowTick.
  uint32_t opened = 0;
  // The low 24 bits of the number, and the state, share a word.
  uint32_t service : 24 = 0;
  FlowState state : 8 = FlowState::kOpening;
  ServerId server = kNoServer;

  bool operator==(const FlowEntry&) const = default;
};

inline constexpr Duration kFlowTick{100};

// Lifetimes of entries that the sheet does not set.
inline constexpr Duration kOpeningLifetime{10'000};
inline constexpr Duration kClosingLifetime{60'000};
inline constexpr Duration kResetLifetime{2'000};

inline uint32_t FlowTicks(TimePoint time) {
  return static_cast<uint32_t>(time.time_since_epoch() / kFlowTick);
}

// Fingerprints are hashes already.
struct FingerprintHash {
  size_t operator()(uint64_t fingerprint) const { return fingerprint; }
};

// The flows of one shard. The caller holds the shard's lock.
struct FlowMap {
  absl::flat_hash_map<uint64_t, FlowEntry, FingerprintHash> entries;
  size_t capacity = 0;
  // Entries in state kOpening; at most half of the capacity, so that a SYN
  // flood cannot push out established flows.
  size_t opening = 0;
  // While this VM is cut off: unknown flows whose packet was dropped, and from
  // when on, in ticks of kFlowTick, another packet of them is believed.
  absl::flat_hash_map<uint64_t, uint32_t, FingerprintHash> quarantined;
};

inline constexpr size_t kMaxQuarantinedFlows = 4'096;
// Longer than a gossip period, so that a healed split is noticed first.
inline constexpr Duration kQuarantineDuration{700};
inline constexpr Duration kQuarantineEntryLifetime{30'000};

// Questions an unknown flow. Returns true where it was questioned long enough
// ago to be believed.
bool PassesQuarantine(FlowMap& flows, uint64_t fingerprint, TimePoint now);

// The entry of a flow, or null where none is known or its deadline has passed.
FlowEntry* FindFlow(FlowMap& flows, uint64_t fingerprint, TimePoint now);

// Adds or replaces an entry. Returns false, and changes nothing, when the shard
// is full or an opening flow would exceed its half of the capacity.
bool UpsertFlow(FlowMap& flows, uint64_t fingerprint, const FlowEntry& entry);

// Moves a known flow to `state`.
void SetFlowState(FlowMap& flows, FlowEntry& entry, FlowState state);

// Removes entries whose deadline has passed; `ended` hears of each. Returns the
// number removed.
size_t ExpireFlows(FlowMap& flows, TimePoint now,
                   const std::function<void(const FlowEntry&)>& on_expired);

// Turns off the search for lock cycles that the library's packaged build does
// at every lock, under one lock of its own. To be called at a program's start.
void DisableMutexDeadlockDetection();

// All flows of a VM in shards, each under its own lock.
class FlowTable {
 public:
  // `shard_count` is a power of two; `capacity` counts flows over all shards.
  FlowTable(size_t shard_count, size_t capacity);

  struct Shard {
    absl::Mutex mutex;
    FlowMap flows ABSL_GUARDED_BY(mutex);
  };

  Shard& ShardOf(uint64_t fingerprint);
  size_t shard_count() const { return shards_.size(); }
  Shard& shard(size_t index) { return *shards_[index]; }

  // Number of entries over all shards.
  size_t Size();

  // Calls `visit` for every entry whose deadline lies after `now`, holding one
  // shard's lock at a time.
  void ForEachLive(
      TimePoint now,
      const std::function<void(uint64_t, const FlowEntry&)>& visit);

 private:
  std::vector<std::unique_ptr<Shard>> shards_;
};

}  // namespace knapweedlift

#endif  // KNAPWEEDLIFT_CORE_FLOW_FLOW_TABLE_H_
