#include "core/control/control.h"

#include "tests/support/properties.h"
#include "tests/support/sheets.h"

using namespace knapweedlift;

namespace {

TimePoint At(int64_t ms) { return TimePoint(Duration(ms)); }

// A VM without peers, from its start on.
struct SingleVm {
  ControlState state = InitialControlState(
      {.id = 1, .control = {.port = 1}, .data = {.port = 1}, .domain = "a"}, 1,
      At(0));
  FlowTable flows{1, 100};
  Outbox out;

  void TickUntil(int64_t from_ms, int64_t to_ms) {
    for (int64_t ms = from_ms; ms <= to_ms; ms += 50) {
      Tick(state, flows, At(ms), out);
    }
  }
};

}  // namespace

Test(control, serves_without_peers_after_bootstrap_timeout) {
  SingleVm vm;
  cr_assert(ApplySheet(vm.state, {SheetJson(1, 3).dump()}, At(0)).ok());
  vm.TickUntil(0, 2'900);
  cr_expect(not IsFresh(vm.state, At(2'900)));
  vm.TickUntil(2'950, 6'000);
  cr_expect(IsFresh(vm.state, At(6'000)));
}

Test(control, rejects_sheet_that_is_not_newer) {
  SingleVm vm;
  cr_assert(ApplySheet(vm.state, {SheetJson(5, 3).dump()}, At(0)).ok());
  cr_expect(not ApplySheet(vm.state, {SheetJson(4, 2).dump()}, At(0)).ok());
  Receive(vm.state, 2, SheetReply{{SheetJson(3, 2).dump()}}, vm.flows, At(0),
          vm.out);
  cr_expect(vm.state.sheet->revision == 5);
  cr_expect(vm.state.sheet->services[0].servers.size() == 3);
}

Test(control, is_not_fresh_after_a_pause) {
  SingleVm vm;
  cr_assert(ApplySheet(vm.state, {SheetJson(1, 3).dump()}, At(0)).ok());
  vm.TickUntil(0, 6'000);
  cr_assert(IsFresh(vm.state, At(6'000)));
  cr_expect(not IsFresh(vm.state, At(66'000)), "before its first tick");
  vm.TickUntil(66'000, 66'000);
  cr_expect(not IsFresh(vm.state, At(66'000)), "after its first tick");
  vm.TickUntil(66'050, 72'000);
  cr_expect(IsFresh(vm.state, At(72'000)),
            "after kNoPeerTimeout without peers");
}

Test(control, single_vm_drains_leaving_server) {
  SingleVm vm;
  cr_assert(ApplySheet(vm.state, {SheetJson(1, 3).dump()}, At(0)).ok());
  vm.TickUntil(0, 8'000);
  auto sheet = SheetJson(2, 3);
  sheet["services"][0]["servers"][0]["state"] = "leaving";
  cr_assert(ApplySheet(vm.state, {sheet.dump()}, At(8'000)).ok());
  vm.TickUntil(8'050, 11'000);
  for (const Bucket& bucket : vm.state.services[1].table->buckets) {
    cr_assert(bucket.current != 1);
  }
}

Test(control, ignores_stale_and_unknown_messages) {
  SingleVm vm;
  cr_assert(ApplySheet(vm.state, {SheetJson(1, 3).dump()}, At(0)).ok());
  vm.TickUntil(0, 6'000);
  const BucketTablePtr before = vm.state.services[1].table;
  const std::vector<Message> messages = {
      TableRequest{.service = 99},
      TableReply{.version = {.service = 1, .generation = {.revision = 9}},
                 .sheet_revision = 8},
      TableReply{.version = {.service = 1, .generation = {.revision = 9}},
                 .sheet_revision = 1,
                 .delta = "garbage"},
      StepMessage{{.service = 1}},
      StepMessage{{.service = 77, .generation = {.revision = 9}}},
      StepReply{.version = {.service = 1}, .occupied = "x"},
      FlowAssignmentNotice{.service = 42, .assignments = {{1, 2}}},
      Gossip{},
  };
  for (const Message& message : messages) {
    Receive(vm.state, 7, message, vm.flows, At(6'000), vm.out);
  }
  cr_expect(vm.state.services[1].table == before);
  cr_expect(IsFresh(vm.state, At(6'000)));
}
