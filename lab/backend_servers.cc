#include "lab/backend_servers.h"

#include <poll.h>

#include <iostream>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <thread>
#include <unordered_map>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/synchronization/mutex.h"
#include "core/packet/geneve.h"
#include "core/packet/inner_packet.h"
#include "core/sheet/sheet_parser.h"
#include "drivers/clock.h"
#include "drivers/http.h"
#include "drivers/packet_batch.h"
#include "lab/datagrams.h"
#include "lab/packet_codec.h"
#include "lab/request.h"
#include "lab/stop_signal.h"
#include "lab/text_file.h"

namespace knapweedlift::lab {
namespace {

constexpr int kPollTimeoutMs = 50;
constexpr Duration kSheetPollInterval{100};
constexpr Duration kSheetTimeout{2'000};
// A server may still receive new connections for this long after the simulation
// has seen it as leaving, while the VMs learn of it.
constexpr Duration kDrainGrace{3'000};
constexpr uint32_t kInitialSequence = 1'000;

struct Connection {
  uint32_t expected_sequence = 0;
  uint32_t sequence = 0;
  // Sent again when the client retransmits the request.
  Segment last_response;
  bool has_response = false;
};

struct Server {
  const Service* service = nullptr;
  BackendServer config;
  FileDescriptor socket;
  std::unordered_map<FlowKey, Connection, FlowKeyHash> connections;
  uint64_t connections_opened = 0;
};

// Counters of one service.
struct ServiceTotals {
  uint64_t wrong_service = 0;
  uint64_t resets = 0;
  uint64_t late_new_flows = 0;
  // UDP datagrams that reached another server than the first of their flow.
  uint64_t split_flows = 0;
  std::map<uint64_t, uint32_t> executions_by_request;
  std::unordered_map<FlowKey, ServerId, FlowKeyHash> udp_servers;
};

// Tracks which servers the platform publishes as leaving, and until when each
// of them may receive new connections. PollSheet runs in a thread of its own.
class DrainDeadlines {
 public:
  using Key = std::pair<ServiceNumber, ServerId>;

  void PollSheet(const Endpoint& platform) {
    Reactor reactor;
    while (!StopRequested()) {
      const auto response =
          HttpCall(reactor, platform,
                   {.method = "GET", .target = "/v1/sheet", .body = ""},
                   Now() + kSheetTimeout);
      if (response.ok()) ApplySheet(response->body);
      std::this_thread::sleep_for(kSheetPollInterval);
    }
  }

  // Connections that the server receives after this time are late; never for a
  // server that is not leaving.
  TimePoint NewFlowDeadline(const Key& key) {
    absl::MutexLock lock(&mutex_);
    const auto found = deadlines_.find(key);
    return found == deadlines_.end() ? TimePoint::max() : found->second;
  }

 private:
  void ApplySheet(const std::string& text) {
    const auto sheet = ParseSheet({text});
    if (!sheet.ok()) return;
    absl::MutexLock lock(&mutex_);
    for (const Service& service : sheet->services) {
      for (const BackendServer& server : service.servers) {
        const Key key{service.number, server.number};
        if (AcceptsNewFlows(server)) {
          deadlines_.erase(key);
        } else {
          deadlines_.emplace(key, Now() + kDrainGrace);
        }
      }
    }
  }

  absl::Mutex mutex_;
  std::map<Key, TimePoint> deadlines_ ABSL_GUARDED_BY(mutex_);
};

class BackendServers {
 public:
  BackendServers(const BackendServerOptions& options, const Sheet& sheet)
      : options_(options), sheet_(sheet) {}

  bool Open() {
    for (const Service& service : sheet_.services) {
      for (const BackendServer& config : service.servers) {
        auto socket = BindUdp(config.geneve_endpoint, {});
        if (!socket.ok()) {
          std::cerr << socket.status().message() << "\n";
          return false;
        }
        servers_.push_back({.service = &service,
                            .config = config,
                            .socket = *std::move(socket)});
      }
    }
    return true;
  }

  void Run() {
    std::thread sheet_poller(
        [this] { drain_deadlines_.PollSheet(options_.platform); });
    std::vector<pollfd> polls;
    for (const Server& server : servers_) {
      polls.push_back(
          {.fd = server.socket.value(), .events = POLLIN, .revents = 0});
    }
    while (!StopRequested()) {
      if (poll(polls.data(), polls.size(), kPollTimeoutMs) <= 0) continue;
      for (size_t i = 0; i < polls.size(); ++i) {
        if ((polls[i].revents & POLLIN) != 0) ReceiveDatagrams(servers_[i]);
      }
    }
    sheet_poller.join();
  }

  nlohmann::json Result() {
    nlohmann::json result = nlohmann::json::array();
    for (const Service& service : sheet_.services) {
      result.push_back(ServiceResult(service));
    }
    return result;
  }

 private:
  void ReceiveDatagrams(Server& server) {
    const size_t count = batch_.ReceiveWithTimeout(server.socket, 0);
    for (size_t i = 0; i < count; ++i) {
      HandleDatagram(server, batch_.datagram(i));
    }
  }

  void HandleDatagram(Server& server, std::span<const uint8_t> datagram) {
    ServiceTotals& totals = totals_[server.service->number];
    const GeneveParseResult outer = ParseGeneve(datagram);
    if (!outer.packet.has_value()) return;
    // The kernel's Geneve device drops packets with a VNI that is not its own.
    if (outer.packet->vni != server.service->vni) {
      ++totals.wrong_service;
      return;
    }
    const auto segment = ParsePacket(outer.packet->payload);
    if (!segment.has_value()) return;
    const Endpoint destination{.address = segment->key.destination,
                               .port = segment->key.destination_port};
    if (destination != server.service->address) {
      ++totals.wrong_service;
      return;
    }
    if (segment->key.protocol == kProtocolUdp) {
      HandleUdpRequest(server, totals, *segment);
    } else {
      HandleTcpSegment(server, totals, *segment);
    }
  }

  void HandleUdpRequest(Server& server, ServiceTotals& totals,
                        const Segment& segment) {
    const uint64_t id = ParseRequestId(segment.payload);
    if (id == 0) return;
    if (!server.connections.contains(segment.key)) {
      RecordOpenedConnection(server, totals);
      server.connections[segment.key] = {};
    }
    const auto [entry, inserted] =
        totals.udp_servers.try_emplace(segment.key, server.config.number);
    if (entry->second != server.config.number) ++totals.split_flows;
    ++totals.executions_by_request[id];
    SendToClient(server,
                 {.key = Reverse(segment.key), .payload = BuildResponse(id)});
  }

  void RecordOpenedConnection(Server& server, ServiceTotals& totals) {
    ++server.connections_opened;
    const TimePoint deadline = drain_deadlines_.NewFlowDeadline(
        {server.service->number, server.config.number});
    if (Now() > deadline) ++totals.late_new_flows;
  }

  void HandleTcpSegment(Server& server, ServiceTotals& totals,
                        const Segment& segment) {
    const auto found = server.connections.find(segment.key);
    const bool known = found != server.connections.end();
    if ((segment.flags & kRst) != 0) {
      if (known) server.connections.erase(found);
      return;
    }
    if ((segment.flags & kSyn) != 0) {
      HandleSyn(server, totals, segment);
      return;
    }
    if (!known) {
      ++totals.resets;
      SendToClient(server, {.key = Reverse(segment.key),
                            .sequence = segment.acknowledged,
                            .flags = kRst});
      return;
    }
    HandleData(server, totals, segment, found->second);
    if ((segment.flags & kFin) == 0) return;
    SendToClient(server, {.key = Reverse(segment.key),
                          .sequence = found->second.sequence,
                          .acknowledged = segment.sequence + 1,
                          .flags = kFin | kAck});
    server.connections.erase(segment.key);
  }

  void HandleSyn(Server& server, ServiceTotals& totals,
                 const Segment& segment) {
    const auto [entry, inserted] = server.connections.try_emplace(segment.key);
    Connection& connection = entry->second;
    if (inserted) {
      RecordOpenedConnection(server, totals);
      connection.expected_sequence = segment.sequence + 1;
      connection.sequence = kInitialSequence;
    }
    SendToClient(server, {.key = Reverse(segment.key),
                          .sequence = connection.sequence,
                          .acknowledged = connection.expected_sequence,
                          .flags = kSyn | kAck});
  }

  void HandleData(Server& server, ServiceTotals& totals, const Segment& segment,
                  Connection& connection) {
    if (segment.payload.empty()) return;
    if (segment.sequence != connection.expected_sequence) {
      if (connection.has_response) {
        SendToClient(server, connection.last_response);
      }
      return;
    }
    const uint64_t id = ParseRequestId(segment.payload);
    if (id == 0) return;
    ++totals.executions_by_request[id];
    connection.expected_sequence +=
        static_cast<uint32_t>(segment.payload.size());
    connection.last_response = {.key = Reverse(segment.key),
                                .sequence = connection.sequence,
                                .acknowledged = connection.expected_sequence,
                                .flags = kAck,
                                .payload = BuildResponse(id)};
    connection.has_response = true;
    SendToClient(server, connection.last_response);
  }

  void SendToClient(const Server& server, const Segment& segment) {
    SendDatagram(server.socket, options_.client_endpoint,
                 BuildGeneveDatagram(server.service->vni, segment));
  }

  nlohmann::json ServiceResult(const Service& service) {
    uint64_t open_connections = 0;
    uint64_t max_connections = 0;
    uint64_t active_servers = 0;
    for (const Server& server : servers_) {
      const auto key = std::pair(service.number, server.config.number);
      const bool leaving =
          drain_deadlines_.NewFlowDeadline(key) != TimePoint::max();
      const bool eligible = server.service == &service && !leaving &&
                            server.connections_opened > 0;
      if (!eligible) continue;
      open_connections += server.connections.size();
      max_connections =
          std::max<uint64_t>(max_connections, server.connections.size());
      ++active_servers;
    }
    const auto found = totals_.find(service.number);
    const ServiceTotals totals =
        found == totals_.end() ? ServiceTotals{} : found->second;
    uint64_t duplicated = 0;
    for (const auto& [id, executions] : totals.executions_by_request) {
      if (executions > 1) ++duplicated;
    }
    const double mean_connections =
        active_servers == 0 ? 0
                            : static_cast<double>(open_connections) /
                                  static_cast<double>(active_servers);
    // Retransmitted UDP requests carry no sequence number that would identify
    // them, so a duplicate execution does not indicate a fault of the balancer.
    const bool tcp = service.protocol == kProtocolTcp;
    return {{"service", service.name},
            {"tenant", service.tenant},
            {"wrong_service", totals.wrong_service},
            {"resets", totals.resets},
            {"late_new_work", totals.late_new_flows},
            {"split_flows", totals.split_flows},
            {"requests", totals.executions_by_request.size()},
            {"doubled_requests", tcp ? duplicated : 0},
            {"connections", open_connections},
            {"imbalance",
             mean_connections == 0
                 ? 0
                 : static_cast<double>(max_connections) / mean_connections}};
  }

  const BackendServerOptions& options_;
  const Sheet& sheet_;
  std::vector<Server> servers_;
  std::map<ServiceNumber, ServiceTotals> totals_;
  DrainDeadlines drain_deadlines_;
  ReceiveBatch batch_{kMaxGeneveDatagramBytes};
};

}  // namespace

int RunBackendServers(const BackendServerOptions& options) {
  const auto sheet = ParseSheet({ReadTextFile(options.sheet_path)});
  if (!sheet.ok()) {
    std::cerr << sheet.status().message() << "\n";
    return 1;
  }
  BackendServers servers(options, *sheet);
  if (!servers.Open()) return 1;
  servers.Run();
  WriteTextFile(options.result_path, servers.Result().dump(2) + "\n");
  return 0;
}

}  // namespace knapweedlift::lab
