#include <map>
#include <set>
#include <string>

#include "lab/marks/segment.h"
#include "lab/marks/testbed.h"
#include "tests/lab/marks/deployment.h"

using namespace knapweedlift;
using namespace knapweedlift::lab;
using namespace knapweedlift::testing;

namespace {

constexpr uint16_t kFirstPort = 40'000;
constexpr uint16_t kCallers = 40;
// A caller repeats an unanswered SYN after this time.
constexpr Duration kRetransmitTimeout{200};

// The SYNs of callers that get no answer, and the servers that they reach.
class UnansweredCallers {
 public:
  explicit UnansweredCallers(Deployment& deployment) : deployment_(deployment) {
    deployment.testbed.SetSynFilter([this](const platform::PacketHeader& syn,
                                           const SimServer& to, TimePoint) {
      if (syn.source != kSource) return true;
      servers_[syn.source_port].insert(to.id());
      return false;
    });
  }

  // Sends the copy with the number `copy` of all callers' SYNs to a VM.
  void SendSyns(size_t vm, uint32_t copy) {
    const SocketAddress to = ToSocketAddress(deployment_.plan.vms[vm].data);
    for (uint16_t i = 0; i < kCallers; ++i) {
      const ServiceAddress& service = deployment_.plan.services[0];
      const std::vector<uint8_t> bytes = EncodeSegment(
          {.header = {.flags = platform::kFlagSyn,
                      .sequence = 7'000U + i,
                      .acknowledged = copy,
                      .source = kSource,
                      .source_port = static_cast<uint16_t>(kFirstPort + i),
                      .destination = service.address.address,
                      .destination_port = service.address.port}});
      cr_assert(sendto(socket_.value(), bytes.data(), bytes.size(), 0,
                       reinterpret_cast<const sockaddr*>(&to.storage),
                       to.size) > 0);
    }
  }

  // Callers whose SYN has reached a server.
  size_t reached() const { return servers_.size(); }

  // Callers whose SYN has reached several servers.
  long split() const {
    return std::count_if(
        servers_.begin(), servers_.end(),
        [](const auto& item) { return item.second.size() > 1; });
  }

 private:
  const IpAddress kSource = *ParseIpAddress("127.0.0.77");
  Deployment& deployment_;
  const FileDescriptor socket_ =
      *BindUdp({.address = *ParseIpAddress("127.0.0.1")}, {});
  std::map<uint16_t, std::set<std::string>> servers_;
};

// The VMs of the first failure domain.
std::vector<size_t> VmsOfFirstDomain(const Deployment& deployment) {
  std::vector<size_t> vms;
  for (size_t i = 0; i < deployment.plan.vms.size(); ++i) {
    const bool local =
        deployment.plan.vms[i].domain == deployment.plan.domains[0];
    if (local) vms.push_back(i);
  }
  return vms;
}

// All VMs of a failure domain know each other, so that they agree on keepers.
void AwaitPeers(Deployment& deployment, size_t domain_vms) {
  const auto complete = [&] {
    return std::all_of(
        deployment.vms.begin(), deployment.vms.end(), [&](const auto& item) {
          const std::string line = "knapweedlift_domain_peers " +
                                   std::to_string(domain_vms - 1) + "\n";
          return item.second->Get("/metrics").find(line) != std::string::npos;
        });
  };
  cr_assert(deployment.testbed.RunUntil(complete, kTimeout));
}

}  // namespace

// Regression test: the SYN+ACK of a server was lost, the rotation changed, and
// the VM that got the caller's copy of the SYN placed it on another server,
// which broke the flow (review/10).
Test(syn_copies, reach_the_server_of_the_syn_through_any_vm, .timeout = 120) {
  constexpr size_t kVms = 9;
  Deployment deployment(kVms);
  const std::vector<size_t> vms = VmsOfFirstDomain(deployment);
  cr_assert(vms.size() == kVms / 3);
  AwaitPeers(deployment, vms.size());
  UnansweredCallers callers(deployment);
  callers.SendSyns(vms[0], 0);
  deployment.testbed.Run(kRetransmitTimeout);
  callers.SendSyns(vms[1], 1);
  deployment.testbed.Run(2 * kRetransmitTimeout);
  callers.SendSyns(vms[2], 2);
  deployment.testbed.Run(kRetransmitTimeout);
  cr_expect(callers.reached() == kCallers, "%zu callers", callers.reached());
  cr_expect(callers.split() == 0, "%ld callers reached two servers",
            callers.split());
}

// A caller whose SYN was lost before it reached a VM is served by its copy.
Test(syn_copies, are_placed_if_no_vm_has_seen_the_syn, .timeout = 120) {
  constexpr size_t kVms = 9;
  Deployment deployment(kVms);
  const std::vector<size_t> vms = VmsOfFirstDomain(deployment);
  UnansweredCallers callers(deployment);
  callers.SendSyns(vms[0], 1);
  const TimePoint sent_at = Now();
  cr_expect(deployment.testbed.RunUntil(
      [&] { return callers.reached() == kCallers; }, kTimeout));
  const Duration waited = Now() - sent_at;
  cr_expect(waited < kRetransmitTimeout, "%ld ms",
            static_cast<long>(waited.count()));
}
