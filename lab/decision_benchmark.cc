// Measures the cost of a forwarding decision, including the hash, the lock and
// the flow table lookup, with 300,000 flows.
#include <benchmark/benchmark.h>

#include <cstdlib>
#include <memory>
#include <new>
#include <vector>

#include "core/packet/inner_packet.h"
#include "core/policy/decision.h"

namespace {

thread_local uint64_t allocations = 0;

}  // namespace

// Counts allocations, to show that the decision for a packet makes none.
void* operator new(size_t size) {
  ++allocations;
  void* memory = std::malloc(size);
  if (memory == nullptr) throw std::bad_alloc();
  return memory;
}
void operator delete(void* memory) noexcept { std::free(memory); }
void operator delete(void* memory, size_t) noexcept { std::free(memory); }

namespace knapweedlift {
namespace {

constexpr size_t kFlows = 300'000;
constexpr size_t kShards = 1'024;
constexpr uint64_t kHashKey = 3;

// A view with one service, and a flow table with room for all flows.
struct Fixture {
  View view;
  FlowTable flows{kShards, kFlows + kFlows / 8};
};

// Builds a packet of the flow `i`. It is built for each decision instead of
// read from memory, since received packets are in the CPU cache, too.
PacketMetadata MakePacket(uint32_t i, const IpAddress& destination) {
  const uint8_t source[4] = {10, static_cast<uint8_t>(i >> 16),
                             static_cast<uint8_t>(i >> 8),
                             static_cast<uint8_t>(i)};
  return {.key = {.source = IpAddressFromV4(source),
                  .destination = destination,
                  .source_port = 1'024,
                  .destination_port = 443,
                  .protocol = kProtocolTcp}};
}

Service MakeBenchService() {
  Service service{.number = 1,
                  .name = "bench",
                  .tenant = "bench",
                  .address = {*ParseIpAddress("10.0.0.1"), 443},
                  .protocol = kProtocolTcp,
                  .vni = 1,
                  .buckets = 1 << 19,
                  .idle_timeout_s = 3'600};
  for (ServerId i = 1; i <= 15; ++i) {
    service.servers.push_back(
        {.number = i,
         .geneve_endpoint = {*ParseIpAddress("10.1.0.1"), i},
         .slots = 2});
  }
  return service;
}

Fixture* MakeFixture() {
  auto* fixture = new Fixture;
  Sheet sheet{.revision = 1, .services = {MakeBenchService()}};
  fixture->view.self = 1;
  fixture->view.sheet = std::make_shared<const Sheet>(std::move(sheet));
  IndexServices(fixture->view, {});
  fixture->view.services[0].table = std::make_shared<const BucketTable>(
      InitialTable(fixture->view.sheet->services[0], 1));
  fixture->view.homes = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14};
  return fixture;
}

Decision DecideLocked(Fixture& fixture, const PacketMetadata& packet) {
  const uint64_t fingerprint = Fingerprint(packet.key, kHashKey);
  FlowTable::Shard& shard = fixture.flows.ShardOf(fingerprint);
  absl::MutexLock lock(&shard.mutex);
  return DecidePacket(fixture.view, shard.flows, packet, fingerprint,
                      std::nullopt,
                      {.now = TimePoint(Duration(1'000)), .fresh = true});
}

void DecideKnownFlows(benchmark::State& state) {
  static Fixture* fixture = [] {
    Fixture* result = MakeFixture();
    for (uint32_t i = 0; i < kFlows; ++i) {
      DecideLocked(*result, MakePacket(i, *ParseIpAddress("10.0.0.1")));
    }
    return result;
  }();
  // A stride that is coprime to the number of flows visits all of them in an
  // order that defeats the CPU's prefetching.
  constexpr size_t kStride = 104'729;
  size_t index = static_cast<size_t>(state.thread_index()) * 7'919;
  const IpAddress destination = *ParseIpAddress("10.0.0.1");
  const uint64_t allocations_before = allocations;
  for (auto _ : state) {
    index = (index + kStride) % kFlows;
    benchmark::DoNotOptimize(
        DecideLocked(*fixture, MakePacket(index, destination)));
  }
  state.counters["allocations"] =
      benchmark::Counter(static_cast<double>(allocations - allocations_before),
                         benchmark::Counter::kAvgThreads);
  size_t bytes = 0;
  for (size_t i = 0; i < fixture->flows.shard_count(); ++i) {
    FlowTable::Shard& shard = fixture->flows.shard(i);
    absl::MutexLock lock(&shard.mutex);
    using Slot = std::pair<const uint64_t, FlowEntry>;
    bytes += shard.flows.entries.capacity() * (sizeof(Slot) + 1);
  }
  state.counters["bytes_per_flow"] = benchmark::Counter(
      static_cast<double>(bytes) / kFlows, benchmark::Counter::kAvgThreads);
}
BENCHMARK(DecideKnownFlows)->Threads(1)->Threads(4)->UseRealTime();

}  // namespace
}  // namespace knapweedlift

int main(int argc, char** argv) {
  knapweedlift::DisableMutexDeadlockDetection();
  benchmark::Initialize(&argc, argv);
  benchmark::RunSpecifiedBenchmarks();
  return 0;
}
