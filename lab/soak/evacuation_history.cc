#include "lab/soak/evacuation_history.h"

#include <algorithm>

namespace knapweedlift::lab {

void RecordOpening(EvacuationHistory& history, const std::string& domain,
                   TimePoint now) {
  history.last_openings[domain] = now;
  for (const Evacuation& evacuation : history.evacuations) {
    const Duration after = now - evacuation.acknowledged_at;
    const bool late = evacuation.domain == domain && after > kEvacuationTime &&
                      now < evacuation.ended_at;
    if (!late) continue;
    history.late_openings.push_back(
        {.domain = domain, .at = now, .after = after});
  }
}

void EndEvacuation(EvacuationHistory& history, const std::string& domain,
                   TimePoint now) {
  for (Evacuation& evacuation : history.evacuations) {
    const bool active =
        evacuation.domain == domain && evacuation.ended_at == TimePoint::max();
    if (active) evacuation.ended_at = now;
  }
}

std::vector<std::string> UnusedDomains(const EvacuationHistory& history) {
  std::map<std::string, TimePoint> ended;
  for (const Evacuation& evacuation : history.evacuations) {
    ended[evacuation.domain] = evacuation.ended_at;
  }
  std::vector<std::string> unused;
  for (const auto& [domain, ended_at] : ended) {
    const auto found = history.last_openings.find(domain);
    const bool used =
        ended_at == TimePoint::max() ||
        (found != history.last_openings.end() && found->second > ended_at);
    if (!used) unused.push_back(domain);
  }
  return unused;
}

}  // namespace knapweedlift::lab
