#ifndef KNAPWEEDLIFT_LAB_POLICY_STRATEGY_H_
#define KNAPWEEDLIFT_LAB_POLICY_STRATEGY_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/flow/flow_table.h"
#include "core/ids.h"
#include "core/sheet/sheet.h"

namespace knapweedlift::lab {

// Ways to choose a backend server, side by side in the policy bench.
enum class Strategy : uint8_t {
  kBucketTables,  // The core.
  kHash,          // Rendezvous hashing of each packet, no state.
  kMaglevLocal,   // The sheet's table and a local cache of flows.
  kReplicate,     // As kMaglevLocal, and each new flow is copied to one peer.
  kHomeAll,       // Every packet passes through its flow's home.
};

std::optional<Strategy> StrategyByName(const std::string& name);
const char* StrategyName(Strategy strategy);
const std::vector<Strategy>& AllStrategies();

// Bytes on the wire of one copied flow: fingerprint, server, and its share of
// a batch's headers.
inline constexpr size_t kReplicatedFlowBytes = 13;

// Rendezvous hashing over the servers that take new flows.
ServerId ChooseServerByHash(const Service& service, uint64_t fingerprint);

}  // namespace knapweedlift::lab

#endif  // KNAPWEEDLIFT_LAB_POLICY_STRATEGY_H_
