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

// Connection state of a flow, derived from the caller's packets alone.
enum class FlowState : uint8_t {
  kOpening,      // Only SYNs were seen.
  kEstablished,  // A packet other than a SYN was seen.
  kClosing,      // The caller sent FIN; the answer may be in transit.
  kReset,        // The caller sent RST.
};

// State of a flow. Kept small because a VM holds 300,000 of them.
struct FlowEntry {
  // Deadline of the entry in ticks of kFlowTick.
  uint32_t expires = 0;
  // When this VM first saw the flow, in ticks of kFlowTick.
  uint32_t opened = 0;
  // The low 24 bits of the service number share a word with the state.
  uint32_t service : 24 = 0;
  FlowState state : 8 = FlowState::kOpening;
  ServerId server = kNoServer;

  bool operator==(const FlowEntry&) const = default;
};

inline constexpr Duration kFlowTick{100};

// Lifetimes of entries that the sheet does not configure.
inline constexpr Duration kOpeningLifetime{10'000};
inline constexpr Duration kClosingLifetime{60'000};
inline constexpr Duration kResetLifetime{2'000};

inline uint32_t FlowTicks(TimePoint time) {
  return static_cast<uint32_t>(time.time_since_epoch() / kFlowTick);
}

// Identity hash, because fingerprints are hashes already.
struct FingerprintHash {
  size_t operator()(uint64_t fingerprint) const { return fingerprint; }
};

// The flows of one shard. The shard's lock guards them.
struct FlowMap {
  absl::flat_hash_map<uint64_t, FlowEntry, FingerprintHash> entries;
  size_t capacity = 0;
  // Number of entries in state kOpening. Limited to half of the capacity, so
  // that a SYN flood cannot crowd out established flows.
  size_t opening = 0;
  // Unknown flows of which this VM dropped a packet while it was isolated, with
  // the time, in ticks of kFlowTick, from which on it accepts their packets.
  absl::flat_hash_map<uint64_t, uint32_t, FingerprintHash> quarantined;
};

inline constexpr size_t kMaxQuarantinedFlows = 4'096;
// Longer than a gossip period, so that a healed network split is noticed first.
inline constexpr Duration kQuarantineDuration{700};
inline constexpr Duration kQuarantineEntryLifetime{30'000};

// Quarantines an unknown flow. Returns true if its quarantine has elapsed, so
// that its packets may be accepted.
bool PassesQuarantine(FlowMap& flows, uint64_t fingerprint, TimePoint now);

// Returns the entry of a flow, or null if there is none or its deadline has
// passed.
FlowEntry* FindFlow(FlowMap& flows, uint64_t fingerprint, TimePoint now);

// Inserts or replaces an entry. Returns false and changes nothing if the shard
// is full or a new opening flow would exceed half of the capacity.
bool UpsertFlow(FlowMap& flows, uint64_t fingerprint, const FlowEntry& entry);

// Changes the state of an entry in `flows`.
void SetFlowState(FlowMap& flows, FlowEntry& entry, FlowState state);

// Removes entries whose deadline has passed and calls `on_expired` for each.
// Returns the number of removed entries.
size_t ExpireFlows(FlowMap& flows, TimePoint now,
                   const std::function<void(const FlowEntry&)>& on_expired);

// Disables the deadlock detection of absl::Mutex. The packaged build of the
// library runs it on every lock operation, under a single global lock. Call
// this once at program start.
void DisableMutexDeadlockDetection();

// All flows of a VM, in shards with a lock each.
class FlowTable {
 public:
  // `shard_count` must be a power of two. `capacity` is the number of flows
  // over all shards.
  FlowTable(size_t shard_count, size_t capacity);

  struct Shard {
    absl::Mutex mutex;
    FlowMap flows ABSL_GUARDED_BY(mutex);
  };

  Shard& ShardOf(uint64_t fingerprint);
  size_t shard_count() const { return shards_.size(); }
  Shard& shard(size_t index) { return *shards_[index]; }

  // Returns the number of entries over all shards.
  size_t Size();

  // Calls `visit` for every entry whose deadline has not passed at `now`,
  // holding the lock of one shard at a time.
  void ForEachLive(
      TimePoint now,
      const std::function<void(uint64_t, const FlowEntry&)>& visit);

 private:
  std::vector<std::unique_ptr<Shard>> shards_;
};

}  // namespace knapweedlift

#endif  // KNAPWEEDLIFT_CORE_FLOW_FLOW_TABLE_H_
