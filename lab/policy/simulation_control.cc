#include <utility>

#include "core/sheet/sheet_parser.h"
#include "drivers/peer_codec.h"
#include "lab/policy/simulation.h"

namespace knapweedlift::lab {
namespace {

constexpr int64_t kTickUs = 50'000;
constexpr int64_t kPlatformPollUs = 200'000;
// One-way delay between VMs of one failure domain.
constexpr int64_t kIntraDomainDelayUs = 100;

}  // namespace

void PolicySimulation::TickVm(VmId id, uint64_t incarnation) {
  SimVm& vm = vms_[id];
  if (!vm.alive || vm.incarnation != incarnation) return;
  RunAfter(kTickUs, [this, id, incarnation] { TickVm(id, incarnation); });
  if (vm.paused) return;
  Outbox out;
  Tick(vm.control, *vm.flows, now(), out);
  EnqueueMessages(vm, out);
  UpdateView(vm);
  SendWithinBudget(vm);
}

void PolicySimulation::PollPlatform(VmId id, uint64_t incarnation) {
  SimVm& vm = vms_[id];
  if (!vm.alive || vm.incarnation != incarnation) return;
  RunAfter(kPlatformPollUs,
           [this, id, incarnation] { PollPlatform(id, incarnation); });
  const bool partitioned =
      partitioned_domain_.has_value() && DomainOf(vm) == *partitioned_domain_;
  const bool reachable = platform_up_ && !partitioned && !vm.paused;
  if (!reachable) return;
  if (NeedsVmList(vm.control, now())) PollVmList(vm);
  if (!WatchesPlatform(vm.control, now())) return;
  const std::string& text =
      platform_stale_ ? previous_sheet_text_ : sheet_text_;
  const uint64_t known_revision =
      vm.control.sheet == nullptr ? 0 : vm.control.sheet->revision;
  const bool newer_sheet_available =
      known_revision < revision_ && !text.empty();
  // A sheet that is not newer, as a stale platform serves it, is rejected like
  // in the daemon.
  if (newer_sheet_available) {
    ApplySheet(vm.control, {text}, now()).IgnoreError();
  }
  UpdateView(vm);
}

void PolicySimulation::PollVmList(SimVm& vm) {
  std::vector<ListedVm> list;
  for (const auto& [id, other] : vms_) {
    if (other.in_fabric) list.push_back({.address = other.control.self});
  }
  ApplyPlatformList(vm.control, list);
}

void PolicySimulation::EnqueueMessages(SimVm& vm, Outbox& out) {
  for (Envelope& envelope : out) {
    const Priority priority = PriorityOf(envelope.message);
    vm.queue->Push(
        priority,
        {.to = envelope.to,
         .bytes = EncodePeerMessage({.deployment = 1,
                                     .sender = vm.id,
                                     .message = std::move(envelope.message)})});
  }
  out.clear();
  SendWithinBudget(vm);
}

void PolicySimulation::SendWithinBudget(SimVm& vm) {
  while (auto queued = vm.queue->Pop(now())) {
    const auto to = vms_.find(queued->to);
    if (to == vms_.end() || !CanReach(vm, to->second)) continue;
    if (DrawBernoulli(options_.peer_loss)) continue;
    const bool same_domain = DomainOf(vm) == DomainOf(to->second);
    const int64_t delay =
        same_domain ? kIntraDomainDelayUs : options_.domain_delay_us;
    auto message = DecodePeerMessage(queued->bytes);
    if (!message.has_value()) continue;
    RunAfter(delay, [this, id = queued->to, from = vm.id,
                     incarnation = to->second.incarnation,
                     content = std::move(message->message)] {
      DeliverMessage(id, from, incarnation, content);
    });
  }
}

void PolicySimulation::DeliverMessage(VmId to, VmId from, uint64_t incarnation,
                                      const Message& message) {
  SimVm& vm = vms_[to];
  if (!vm.alive || vm.incarnation != incarnation) return;
  if (vm.paused) {
    vm.backlog.push_back([this, to, from, incarnation, message] {
      DeliverMessage(to, from, incarnation, message);
    });
    return;
  }
  Outbox out;
  Receive(vm.control, from, message, *vm.flows, now(), out);
  EnqueueMessages(vm, out);
  UpdateView(vm);
}

void PolicySimulation::UpdateView(SimVm& vm) {
  if (!std::exchange(vm.control.view_changed, false)) return;
  vm.view = MakeView(vm.control);
}

void PolicySimulation::ApplyBaselineSheet(VmId id, SheetPtr sheet) {
  SimVm& vm = vms_[id];
  const bool newer = vm.baseline_sheet == nullptr ||
                     vm.baseline_sheet->revision < sheet->revision;
  if (newer) vm.baseline_sheet = std::move(sheet);
}

bool PolicySimulation::HasConverged() const {
  if (strategy_ != Strategy::kBucketTables) {
    for (const auto& [id, vm] : vms_) {
      if (vm.alive && vm.baseline_sheet != sheet_) return false;
    }
    return true;
  }
  const BucketTable* first = nullptr;
  for (const auto& [id, vm] : vms_) {
    if (!vm.alive) continue;
    const auto found = vm.control.services.find(1);
    if (vm.control.sheet == nullptr || found == vm.control.services.end() ||
        found->second.table == nullptr ||
        vm.control.sheet->revision != revision_) {
      return false;
    }
    if (first == nullptr) first = found->second.table.get();
    if (found->second.table->generation != first->generation) return false;
  }
  if (first == nullptr || Summarize(*first).pending > 0) return false;
  // Converged only if every bucket assigns new flows to a server that accepts
  // them.
  const Service& service = sheet_->services.front();
  for (const Bucket& bucket : first->buckets) {
    const BackendServer* server = FindServer(service, bucket.current);
    if (server == nullptr || !AcceptsNewFlows(*server)) return false;
  }
  return first->generation.revision == revision_ || revision_ == 1;
}

}  // namespace knapweedlift::lab
