#include "lab/backend.h"

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
constexpr Duration kSheetPeriod{100};
constexpr Duration kSheetTimeout{2'000};
// A leaving server may get new connections this long after it was published.
constexpr Duration kLeavingGrace{3'000};
constexpr uint32_t kFirstSequence = 1'000;

struct Connection {
  uint32_t expected = 0;
  uint32_t sequence = 0;
  // The last answer, for a request that is sent again.
  Segment last_answer;
  bool has_answered = false;
};

struct Server {
  const Service* service = nullptr;
  BackendServer config;
  FileDescriptor socket;
  std::unordered_map<FlowKey, Connection, FlowKeyHash> connections;
  uint64_t connections_opened = 0;
};

// Totals of one service.
struct Totals {
  uint64_t wrong_service = 0;
  uint64_t resets = 0;
  uint64_t late_new_work = 0;
  // UDP flows that reached a second server.
  uint64_t split_flows = 0;
  std::map<uint64_t, uint32_t> runs_by_request;
  std::unordered_map<FlowKey, ServerId, FlowKeyHash> udp_owners;
};

// When each server was first published as leaving.
class LeavingTimes {
 public:
  using Key = std::pair<ServiceNumber, ServerId>;

  void Follow(const Endpoint& platform) {
    Reactor reactor;
    while (!StopRequested()) {
      const auto answer =
          HttpCall(reactor, platform,
                   {.method = "GET", .target = "/v1/sheet", .body = ""},
                   Now() + kSheetTimeout);
      if (answer.ok()) Take(answer->body);
      std::this_thread::sleep_for(kSheetPeriod);
    }
  }

  // New connections to the server are late after this deadline.
  TimePoint DeadlineOf(const Key& key) {
    absl::MutexLock lock(&mutex_);
    const auto found = deadlines_.find(key);
    return found == deadlines_.end() ? TimePoint::max() : found->second;
  }

 private:
  void Take(const std::string& text) {
    const auto sheet = ParseSheet({text});
    if (!sheet.ok()) return;
    absl::MutexLock lock(&mutex_);
    for (const Service& service : sheet->services) {
      for (const BackendServer& server : service.servers) {
        const Key key{service.number, server.number};
        if (AcceptsNewFlows(server)) {
          deadlines_.erase(key);
        } else {
          deadlines_.emplace(key, Now() + kLeavingGrace);
        }
      }
    }
  }

  absl::Mutex mutex_;
  std::map<Key, TimePoint> deadlines_ ABSL_GUARDED_BY(mutex_);
};

class Backends {
 public:
  Backends(const BackendOptions& options, const Sheet& sheet)
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
    std::thread follower([this] { leaving_.Follow(options_.platform); });
    std::vector<pollfd> polls;
    for (const Server& server : servers_) {
      polls.push_back(
          {.fd = server.socket.value(), .events = POLLIN, .revents = 0});
    }
    while (!StopRequested()) {
      if (poll(polls.data(), polls.size(), kPollTimeoutMs) <= 0) continue;
      for (size_t i = 0; i < polls.size(); ++i) {
        if ((polls[i].revents & POLLIN) != 0) Drain(servers_[i]);
      }
    }
    follower.join();
  }

  nlohmann::json Result() {
    nlohmann::json result = nlohmann::json::array();
    for (const Service& service : sheet_.services) {
      result.push_back(ServiceResult(service));
    }
    return result;
  }

 private:
  void Drain(Server& server) {
    const size_t count = batch_.ReceiveWithTimeout(server.socket, 0);
    for (size_t i = 0; i < count; ++i) {
      TakeDatagram(server, batch_.datagram(i));
    }
  }

  void TakeDatagram(Server& server, std::span<const uint8_t> datagram) {
    Totals& totals = totals_[server.service->number];
    const GeneveParseResult outer = ParseGeneve(datagram);
    if (!outer.packet.has_value()) return;
    // A stock Geneve device drops a foreign VNI.
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
      AnswerDatagram(server, totals, *segment);
    } else {
      TakeTcp(server, totals, *segment);
    }
  }

  void AnswerDatagram(Server& server, Totals& totals, const Segment& segment) {
    const uint64_t id = ParseRequestId(segment.payload);
    if (id == 0) return;
    if (!server.connections.contains(segment.key)) {
      NoteOpened(server, totals);
      server.connections[segment.key] = {};
    }
    const auto [owner, first] =
        totals.udp_owners.try_emplace(segment.key, server.config.number);
    if (owner->second != server.config.number) ++totals.split_flows;
    ++totals.runs_by_request[id];
    Reply(server, {.key = Reverse(segment.key), .payload = BuildResponse(id)});
  }

  void NoteOpened(Server& server, Totals& totals) {
    ++server.connections_opened;
    const TimePoint deadline =
        leaving_.DeadlineOf({server.service->number, server.config.number});
    if (Now() > deadline) ++totals.late_new_work;
  }

  void TakeTcp(Server& server, Totals& totals, const Segment& segment) {
    const auto found = server.connections.find(segment.key);
    const bool known = found != server.connections.end();
    if ((segment.flags & kRst) != 0) {
      if (known) server.connections.erase(found);
      return;
    }
    if ((segment.flags & kSyn) != 0) {
      TakeSyn(server, totals, segment);
      return;
    }
    if (!known) {
      ++totals.resets;
      Reply(server, {.key = Reverse(segment.key),
                     .sequence = segment.acknowledged,
                     .flags = kRst});
      return;
    }
    TakeData(server, totals, segment, found->second);
    if ((segment.flags & kFin) == 0) return;
    Reply(server, {.key = Reverse(segment.key),
                   .sequence = found->second.sequence,
                   .acknowledged = segment.sequence + 1,
                   .flags = kFin | kAck});
    server.connections.erase(segment.key);
  }

  void TakeSyn(Server& server, Totals& totals, const Segment& segment) {
    const auto [entry, added] = server.connections.try_emplace(segment.key);
    Connection& connection = entry->second;
    if (added) {
      NoteOpened(server, totals);
      connection.expected = segment.sequence + 1;
      connection.sequence = kFirstSequence;
    }
    Reply(server, {.key = Reverse(segment.key),
                   .sequence = connection.sequence,
                   .acknowledged = connection.expected,
                   .flags = kSyn | kAck});
  }

  void TakeData(Server& server, Totals& totals, const Segment& segment,
                Connection& connection) {
    if (segment.payload.empty()) return;
    if (segment.sequence != connection.expected) {
      if (connection.has_answered) Reply(server, connection.last_answer);
      return;
    }
    const uint64_t id = ParseRequestId(segment.payload);
    if (id == 0) return;
    ++totals.runs_by_request[id];
    connection.expected += static_cast<uint32_t>(segment.payload.size());
    connection.last_answer = {.key = Reverse(segment.key),
                              .sequence = connection.sequence,
                              .acknowledged = connection.expected,
                              .flags = kAck,
                              .payload = BuildResponse(id)};
    connection.has_answered = true;
    Reply(server, connection.last_answer);
  }

  void Reply(const Server& server, const Segment& segment) {
    SendDatagram(server.socket, options_.callers,
                 BuildGeneveDatagram(server.service->vni, segment));
  }

  nlohmann::json ServiceResult(const Service& service) {
    uint64_t open = 0;
    uint64_t most = 0;
    uint64_t active = 0;
    for (const Server& server : servers_) {
      const auto key = std::pair(service.number, server.config.number);
      const bool leaving = leaving_.DeadlineOf(key) != TimePoint::max();
      const bool counts = server.service == &service && !leaving &&
                          server.connections_opened > 0;
      if (!counts) continue;
      open += server.connections.size();
      most = std::max<uint64_t>(most, server.connections.size());
      ++active;
    }
    const auto found = totals_.find(service.number);
    const Totals totals = found == totals_.end() ? Totals{} : found->second;
    uint64_t doubled = 0;
    for (const auto& [id, runs] : totals.runs_by_request) {
      if (runs > 1) ++doubled;
    }
    const double mean =
        active == 0 ? 0
                    : static_cast<double>(open) / static_cast<double>(active);
    // UDP requests are sent again without a sequence number, so that a doubled
    // one says nothing of the balancer.
    const bool tcp = service.protocol == kProtocolTcp;
    return {{"service", service.name},
            {"tenant", service.tenant},
            {"wrong_service", totals.wrong_service},
            {"resets", totals.resets},
            {"late_new_work", totals.late_new_work},
            {"split_flows", totals.split_flows},
            {"requests", totals.runs_by_request.size()},
            {"doubled_requests", tcp ? doubled : 0},
            {"connections", open},
            {"imbalance", mean == 0 ? 0 : static_cast<double>(most) / mean}};
  }

  const BackendOptions& options_;
  const Sheet& sheet_;
  std::vector<Server> servers_;
  std::map<ServiceNumber, Totals> totals_;
  LeavingTimes leaving_;
  ReceiveBatch batch_{kMaxGeneveDatagramBytes};
};

}  // namespace

int RunBackends(const BackendOptions& options) {
  const auto sheet = ParseSheet({ReadTextFile(options.sheet_path)});
  if (!sheet.ok()) {
    std::cerr << sheet.status().message() << "\n";
    return 1;
  }
  Backends backends(options, *sheet);
  if (!backends.Open()) return 1;
  backends.Run();
  WriteTextFile(options.result_path, backends.Result().dump(2) + "\n");
  return 0;
}

}  // namespace knapweedlift::lab
