#include "core/membership/members.h"

#include <tuple>

namespace knapweedlift {
namespace {

bool IsNewer(const Heartbeat& heartbeat, const Heartbeat& known) {
  return std::tie(heartbeat.incarnation, heartbeat.count) >
         std::tie(known.incarnation, known.count);
}

}  // namespace

bool MergeHeartbeat(Members& members, const Heartbeat& heartbeat,
                    TimePoint now) {
  Member& member = members[heartbeat.vm];
  member.address.id = heartbeat.vm;
  if (!IsNewer(heartbeat, member.heartbeat)) return false;
  member.heartbeat = heartbeat;
  RenewLease(member, now);
  return true;
}

void RenewLease(Member& member, TimePoint now) {
  member.suspect_after = now + kSuspectTimeout;
  member.lease_expires_at = now + kLeaseTimeout;
}

void UpdateAddress(Members& members, const VmAddress& address) {
  members[address.id].address = address;
}

void ApplyPlatformList(Members& members, const std::vector<ListedVm>& list) {
  for (auto& [id, member] : members) member.listed = false;
  for (const ListedVm& vm : list) {
    Member& member = members[vm.address.id];
    member.address = vm.address;
    member.listed = !vm.leaving;
  }
}

void RemoveExpiredMembers(Members& members, TimePoint now) {
  std::erase_if(members, [now](const auto& item) {
    const Member& member = item.second;
    return !member.listed &&
           now > member.lease_expires_at + kMemberRetentionTime;
  });
}

std::vector<VmId> ServingVms(const Members& members, TimePoint now) {
  std::vector<VmId> serving;
  for (const auto& [id, member] : members) {
    const bool serves = member.heartbeat.phase == MemberPhase::kServing;
    if (serves && now < member.suspect_after) serving.push_back(id);
  }
  return serving;
}

std::vector<VmId> RequiredResponders(const Members& members, VmId self,
                                     TimePoint now, ResponderScope scope) {
  std::vector<VmId> responders;
  for (const auto& [id, member] : members) {
    const bool has_joined = member.heartbeat.phase != MemberPhase::kJoining;
    const bool in_scope = now < member.lease_expires_at ||
                          (scope == ResponderScope::kListed && member.listed);
    if (id != self && has_joined && in_scope) responders.push_back(id);
  }
  return responders;
}

bool IsIsolated(const Members& members, const std::string& domain,
                TimePoint now) {
  bool has_remote_vms = false;
  for (const auto& [id, member] : members) {
    const bool remote = member.heartbeat.phase == MemberPhase::kServing &&
                        member.address.domain != domain;
    if (!remote) continue;
    if (now < member.suspect_after) return false;
    has_remote_vms = true;
  }
  return has_remote_vms;
}

}  // namespace knapweedlift
