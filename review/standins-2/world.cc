#include "world.h"

#include <unistd.h>

#include <cstdio>

namespace {

// Bounds of the deployment, SYSTEM.md.
constexpr Millis kStableWindowMs = 4000;
constexpr Millis kFlowTtlMs = 60'000;
constexpr Millis kIdleTimeoutMs = 15'000;

constexpr uint32_t kLoopback = 127u << 24;
constexpr uint32_t kVmNet = kLoopback | 31 << 16;
constexpr uint32_t kClientNet = kLoopback | 32 << 16;
constexpr uint32_t kEndpointNet = kLoopback | 33 << 16;
constexpr uint32_t kStoreIp = kLoopback | 34 << 16 | 1;

}  // namespace

bool World::ChoosePorts() {
  for (int i = 0; i < 50; ++i) {
    const auto base = static_cast<uint16_t>(20'000 + Random() % 10'000);
    const int udp = OpenUdp({kVmNet | 10, base});
    const int tcp =
        OpenListener({kVmNet | 10, static_cast<uint16_t>(base + 1)});
    const int store = OpenListener({kStoreIp, base});
    for (const int fd : {udp, tcp, store}) {
      if (fd >= 0) close(fd);
    }
    if (udp < 0 || tcp < 0 || store < 0) continue;
    ports_ = {.data = base,
              .ready = static_cast<uint16_t>(base + 1),
              .control = static_cast<uint16_t>(base + 2),
              .admin = static_cast<uint16_t>(base + 3)};
    store_address_ = {kStoreIp, base};
    store_ = std::make_unique<Store>(loop_, store_address_);
    platform_ =
        std::make_unique<Platform>(loop_, folder_, ports_, store_address_);
    return store_->listening();
  }
  return false;
}

bool World::AddEndpoint(const std::string& service, const std::string& zone,
                        EndpointSettings settings) {
  const auto number = static_cast<uint32_t>(endpoints_.size() + 1);
  char id[32];
  std::snprintf(id, sizeof(id), "i-7f3a91%02x", number);
  settings.id = id;
  settings.service = service;
  settings.zone = zone;
  settings.address = {kEndpointNet | number, ports_.ready};
  settings.client_port = ports_.data;
  endpoints_.push_back(std::make_unique<Endpoint>(loop_, *store_, settings));
  return endpoints_.back()->Start();
}

void World::AddVms(const std::string& zone, int count) {
  for (int i = 0; i < count; ++i) {
    platform_->AddVm(
        zone, kVmNet | static_cast<uint32_t>(10 + platform_->vms().size()));
  }
}

void World::AddClients(const std::string& zone, int count) {
  for (int i = 0; i < count; ++i) {
    const auto ip = kClientNet | static_cast<uint32_t>(1 + clients_.size());
    const size_t index = clients_.size();
    clients_.push_back(std::make_unique<Client>(
        loop_, *platform_, zone, ip,
        [this, index](const FlowId& flow, bool by_system, const Vm* taken_by) {
          JudgeReset(*clients_[index], flow, by_system, taken_by);
        }));
  }
}

void World::Configure(const std::vector<Route>& routes) {
  std::string list;
  routes_.clear();
  for (const Route& route : routes) {
    routes_.insert(route.address);
    list += std::string(list.empty() ? "" : ",") + "{\"name\":\"" + route.name +
            "\",\"host\":\"" + Text(route.address.ip) + "\",\"prefix\":\"/" +
            std::to_string(route.address.port) +
            "/\",\"routeType\":\"unsafe\",\"timeoutMs\":600,"
            "\"targetLatencyMs\":120,\"priority\":1,\"service\":\"" +
            route.service + "\",\"maxAttempts\":2}";
  }
  version_ += 3;
  Record("operator   writes version %lu with %zu routes",
         static_cast<unsigned long>(version_), routes.size());
  store_->Write("op/config",
                "{\"version\":" + std::to_string(version_) + ",\"routes\":[" +
                    list +
                    "],\"services\":[{\"name\":\"atelier\",\"healthPath\":"
                    "\"/health\",\"maxFlows\":4286,\"protocol\":\"h1\","
                    "\"tls\":false}],\"limits\":{\"maxHeaderBytes\":16384,"
                    "\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,"
                    "\"idleTimeoutMs\":15000}}");
}

bool World::StartSystem() {
  if (!platform_->StartAll()) return false;
  loop_.RunUntil(NowMs() + 10'000, [this] { return platform_->AllReady(); });
  if (!platform_->AllReady()) return false;
  loop_.RunUntil(NowMs() + kStableWindowMs + 500, [] { return false; });
  return true;
}

// FLOW (a): a client gets a reset that the flow's endpoint did not send, while
// that endpoint lives and was not disturbed in the last stableWindowMs.
void World::JudgeReset(const Client& client, const FlowId& flow, bool by_system,
                       const Vm* taken_by) {
  const Endpoint* holder = nullptr;
  for (const auto& endpoint : endpoints_) {
    if (endpoint->Holds(flow)) holder = endpoint.get();
  }
  const Millis now = NowMs();
  const char* excuse = nullptr;
  if (holder == nullptr) {
    excuse = "no endpoint holds it";
  } else if (now - holder->disturbed_at() < kStableWindowMs) {
    excuse = "its endpoint was disturbed a short while ago";
  } else if (now - client.opened_at(flow) > kFlowTtlMs ||
             now - client.last_used(flow) > kIdleTimeoutMs) {
    excuse = "it is too old or was idle for too long";
  } else if (!routes_.contains({flow.host, flow.host_port})) {
    excuse = "its route was dropped";
  }
  if (!planned_) {
    for (const Vm& vm : platform_->vms()) {
      if (now - vm.disturbed_at < kStableWindowMs) {
        excuse = "a machine was not in touch";
      }
    }
  }
  Record("%s %s reset the open flow %s:%u at %s, taken by %s%s%s",
         excuse == nullptr ? "FLOW      " : "reset     ",
         by_system ? "the system" : "another endpoint",
         Text(flow.client).c_str(), flow.client_port,
         holder == nullptr ? "no endpoint" : holder->settings().id.c_str(),
         taken_by == nullptr ? "no machine" : taken_by->name.c_str(),
         excuse == nullptr ? "" : "; not counted: ",
         excuse == nullptr ? "" : excuse);
  if (excuse == nullptr) ++broken_;
}
