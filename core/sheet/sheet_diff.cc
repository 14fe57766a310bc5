#include "core/sheet/sheet_diff.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "core/table/bucket_table.h"

namespace knapweedlift {
namespace {

std::string QualifiedName(const Service& service) {
  return absl::StrCat(service.tenant, "/", service.name);
}

void DiffServer(const std::string& name, const BackendServer& before,
                const BackendServer& after, std::vector<std::string>& lines) {
  const std::string prefix =
      absl::StrCat(name, ": backend server ", after.number);
  if (before.geneve_endpoint != after.geneve_endpoint) {
    lines.push_back(absl::StrCat(prefix, " moves from ",
                                 FormatEndpoint(before.geneve_endpoint), " to ",
                                 FormatEndpoint(after.geneve_endpoint)));
  }
  if (before.state != after.state) {
    lines.push_back(absl::StrCat(prefix, " changes from ",
                                 ServerStateName(before.state), " to ",
                                 ServerStateName(after.state)));
  }
  if (before.slots != after.slots) {
    lines.push_back(absl::StrCat(prefix, " changes from ", before.slots, " to ",
                                 after.slots, " slots"));
  }
  if (before.failure_domain != after.failure_domain) {
    lines.push_back(absl::StrCat(prefix, " moves from failure domain ",
                                 before.failure_domain, " to ",
                                 after.failure_domain));
  }
}

void DiffServers(const Service& before, const Service& after,
                 std::vector<std::string>& lines) {
  const std::string name = QualifiedName(after);
  for (const BackendServer& server : after.servers) {
    const BackendServer* previous = FindServer(before, server.number);
    if (previous == nullptr) {
      lines.push_back(absl::StrCat(name, ": backend server ", server.number,
                                   " is added at ",
                                   FormatEndpoint(server.geneve_endpoint)));
      continue;
    }
    DiffServer(name, *previous, server, lines);
  }
  for (const BackendServer& server : before.servers) {
    if (FindServer(after, server.number) != nullptr) continue;
    lines.push_back(absl::StrCat(name, ": backend server ", server.number,
                                 " is removed; its open connections are lost"));
  }
}

void DiffBuckets(const Service& before, const Service& after,
                 std::vector<std::string>& lines) {
  if (before.buckets != after.buckets) return;
  const std::vector<ServerId> old_targets = SheetTargets(before);
  const std::vector<ServerId> new_targets = SheetTargets(after);
  size_t moved = 0;
  for (size_t i = 0; i < new_targets.size(); ++i) {
    if (old_targets[i] != new_targets[i]) ++moved;
  }
  if (moved == 0) return;
  lines.push_back(absl::StrCat(QualifiedName(after), ": ", moved, " of ",
                               new_targets.size(),
                               " buckets move to another backend server"));
}

}  // namespace

std::vector<std::string> DiffSheets(const Sheet& before, const Sheet& after) {
  std::vector<std::string> lines;
  for (const Service& service : after.services) {
    const Service* previous = FindService(before, service.number);
    if (previous == nullptr) {
      lines.push_back(absl::StrCat(QualifiedName(service),
                                   ": service is added at ",
                                   FormatEndpoint(service.address)));
      continue;
    }
    if (previous->address != service.address || previous->vni != service.vni ||
        previous->protocol != service.protocol) {
      lines.push_back(
          absl::StrCat(QualifiedName(service),
                       ": address, protocol or VNI changes; all open "
                       "connections are lost"));
    }
    DiffServers(*previous, service, lines);
    DiffBuckets(*previous, service, lines);
  }
  for (const Service& service : before.services) {
    if (FindService(after, service.number) != nullptr) continue;
    lines.push_back(
        absl::StrCat(QualifiedName(service), ": service is removed"));
  }
  return lines;
}

}  // namespace knapweedlift
