// Measures how forwarding by marks scales: the time of a packet and of a
// placement, and the time and memory of views and facts, by the number of
// servers and routes. docs/CAPACITY.md uses the results.
#include <benchmark/benchmark.h>
#include <malloc.h>

#include "absl/strings/str_cat.h"
#include "core/flow/marked_flows.h"
#include "core/placement/load_estimate.h"
#include "core/placement/mark_decision.h"
#include "core/placement/placement.h"
#include "core/registry/facts_digest.h"

namespace knapweedlift {
namespace {

constexpr size_t kFlows = 100'000;
constexpr size_t kShards = 16;
constexpr uint64_t kHashKey = 3;
constexpr TimePoint kNow{Duration(1'000)};
constexpr size_t kDomains = 4;

Endpoint MakeEndpoint(uint8_t first_octet, size_t number) {
  const uint8_t bytes[] = {first_octet, static_cast<uint8_t>(number >> 16),
                           static_cast<uint8_t>(number >> 8),
                           static_cast<uint8_t>(number)};
  return {.address = IpAddressFromV4(bytes), .port = 443};
}

Registry MakeRegistry(size_t servers, size_t routes) {
  FactDelta delta{.as_of = 1, .is_snapshot = true, .limits = LimitsChange{}};
  for (size_t i = 1; i <= servers; ++i) {
    const std::string name = absl::StrCat("i-", absl::Hex(1'000'000 + i));
    delta.servers.push_back(
        {.name = name,
         .revision = 1,
         .server = ServerFact{.name = name,
                              .instance = i,
                              .mark = ComputeMark(name, 1),
                              .service = "service",
                              .endpoint = MakeEndpoint(10, i),
                              .domain = absl::StrCat("d", i % kDomains),
                              .slots = 2}});
  }
  for (size_t i = 1; i <= routes; ++i) {
    const Endpoint address = MakeEndpoint(20, i);
    delta.routes.push_back(
        {.address = address,
         .revision = 1,
         .route = RouteFact{.address = address,
                            .shares = {{.service = "service", .weight = 1}}}});
  }
  Registry registry;
  MergeDelta(registry, delta, kNow);
  return registry;
}

size_t AllocatedBytes() {
  const auto info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

// Returns the result of `make` and stores in `bytes` how much memory the call
// left allocated.
template <typename Make>
auto MeasureAllocation(Make make, double& bytes) {
  const size_t before = AllocatedBytes();
  auto result = make();
  bytes = static_cast<double>(AllocatedBytes() - before);
  return result;
}

MarkedPacket MakePacket(size_t flow, Mark mark) {
  return {.key = {.source = MakeEndpoint(30, flow).address,
                  .destination = MakeEndpoint(20, 1).address,
                  .source_port = 1'024,
                  .destination_port = 443},
          .ack = true,
          .mark = mark,
          .sequence = 1,
          .acknowledged = 1};
}

struct Fixture {
  ViewBuildState memory;
  MarkView view;
  MarkedFlowTable flows{kShards, 2 * kFlows};
};

void HandlePacket(Fixture& fixture, size_t flow) {
  const Mark mark =
      fixture.view.servers[flow % fixture.view.servers.size()].fact.mark;
  const MarkedPacket packet = MakePacket(flow, mark);
  const uint64_t fingerprint = Fingerprint(packet.key, kHashKey);
  MarkedFlowTable::Shard& shard = fixture.flows.ShardOf(fingerprint);
  absl::MutexLock lock(&shard.mutex);
  benchmark::DoNotOptimize(DecideMarkedPacket(
      fixture.view, packet, FindMarkedFlow(shard.map, fingerprint), fingerprint,
      kNow));
  benchmark::DoNotOptimize(
      RecordPacket(shard.map, fingerprint, packet, mark, kNow));
}

void MarkedPackets(benchmark::State& state) {
  static double bytes = 0;
  static Fixture* fixture = MeasureAllocation(
      [] {
        auto* result = new Fixture;
        result->view =
            BuildMarkView(MakeRegistry(18, 11), {}, "d0", kNow, result->memory);
        for (size_t i = 0; i < kFlows; ++i) HandlePacket(*result, i);
        return result;
      },
      bytes);
  constexpr size_t kStride = 104'729;
  size_t flow = static_cast<size_t>(state.thread_index()) * 7'919;
  for (auto _ : state) {
    flow = (flow + kStride) % kFlows;
    HandlePacket(*fixture, flow);
  }
  state.counters["bytes_per_flow"] =
      benchmark::Counter(bytes / kFlows, benchmark::Counter::kAvgThreads);
}
BENCHMARK(MarkedPackets)->Threads(1)->Threads(4)->UseRealTime();

void Placements(benchmark::State& state) {
  ViewBuildState memory;
  const MarkView view =
      BuildMarkView(MakeRegistry(static_cast<size_t>(state.range(0)), 1), {},
                    "d0", kNow, memory);
  const RouteTarget& route = view.routes->by_address.begin()->second;
  uint64_t fingerprint = 1;
  for (auto _ : state) {
    fingerprint = MixHash(fingerprint, kHashKey);
    benchmark::DoNotOptimize(PlaceFlow(view, route, fingerprint, kNow));
  }
}
BENCHMARK(Placements)->Arg(18)->Arg(150)->Arg(1'500);

void Views(benchmark::State& state) {
  double registry_bytes = 0;
  const Registry registry = MeasureAllocation(
      [&] {
        return MakeRegistry(static_cast<size_t>(state.range(0)),
                            static_cast<size_t>(state.range(1)));
      },
      registry_bytes);
  ViewBuildState memory;
  double view_bytes = 0;
  const MarkView view = MeasureAllocation(
      [&] { return BuildMarkView(registry, {}, "d0", kNow, memory); },
      view_bytes);
  for (auto _ : state) {
    benchmark::DoNotOptimize(BuildMarkView(registry, {}, "d0", kNow, memory));
  }
  state.counters["registry_bytes"] = registry_bytes;
  state.counters["view_bytes"] = view_bytes;
}
BENCHMARK(Views)
    ->Args({18, 11})
    ->Args({150, 11})
    ->Args({1'500, 11})
    ->Args({18, 110})
    ->Args({18, 600})
    ->Args({161, 39})
    ->Args({180, 1'600});

// A digest is computed for each change of the facts.
void Digests(benchmark::State& state) {
  const Registry registry = MakeRegistry(static_cast<size_t>(state.range(0)),
                                         static_cast<size_t>(state.range(1)));
  for (auto _ : state) {
    benchmark::DoNotOptimize(ComputeFactsDigest(registry));
  }
}
BENCHMARK(Digests)->Args({161, 39})->Args({1'500, 39})->Args({18, 1'600});

// Each VM updates its load estimate ten times per second, from the load that
// eight peers report for the servers of their failure domain and from the loads
// of the other domains.
void Estimates(benchmark::State& state) {
  constexpr VmId kReporters = 8;
  ViewBuildState memory;
  const MarkView view =
      BuildMarkView(MakeRegistry(static_cast<size_t>(state.range(0)), 1), {},
                    "d0", kNow, memory);
  std::vector<ServerLoad> loads;
  for (const ServerTarget& server : view.servers) {
    if (!server.local) continue;
    loads.push_back({.mark = server.fact.mark, .flows = 20, .waiting = 1});
  }
  LoadReports book;
  for (VmId vm = 1; vm <= kReporters; ++vm) {
    RecordLoadReport(book, vm, loads, kNow);
  }
  for (size_t domain = 1; domain < kDomains; ++domain) {
    RecordDomainLoad(book, {.domain = absl::StrCat("d", domain),
                            .service = "service",
                            .flows = 900,
                            .waiting = 40,
                            .slots = 90,
                            .measured_at = kNow});
  }
  LoadEstimate estimate;
  for (auto _ : state) {
    benchmark::DoNotOptimize(
        UpdateLoadEstimate(estimate, view, loads, book, kReporters, kNow));
  }
}
BENCHMARK(Estimates)->Arg(18)->Arg(180)->Arg(1'500);

}  // namespace
}  // namespace knapweedlift
