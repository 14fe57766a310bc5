#include "servers/marks/facts_report.h"

#include <algorithm>
#include <string>
#include <vector>

namespace knapweedlift {
namespace {

// Names that one line lists; the others are counted.
constexpr size_t kMaxNames = 8;

enum class ServerStage : uint8_t { kAbsent, kReady, kLeaving, kGone };

ServerStage StageOf(const ServerTarget& server) {
  if (server.gone) return ServerStage::kGone;
  return server.fact.draining ? ServerStage::kLeaving : ServerStage::kReady;
}

ServerStage StageBefore(const MarkView* before, Mark mark) {
  if (before == nullptr) return ServerStage::kAbsent;
  const ServerIndex index = ServerOfMark(*before, mark);
  return index < before->servers.size() ? StageOf(before->servers[index])
                                        : ServerStage::kAbsent;
}

void AddNames(const char* field, const std::vector<std::string>& names,
              nlohmann::json& fields) {
  if (names.empty()) return;
  const size_t listed = std::min(names.size(), kMaxNames);
  fields[field] =
      std::vector<std::string>(names.begin(), names.begin() + listed);
  if (names.size() > listed) {
    fields[std::string(field) + "_more"] = names.size() - listed;
  }
}

size_t RoutesMissing(const MarkView& from, const MarkView& in) {
  if (from.routes == in.routes) return 0;
  const auto& targets = from.routes->targets;
  return std::count_if(targets.begin(), targets.end(), [&in](const auto& item) {
    return !in.routes->targets.contains(item.first);
  });
}

void AddRoutes(const MarkView* before, const MarkView& after,
               nlohmann::json& fields) {
  const size_t added = before == nullptr ? after.routes->targets.size()
                                         : RoutesMissing(after, *before);
  const size_t removed = before == nullptr ? 0 : RoutesMissing(*before, after);
  if (added > 0) fields["routes_added"] = added;
  if (removed > 0) fields["routes_removed"] = removed;
}

}  // namespace

nlohmann::json DescribeFactsChange(const MarkView* before,
                                   const MarkView& after) {
  std::vector<std::string> added;
  std::vector<std::string> leaving;
  std::vector<std::string> gone;
  std::vector<std::string> held;
  for (const ServerTarget& server : after.servers) {
    const ServerStage stage = StageOf(server);
    const ServerStage stage_before = StageBefore(before, server.fact.mark);
    if (stage == stage_before) continue;
    if (stage == ServerStage::kReady) added.push_back(server.fact.name);
    if (stage == ServerStage::kLeaving) leaving.push_back(server.fact.name);
    if (stage != ServerStage::kGone) continue;
    (server.held ? held : gone).push_back(server.fact.name);
  }
  nlohmann::json fields = {{"revision", after.as_of},
                           {"config_version", after.limits.version}};
  AddNames("servers_ready", added, fields);
  AddNames("servers_leaving", leaving, fields);
  AddNames("servers_gone", gone, fields);
  AddNames("servers_held", held, fields);
  AddRoutes(before, after, fields);
  return fields;
}

}  // namespace knapweedlift
