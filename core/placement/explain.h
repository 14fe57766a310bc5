#ifndef KNAPWEEDLIFT_CORE_PLACEMENT_EXPLAIN_H_
#define KNAPWEEDLIFT_CORE_PLACEMENT_EXPLAIN_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "core/placement/mark_decision.h"
#include "core/placement/mark_view.h"
#include "core/time.h"

namespace knapweedlift {

// State of a server for new flows. If several apply, the first one counts.
enum class CandidateState : uint8_t {
  kUnlisted,
  kReplaced,
  // Another server has the same mark.
  kSharedMark,
  kEvacuated,
  kDraining,
  // Confirmed down: its flows are reset.
  kDown,
  kSuspect,
  // Its slots and its queue are in use.
  kFull,
  kCold,
  kHealthy,
};

// Why a new flow does not go to a server.
enum class ExclusionRule : uint8_t {
  // The flow goes to the server.
  kNone,
  // The server's state makes it ineligible.
  kNotEligible,
  // This VM has no token for the cold server now.
  kNoColdToken,
  // Admission refuses the flow, which would go to this server.
  kNotAdmitted,
  // Another server has a lower cost.
  kHigherCost,
  // Another server of equal cost has the higher hash of flow and server.
  kLowerHash,
  // Every candidate is suspect, and the one that was selected is confirmed
  // down.
  kDown,
};

struct ExplainedCandidate {
  ServerIndex server = kNoServerIndex;
  CandidateState state = CandidateState::kHealthy;
  ExclusionRule excluded_by = ExclusionRule::kNone;
  // Nothing if the server was excluded before costs were compared.
  std::optional<double> cost;

  auto operator<=>(const ExplainedCandidate&) const = default;
};

// Verdict of admission on a new flow.
struct ExplainedAdmission {
  size_t admission_class = 0;
  // Share of new flows of the class that are admitted.
  double share = 1;
  bool admitted = true;

  auto operator<=>(const ExplainedAdmission&) const = default;
};

struct PlacementExplanation {
  MarkDecision decision;
  // The service that the flow's hash selects; nothing without a route.
  std::optional<uint32_t> service_index;
  // Nothing without a route to a service.
  std::optional<ExplainedAdmission> admission;
  // All servers of that service: by cost, then those without one.
  std::vector<ExplainedCandidate> candidates;

  auto operator<=>(const PlacementExplanation&) const = default;
};

// Explains where DecideMarkedPacket would send the first SYN of a flow. Changes
// no load.
PlacementExplanation ExplainNewFlow(const MarkView& view, const FlowKey& key,
                                    uint64_t fingerprint, TimePoint now);

// Names for answers to operators.
std::string_view CandidateStateName(CandidateState state);
std::string_view ExclusionRuleName(ExclusionRule rule);

}  // namespace knapweedlift

#endif  // KNAPWEEDLIFT_CORE_PLACEMENT_EXPLAIN_H_
