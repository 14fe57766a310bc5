#include "lab/marks/testbed.h"

#include <algorithm>
#include <thread>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "absl/strings/str_join.h"
#include "drivers/clock.h"
#include "platform/names.h"

namespace knapweedlift::lab {
namespace {

using nlohmann::json;
namespace names = platform::names;

constexpr Duration kTickInterval{2};
constexpr Duration kFinishTimeout{6'000};
constexpr int64_t kServerStartTimeMs = 1'700'000'000'000;
constexpr uint64_t kFirstInstance = 0x7f3a9100;

IpAddress LoopbackAddress(int net, int host) {
  return *ParseIpAddress(absl::StrFormat("127.%d.0.%d", net, host));
}

// Returns a port that is free for UDP and TCP on the first VM's address, or 0
// on failure. The sockets in `reserved` keep the port from being returned
// again.
uint16_t FreePort(std::vector<FileDescriptor>& reserved) {
  while (true) {
    auto udp = BindUdp({.address = LoopbackAddress(2, 1)}, {});
    if (!udp.ok()) return 0;
    const Endpoint endpoint = LocalEndpoint(*udp);
    auto tcp = ListenTcp(endpoint);
    if (!tcp.ok()) continue;
    reserved.push_back(*std::move(udp));
    reserved.push_back(*std::move(tcp));
    return endpoint.port;
  }
}

std::string Quoted(const Endpoint& endpoint) {
  return absl::StrCat("\"", FormatEndpoint(endpoint), "\"");
}

double Percentile(std::vector<double> values, double quantile) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  const auto last = static_cast<double>(values.size() - 1);
  return values[static_cast<size_t>(quantile * last)];
}

}  // namespace

MarksPlan PlanMarks(size_t vms) {
  std::vector<FileDescriptor> reserved;
  MarksPlan plan{.domains = {"coimbra-a", "coimbra-b", "coimbra-c"},
                 .data_port = FreePort(reserved),
                 .control_port = FreePort(reserved),
                 .admin_port = FreePort(reserved)};
  const uint16_t ready_port = FreePort(reserved);
  plan.services = {
      {"atelier", {.address = *ParseIpAddress("198.18.0.1"), .port = 8'443}},
      {"catalogue", {.address = *ParseIpAddress("198.18.0.2"), .port = 443}}};
  for (size_t i = 0; i < vms; ++i) {
    const IpAddress address = LoopbackAddress(2, static_cast<int>(i) + 1);
    plan.vms.push_back({.domain = plan.domains[i % plan.domains.size()],
                        .data = {.address = address, .port = plan.data_port},
                        .ready = {.address = address, .port = ready_port}});
  }
  return plan;
}

std::string FormatConfig(uint64_t version, const RouteServices& routes) {
  json list = json::array();
  for (const auto& [address, service] : routes) {
    list.push_back({{names::kHost, FormatIpAddress(address.address)},
                    {names::kPort, absl::StrCat("/", address.port, "/")},
                    {names::kService, service}});
  }
  return json{{names::kVersion, version},
              {names::kRoutes, list},
              {names::kLimits, {{names::kIdleTimeoutMs, 15'000}}}}
      .dump();
}

std::string FormatVmSettings(const MarksPlan& plan, size_t index,
                             const Endpoint& platform,
                             const std::vector<size_t>& seeds) {
  const RoutedVm& vm = plan.vms[index];
  std::vector<std::string> seed_texts;
  seed_texts.reserve(seeds.size());
  for (const size_t seed : seeds) {
    seed_texts.push_back(Quoted(EndpointAt(plan.vms[seed], plan.control_port)));
  }
  return absl::StrCat(
      "[transport]\nkind = \"marks\"\n\n[vm]\nname = \"vm-", index + 1,
      "\"\nfailure_domain = \"", vm.domain,
      "\"\ncontrol = ", Quoted(EndpointAt(vm, plan.control_port)),
      "\ndata = ", Quoted(vm.data), "\nready = ", Quoted(vm.ready),
      "\nadmin = ", Quoted(EndpointAt(vm, plan.admin_port)),
      "\n\n[peers]\nseeds = [", absl::StrJoin(seed_texts, ", "),
      "]\n\n[platform]\naddress = ", Quoted(platform),
      "\n\n[deployment]\nnumber = 1\nhash_key = 7\n\n[shutdown]\n"
      "drain_timeout_ms = 4500\n");
}

MarksTestbed::MarksTestbed(const MarksPlan& plan)
    : plan_(plan), store_endpoint_(store_.AddListener()), router_(plan.vms) {}

std::string MarksTestbed::AddServer(const std::string& service,
                                    const std::string& domain) {
  const uint8_t number = next_server_++;
  const uint64_t instance = kFirstInstance + number;
  std::string id = absl::StrFormat("i-%x", instance);
  auto server = std::make_unique<SimServer>(
      id, instance, service, Endpoint{.address = LoopbackAddress(3, number)},
      plan_.data_port);
  if (!server->Open()) return {};
  server->SetSynFilter(syn_filter_);
  server_domains_[id] = domain;
  PublishServer(*server, domain, names::kStateReady);
  servers_[id] = std::move(server);
  return id;
}

void MarksTestbed::PublishServer(const SimServer& server,
                                 const std::string& domain, const char* state) {
  Put(absl::StrCat(names::kServersPrefix, server.id()),
      json{{names::kService, server.service()},
           {names::kAddress, FormatEndpoint(server.endpoint())},
           {names::kZone, domain},
           {names::kSlots, 2},
           {names::kState, state},
           {names::kColdLeftMs, 0},
           {names::kVersion, "v1"},
           {names::kSequence, 1},
           {names::kBorn, kServerStartTimeMs + restarts_[server.id()]}}
          .dump());
}

void MarksTestbed::Put(const std::string& key, const std::string& value) {
  std::erase_if(rewrites_, [&key](const Rewrite& rewrite) {
    return rewrite.write.key == key;
  });
  store_.Put(key, value);
}

void MarksTestbed::Remove(const std::string& key) {
  std::erase_if(rewrites_, [&key](const Rewrite& rewrite) {
    return rewrite.write.key == key;
  });
  store_.Remove(key);
}

void MarksTestbed::ReturnStoreFromCopy(const RewriteTimes& times) {
  const TimePoint now = Now();
  for (const LostWrite& write : store_.ReturnFromCopy()) {
    std::erase_if(rewrites_, [&write](const Rewrite& rewrite) {
      return rewrite.write.key == write.key;
    });
    Duration delay = times.operator_delay;
    if (write.key.starts_with(names::kServersPrefix)) {
      const auto random = static_cast<int64_t>(random_());
      delay = write.value.has_value()
                  ? Duration(random % times.max_server_delay.count())
                  : times.expiry;
    }
    rewrites_.push_back({.at = now + delay, .write = write});
  }
}

void MarksTestbed::RunRewrites(TimePoint now) {
  const std::vector<Rewrite> rewrites = rewrites_;
  for (const auto& [at, write] : rewrites) {
    if (now < at) continue;
    write.value.has_value() ? Put(write.key, *write.value) : Remove(write.key);
  }
}

void MarksTestbed::Drain(const std::string& id) {
  SimServer& server = *servers_.at(id);
  PublishServer(server, server_domains_.at(id), names::kStateDraining);
  server.SetState(SimServerState::kDraining, Now());
}

void MarksTestbed::Crash(const std::string& id) {
  servers_.at(id)->SetState(SimServerState::kUnreachable, Now());
}

void MarksTestbed::Restart(const std::string& id) {
  ++restarts_[id];
  servers_.at(id)->SetState(SimServerState::kServing, Now());
}

void MarksTestbed::RegisterAgain(const std::string& id) {
  PublishServer(*servers_.at(id), server_domains_.at(id), names::kStateReady);
}

void MarksTestbed::Overload(const std::string& id) {
  servers_.at(id)->SetState(SimServerState::kOverloaded, Now());
}

void MarksTestbed::SetServerState(const std::string& id, SimServerState state) {
  servers_.at(id)->SetState(state, Now());
}

void MarksTestbed::SetResponseDelay(const std::string& id, Duration delay) {
  servers_.at(id)->SetResponseDelay(delay);
}

void MarksTestbed::Deregister(const std::string& id) {
  Remove(absl::StrCat(names::kServersPrefix, id));
}

void MarksTestbed::SetSynFilter(const SimServer::SynFilter& filter) {
  syn_filter_ = filter;
  for (const auto& [id, server] : servers_) server->SetSynFilter(filter);
}

void MarksTestbed::Evacuate(const std::string& domain) {
  Put(absl::StrCat(names::kEvacuatePrefix, domain), "{}");
}

void MarksTestbed::EndEvacuation(const std::string& domain) {
  Remove(absl::StrCat(names::kEvacuatePrefix, domain));
}

void MarksTestbed::PutConfig(uint64_t version, int extra_routes) {
  RouteServices routes;
  for (const ServiceAddress& service : plan_.services) {
    routes[service.address] = service.name;
  }
  for (int i = 0; i < extra_routes; ++i) {
    const Endpoint route{
        .address = *ParseIpAddress(absl::StrCat("198.19.0.", i % 250 + 1)),
        .port = static_cast<uint16_t>(1'000 + i)};
    routes[route] = plan_.services[0].name;
  }
  PutConfigText(FormatConfig(version, routes));
}

void MarksTestbed::PutConfigText(const std::string& text) {
  Put(names::kConfigKey, text);
}

void MarksTestbed::StartClients(int long_flows, double short_flows_per_second) {
  int host = 1;
  for (const std::string& domain : plan_.domains) {
    auto clients =
        std::make_unique<SimClients>(domain, LoopbackAddress(4, host),
                                     plan_.data_port, plan_.services, host);
    ++host;
    if (!clients->Open()) continue;
    clients->StartLongFlows(long_flows);
    if (short_flows_per_second > 0) {
      clients->SetShortFlowRate(short_flows_per_second, Now());
    }
    clients_.push_back(std::move(clients));
  }
}

void MarksTestbed::SetShortFlowRate(double per_second) {
  for (const auto& clients : clients_) {
    clients->SetShortFlowRate(per_second, Now());
  }
}

void MarksTestbed::Run(Duration time) {
  const TimePoint end = Now() + time;
  while (Now() < end) Tick();
}

bool MarksTestbed::RunUntil(const std::function<bool()>& condition,
                            Duration limit) {
  const TimePoint end = Now() + limit;
  while (!condition()) {
    if (Now() >= end) return false;
    Tick();
  }
  return true;
}

void MarksTestbed::Tick() {
  const TimePoint now = Now();
  for (auto& [id, server] : servers_) {
    server->Run(now, server_totals_, executed_requests_);
  }
  for (const auto& clients : clients_) clients->Run(now, router_);
  RunRewrites(now);
  std::this_thread::sleep_for(kTickInterval);
}

json MarksTestbed::Finish() {
  for (const auto& clients : clients_) clients->Finish();
  RunUntil(
      [this] {
        return std::all_of(clients_.begin(), clients_.end(),
                           [](const auto& clients) { return clients->idle(); });
      },
      kFinishTimeout);
  json result = json::array();
  for (size_t i = 0; i < plan_.services.size(); ++i) {
    ClientTotals sum;
    for (const auto& clients : clients_) {
      AddTotals(sum, clients->totals()[i]);
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
  // Servers do not count these by service, so the first service reports them.
  result[0]["doubled_requests"] = server_totals_.duplicates;
  result[0]["late_new_work"] = server_totals_.late_flows;
  result[0]["wrong_answers"] = result[0]["wrong_answers"].get<uint64_t>() +
                               server_totals_.invalid_packets;
  return result;
}

ClientTotals MarksTestbed::SumTotals() const {
  ClientTotals sum;
  for (const auto& clients : clients_) {
    for (const ClientTotals& totals : clients->totals()) {
      AddTotals(sum, totals);
    }
  }
  return sum;
}

std::vector<ClientFlowRecord> MarksTestbed::ClientFlows() const {
  std::vector<ClientFlowRecord> records;
  for (const auto& clients : clients_) {
    clients->AppendFlowRecords(Now(), records);
  }
  return records;
}

std::vector<ServedFlowRecord> MarksTestbed::ServedFlows() const {
  std::vector<ServedFlowRecord> records;
  for (const auto& [id, server] : servers_) server->AppendFlowRecords(records);
  return records;
}

std::vector<ForeignPacketRecord> MarksTestbed::ForeignPackets() const {
  std::vector<ForeignPacketRecord> records;
  for (const auto& [id, server] : servers_) {
    const auto& packets = server->foreign_packets();
    records.insert(records.end(), packets.begin(), packets.end());
  }
  return records;
}

size_t MarksTestbed::FlowCount(const std::string& id) const {
  return servers_.at(id)->flows();
}

}  // namespace knapweedlift::lab
