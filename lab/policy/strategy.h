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

// Strategies for choosing backend servers that the policy bench compares.
enum class Strategy : uint8_t {
  // The bucket tables of the core, whose changes the VMs coordinate.
  kBucketTables,
  // Stateless rendezvous hashing of every packet.
  kHash,
  // The lookup table computed from the sheet, with a flow cache in each VM.
  kMaglevLocal,
  // Like kMaglevLocal; each new flow is also replicated to one random VM.
  kReplicate,
  // Like kMaglevLocal; every packet is relayed to its flow's first home.
  kHomeAll,
};

// Returns the strategy with the given name on the command line, or nullopt.
std::optional<Strategy> StrategyByName(const std::string& name);

// Returns the name on the command line.
const char* StrategyName(Strategy strategy);

// Returns all strategies in the order in which the bench runs them.
const std::vector<Strategy>& AllStrategies();

// Bytes on the wire of one replicated flow: fingerprint, server, and its share
// of a batch's headers.
inline constexpr size_t kReplicatedFlowBytes = 13;

// Selects a server by rendezvous hashing over the servers that accept new
// flows. Returns kNoServer if there is none.
ServerId ChooseServerByHash(const Service& service, uint64_t fingerprint);

}  // namespace knapweedlift::lab

#endif  // KNAPWEEDLIFT_LAB_POLICY_STRATEGY_H_
