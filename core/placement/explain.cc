#include "core/placement/explain.h"

#include <algorithm>
#include <array>
#include <tuple>

#include "core/placement/placement.h"

namespace knapweedlift {
namespace {

struct StateRule {
  CandidateState state;
  std::string_view name;
  bool (*applies)(const MarkView& view, const ServerTarget& server,
                  TimePoint now);
};

// In the order of CandidateState; the first rule that applies names the state.
constexpr std::array<StateRule, 10> kStateRules = {{
    {CandidateState::kUnlisted, "unlisted",
     [](const MarkView&, const ServerTarget& server, TimePoint) {
       return server.unlisted && !server.removal_held;
     }},
    {CandidateState::kReplaced, "replaced",
     [](const MarkView&, const ServerTarget& server, TimePoint) {
       return server.replaced;
     }},
    {CandidateState::kSharedMark, "shared_mark",
     [](const MarkView& view, const ServerTarget& server, TimePoint) {
       return FindServerByMark(view, server.fact.mark) == kAmbiguousMark;
     }},
    {CandidateState::kEvacuated, "evacuated",
     [](const MarkView&, const ServerTarget& server, TimePoint) {
       return server.evacuated;
     }},
    {CandidateState::kDraining, "draining",
     [](const MarkView&, const ServerTarget& server, TimePoint) {
       return server.fact.draining;
     }},
    {CandidateState::kDown, "down",
     [](const MarkView&, const ServerTarget& server, TimePoint) {
       return server.confirmed_down;
     }},
    {CandidateState::kSuspect, "suspect",
     [](const MarkView&, const ServerTarget& server, TimePoint) {
       return server.suspect;
     }},
    {CandidateState::kFull, "full",
     [](const MarkView&, const ServerTarget& server, TimePoint) {
       return IsServerFull(server);
     }},
    {CandidateState::kCold, "cold",
     [](const MarkView&, const ServerTarget& server, TimePoint now) {
       return now < server.fact.cold_until;
     }},
    {CandidateState::kHealthy, "healthy",
     [](const MarkView&, const ServerTarget&, TimePoint) { return true; }},
}};

CandidateState StateOf(const MarkView& view, const ServerTarget& server,
                       TimePoint now) {
  return std::find_if(kStateRules.begin(), kStateRules.end(),
                      [&](const StateRule& rule) {
                        return rule.applies(view, server, now);
                      })
      ->state;
}

// Why a server whose cost was compared does not get the flow. `selected` is the
// one with the lowest cost.
ExclusionRule RuleOf(const MarkDecision& decision,
                     const PlacementCandidate& candidate,
                     const PlacementCandidate& selected) {
  if (candidate.server == decision.server) return ExclusionRule::kNone;
  if (candidate.server == selected.server) {
    return decision.reason == ResultCode::kResetNoRoom
               ? ExclusionRule::kNotAdmitted
               : ExclusionRule::kDown;
  }
  return candidate.cost > selected.cost ? ExclusionRule::kHigherCost
                                        : ExclusionRule::kLowerHash;
}

void AddComparedCandidates(const MarkView& view, const PlacementTrace& trace,
                           TimePoint now, PlacementExplanation& explanation) {
  const auto selected = std::find_if(
      trace.candidates.begin(), trace.candidates.end(),
      [&trace](const auto& item) { return item.server == trace.selected; });
  for (const PlacementCandidate& candidate : trace.candidates) {
    explanation.candidates.push_back(
        {.server = candidate.server,
         .state = StateOf(view, view.servers[candidate.server], now),
         .excluded_by = RuleOf(explanation.decision, candidate, *selected),
         .cost = candidate.cost});
  }
  // The server that gets the flow comes first among those of equal cost.
  std::sort(explanation.candidates.begin(), explanation.candidates.end(),
            [](const ExplainedCandidate& a, const ExplainedCandidate& b) {
              return std::tie(a.cost, a.excluded_by, a.server) <
                     std::tie(b.cost, b.excluded_by, b.server);
            });
}

void AddServersWithoutCost(const MarkView& view, const PlacementTrace& trace,
                           TimePoint now, PlacementExplanation& explanation) {
  for (const ServerIndex index : trace.without_token) {
    explanation.candidates.push_back(
        {.server = index,
         .state = StateOf(view, view.servers[index], now),
         .excluded_by = ExclusionRule::kNoColdToken});
  }
  for (ServerIndex i = 0; i < view.servers.size(); ++i) {
    const ServerTarget& server = view.servers[i];
    const bool listed = std::any_of(
        explanation.candidates.begin(), explanation.candidates.end(),
        [i](const ExplainedCandidate& item) { return item.server == i; });
    if (server.service_index != *trace.service_index || listed) continue;
    explanation.candidates.push_back(
        {.server = i,
         .state = StateOf(view, server, now),
         .excluded_by = ExclusionRule::kNotEligible});
  }
}

}  // namespace

PlacementExplanation ExplainNewFlow(const MarkView& view, const FlowKey& key,
                                    uint64_t fingerprint, TimePoint now) {
  PlacementTrace trace;
  PlacementExplanation explanation;
  explanation.decision = DecideMarkedPacket(view, {.key = key, .syn = true},
                                            nullptr, fingerprint, now, trace);
  const auto route = view.routes->by_address.find(
      {.address = key.destination, .port = key.destination_port});
  if (route == view.routes->by_address.end()) return explanation;
  const bool admitted = explanation.decision.reason != ResultCode::kResetNoRoom;
  // Shows where the flow would go if it were admitted.
  if (!admitted) {
    PlaceFlow(view, route->second, fingerprint, now, nullptr, trace);
  }
  if (!trace.service_index.has_value()) return explanation;
  const size_t admission_class = AdmissionClass(route->second.quality.priority);
  explanation.admission = {
      .admission_class = admission_class,
      .share = view.admission[*trace.service_index]->shares[admission_class],
      .admitted = admitted};
  explanation.service_index = trace.service_index;
  AddComparedCandidates(view, trace, now, explanation);
  AddServersWithoutCost(view, trace, now, explanation);
  return explanation;
}

std::string_view CandidateStateName(CandidateState state) {
  return kStateRules[static_cast<size_t>(state)].name;
}

std::string_view ExclusionRuleName(ExclusionRule rule) {
  switch (rule) {
    case ExclusionRule::kNone:
      return "none";
    case ExclusionRule::kNotEligible:
      return "not_eligible";
    case ExclusionRule::kNoColdToken:
      return "no_cold_token";
    case ExclusionRule::kNotAdmitted:
      return "not_admitted";
    case ExclusionRule::kHigherCost:
      return "higher_cost";
    case ExclusionRule::kLowerHash:
      return "lower_hash";
    case ExclusionRule::kDown:
      return "down";
  }
  return "";
}

}  // namespace knapweedlift
