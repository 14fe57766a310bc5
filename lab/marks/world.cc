#include "lab/marks/world.h"

#include <algorithm>
#include <thread>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "drivers/clock.h"
#include "platform/names.h"

namespace knapweedlift::lab {
namespace {

using nlohmann::json;
namespace names = platform::names;

constexpr Duration kTick{2};
constexpr Duration kFinishTime{6'000};
constexpr int64_t kBorn = 1'700'000'000'000;
constexpr uint64_t kFirstInstance = 0x7f3a9100;

IpAddress LoopbackOf(int net, int host) {
  return *ParseIpAddress(absl::StrFormat("127.%d.0.%d", net, host));
}

// A port that is free for UDP and TCP on the first VM's address.
uint16_t FreePort(std::vector<FileDescriptor>& held) {
  while (true) {
    auto udp = BindUdp({.address = LoopbackOf(2, 1)}, {});
    if (!udp.ok()) return 0;
    const Endpoint endpoint = LocalEndpoint(*udp);
    auto tcp = ListenTcp(endpoint);
    if (!tcp.ok()) continue;
    held.push_back(*std::move(udp));
    held.push_back(*std::move(tcp));
    return endpoint.port;
  }
}

double Percentile(std::vector<double> values, double share) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  const auto last = static_cast<double>(values.size() - 1);
  return values[static_cast<size_t>(share * last)];
}

}  // namespace

MarksPlan PlanMarks(size_t vms) {
  std::vector<FileDescriptor> held;
  MarksPlan plan{.domains = {"coimbra-a", "coimbra-b", "coimbra-c"},
                 .data_port = FreePort(held),
                 .control_port = FreePort(held),
                 .admin_port = FreePort(held)};
  const uint16_t ready_port = FreePort(held);
  plan.services = {
      {"atelier", {.address = *ParseIpAddress("198.18.0.1"), .port = 8'443}},
      {"catalogue", {.address = *ParseIpAddress("198.18.0.2"), .port = 443}}};
  for (size_t i = 0; i < vms; ++i) {
    const IpAddress address = LoopbackOf(2, static_cast<int>(i) + 1);
    plan.vms.push_back({.domain = plan.domains[i % plan.domains.size()],
                        .data = {.address = address, .port = plan.data_port},
                        .ready = {.address = address, .port = ready_port}});
  }
  return plan;
}

MarksWorld::MarksWorld(const MarksPlan& plan)
    : plan_(plan), door_(store_.AddListener()), router_(plan.vms) {}

std::string MarksWorld::AddServer(const std::string& service,
                                  const std::string& domain) {
  const uint8_t number = next_server_++;
  const uint64_t instance = kFirstInstance + number;
  std::string id = absl::StrFormat("i-%x", instance);
  auto server = std::make_unique<SimServer>(
      id, instance, service, Endpoint{.address = LoopbackOf(3, number)},
      plan_.data_port);
  if (!server->Open()) return {};
  server_domains_[id] = domain;
  TellStore(*server, domain, names::kStateReady);
  servers_[id] = std::move(server);
  return id;
}

void MarksWorld::TellStore(const SimServer& server, const std::string& domain,
                           const char* state) {
  store_.Put(absl::StrCat(names::kServersPrefix, server.id()),
             json{{names::kService, server.service()},
                  {names::kAddress, FormatEndpoint(server.endpoint())},
                  {names::kZone, domain},
                  {names::kSlots, 2},
                  {names::kState, state},
                  {names::kColdLeftMs, 0},
                  {names::kVersion, "v1"},
                  {names::kSequence, 1},
                  {names::kBorn, kBorn}}
                 .dump());
}

void MarksWorld::Drain(const std::string& id) {
  SimServer& server = *servers_.at(id);
  TellStore(server, server_domains_.at(id), names::kStateDraining);
  server.SetState(SimServerState::kDraining, Now());
}

void MarksWorld::Darken(const std::string& id) {
  servers_.at(id)->SetState(SimServerState::kUnreachable, Now());
}

void MarksWorld::Unlist(const std::string& id) {
  store_.Remove(absl::StrCat(names::kServersPrefix, id));
}

void MarksWorld::PutConfig(uint64_t version, int more) {
  json routes = json::array();
  for (const ServiceAddress& service : plan_.services) {
    routes.push_back(
        {{names::kHost, FormatIpAddress(service.address.address)},
         {names::kPort, absl::StrCat("/", service.address.port, "/")},
         {names::kService, service.name}});
  }
  for (int i = 0; i < more; ++i) {
    routes.push_back({{names::kHost, absl::StrCat("198.19.0.", i % 250 + 1)},
                      {names::kPort, absl::StrCat("/", 1'000 + i, "/")},
                      {names::kService, plan_.services[0].name}});
  }
  store_.Put(names::kConfigKey,
             json{{names::kVersion, version},
                  {names::kRoutes, routes},
                  {names::kLimits, {{names::kIdleTimeoutMs, 15'000}}}}
                 .dump());
}

void MarksWorld::StartCallers(int long_flows, double short_per_second) {
  int host = 1;
  for (const std::string& domain : plan_.domains) {
    auto callers = std::make_unique<SimClients>(
        domain, LoopbackOf(4, host), plan_.data_port, plan_.services, host);
    ++host;
    if (!callers->Open()) continue;
    callers->StartLongFlows(long_flows);
    if (short_per_second > 0)
      callers->SetShortFlowRate(short_per_second, Now());
    callers_.push_back(std::move(callers));
  }
}

void MarksWorld::Run(Duration time) {
  const TimePoint end = Now() + time;
  while (Now() < end) Tick();
}

bool MarksWorld::RunUntil(const std::function<bool()>& done, Duration limit) {
  const TimePoint end = Now() + limit;
  while (!done()) {
    if (Now() >= end) return false;
    Tick();
  }
  return true;
}

void MarksWorld::Tick() {
  const TimePoint now = Now();
  for (auto& [id, server] : servers_)
    server->Run(now, server_totals_, executed_requests_);
  for (const auto& callers : callers_) callers->Run(now, router_);
  std::this_thread::sleep_for(kTick);
}

json MarksWorld::Finish() {
  for (const auto& callers : callers_) callers->Finish();
  RunUntil(
      [this] {
        return std::all_of(callers_.begin(), callers_.end(),
                           [](const auto& callers) { return callers->idle(); });
      },
      kFinishTime);
  json result = json::array();
  for (size_t i = 0; i < plan_.services.size(); ++i) {
    ClientTotals sum;
    for (const auto& callers : callers_) {
      AddTotals(sum, callers->totals()[i]);
    }
    result.push_back({{"tenant", "marks"},
                      {"service", plan_.services[i].name},
                      {"flows", sum.flows},
                      {"opened", sum.established},
                      {"answers", sum.responses},
                      {"broken_flows", sum.reset_flows},
                      {"refused", sum.refused_flows},
                      {"lost_answers", sum.timeouts},
                      {"wrong_service", sum.wrong_service},
                      {"wrong_answers", sum.wrong_responses},
                      {"latency_ms_p50", Percentile(sum.latency_ms, 0.5)},
                      {"latency_ms_p99", Percentile(sum.latency_ms, 0.99)}});
  }
  // Servers do not tell these by service.
  result[0]["doubled_requests"] = server_totals_.duplicates;
  result[0]["late_new_work"] = server_totals_.late_flows;
  result[0]["wrong_answers"] = result[0]["wrong_answers"].get<uint64_t>() +
                               server_totals_.invalid_packets;
  return result;
}

ClientTotals MarksWorld::Sum() const {
  ClientTotals sum;
  for (const auto& callers : callers_) {
    for (const ClientTotals& totals : callers->totals()) {
      AddTotals(sum, totals);
    }
  }
  return sum;
}

size_t MarksWorld::FlowsOf(const std::string& id) const {
  return servers_.at(id)->flows();
}

}  // namespace knapweedlift::lab
