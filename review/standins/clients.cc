#include <algorithm>

#include "net.h"
#include "world.h"

namespace review {

void World::AddTraffic(const Traffic& traffic) {
  const auto known = std::find_if(
      clients_.begin(), clients_.end(),
      [&](const Client& client) { return client.zone == traffic.zone; });
  if (known == clients_.end()) {
    const uint32_t address =
        net_ | (4 << 8) | static_cast<uint32_t>(clients_.size() + 1);
    clients_.push_back({.zone = traffic.zone,
                        .address = address,
                        .udp = OpenSocket(SOCK_DGRAM, address, data_port_)});
    if (clients_.back().udp < 0) std::exit(2);
  }
  traffic_.push_back(traffic);
  next_flow_at_.push_back(Now());
  for (int i = 0; i < traffic.lasting; ++i) OpenFlow(traffic, true);
}

const Vm* World::ChooseVm(const Client& client, const Packet& packet) const {
  std::vector<const Vm*> zone;
  std::vector<const Vm*> ready;
  std::vector<const Vm*> elsewhere;
  for (const Vm& vm : vms) {
    if (vm.zone == client.zone) {
      zone.push_back(&vm);
      if (vm.in_rotation) ready.push_back(&vm);
    } else if (vm.in_rotation) {
      elsewhere.push_back(&vm);
    }
  }
  const auto& set = ready.empty()                    ? elsewhere
                    : 2 * ready.size() < zone.size() ? zone
                                                     : ready;
  if (set.empty()) return nullptr;
  const uint64_t hash =
      Hash(FlowKey(packet.src, packet.sport) ^
           (static_cast<uint64_t>(packet.dst) << 32) ^ packet.dport);
  return set[hash % set.size()];
}

void World::SendFromClient(ClientFlow& flow, Packet packet) {
  packet.src = flow.route.src;
  packet.sport = flow.route.sport;
  packet.dst = flow.route.dst;
  packet.dport = flow.route.dport;
  packet.echo = (packet.flags & kSyn) != 0 ? 0 : flow.echo;
  const Client& client = clients_[flow.client];
  const Vm* vm = ChooseVm(client, packet);
  if (vm == nullptr) return;
  const std::string bytes = Encode(packet);
  const sockaddr_in to = SocketAddress(vm->address, data_port_);
  flow.last_packet_at = Now();
  sendto(client.udp, bytes.data(), bytes.size(), MSG_DONTWAIT,
         reinterpret_cast<const sockaddr*>(&to), sizeof(to));
}

void World::OpenFlow(const Traffic& traffic, bool lasting) {
  size_t index = 0;
  while (clients_[index].zone != traffic.zone) ++index;
  Client& client = clients_[index];
  ClientFlow flow;
  flow.client = index;
  flow.lasting = lasting;
  flow.route.src = client.address;
  flow.route.sport = client.next_port++;
  flow.route.dst = Number(traffic.route.host);
  flow.route.dport = traffic.route.port;
  flow.next = static_cast<uint32_t>(random_());
  flow.first_syn_at = Now();
  flow.interval = traffic.pause;
  flow_index_[FlowKey(flow.route.src, flow.route.sport)] = flows_.size();
  flows_.push_back(flow);
}

void World::StartRequest(ClientFlow& flow) {
  const std::string id = "q" + std::to_string(next_request_++);
  // Most requests take 15 to 35 ms, one in ten takes 150 to 250 ms.
  const Ms work = random_() % 10 == 0 ? 150 + static_cast<Ms>(random_() % 100)
                                      : 15 + static_cast<Ms>(random_() % 20);
  flow.request = id;
  flow.unanswered = {.flags = kAck,
                     .seq = flow.next,
                     .ack = flow.ack,
                     .data = "POST /p HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: " +
                             id + "\r\nX-Work: " + std::to_string(work) +
                             "\r\nContent-Length: 0\r\n\r\n"};
  flow.next += static_cast<uint32_t>(flow.unanswered.data.size());
  flow.resend_at = Now() + 200;
  flow.deadline = Now() + kDeadline;
  requests[id] = {.sent_at = Now(),
                  .flow_syn_at = flow.last_syn_at,
                  .route = Text(flow.route.dst, flow.route.dport)};
  Note("request " + id + " sent to " + requests[id].route + " from port " +
       std::to_string(flow.route.sport));
  SendFromClient(flow, flow.unanswered);
}

void World::ReadClient(size_t index) {
  uint8_t buffer[2048];
  while (true) {
    const ssize_t size =
        recv(clients_[index].udp, buffer, sizeof(buffer), MSG_DONTWAIT);
    if (size <= 0) return;
    const auto packet = Decode(buffer, static_cast<size_t>(size));
    const bool own_reset = packet.has_value() && packet->sum == 0 &&
                           packet->flags == kRst && packet->data.empty();
    if (!packet.has_value() ||
        (!own_reset && packet->sum != KeyedSum(*packet))) {
      ++altered;
      Note("a client gets a packet that nobody wrote so");
      continue;
    }
    const auto found = flow_index_.find(FlowKey(packet->dst, packet->dport));
    if (found == flow_index_.end()) continue;
    HandleAtClient(flows_[found->second], *packet);
  }
}

void World::HandleAtClient(ClientFlow& flow, const Packet& packet) {
  if (flow.state == FlowState::kEnded) return;
  const std::string port = std::to_string(flow.route.sport);
  if ((packet.flags & kRst) != 0) {
    const bool in_window =
        packet.seq - flow.ack + kResetWindow <= 2 * kResetWindow;
    if (flow.state == FlowState::kOpen && !in_window) return;
    if (flow.state == FlowState::kOpening) {
      ++refused_flows;
      Note("flow of port " + port + " is refused with a reset");
    }
    if (flow.state == FlowState::kOpen && packet.sum == 0) {
      for (const auto& endpoint : endpoints) {
        const auto held =
            endpoint->flows.find(FlowKey(flow.route.src, flow.route.sport));
        const bool serves = endpoint->id == flow.endpoint && endpoint->alive &&
                            held != endpoint->flows.end() &&
                            held->second.open && !held->second.ended;
        if (!serves || flow.fin_sent) continue;
        ++resets_of_open_flows;
        Note("open flow of port " + port + " is reset by the system while " +
             flow.endpoint + " serves it" +
             (flow.request.empty() ? "" : ", request " + flow.request));
      }
    }
    flow.state = FlowState::kEnded;
    if (!flow.request.empty()) requests[flow.request].given_up = true;
    return;
  }
  flow.echo = packet.echo;
  if ((packet.flags & kSyn) != 0) {
    if (flow.state != FlowState::kOpening) return;
    flow.state = FlowState::kOpen;
    flow.opened_at = Now();
    flow.ack = packet.seq + 1;
    flow.next += 1;
    for (const auto& endpoint : endpoints) {
      const auto held =
          endpoint->flows.find(FlowKey(flow.route.src, flow.route.sport));
      if (held != endpoint->flows.end() &&
          held->second.next == packet.seq + 1) {
        flow.endpoint = endpoint->id;
      }
    }
    Note("flow of port " + port + " opens at " + flow.endpoint);
    StartRequest(flow);
    return;
  }
  const bool is_new = packet.seq == flow.ack;
  if (!packet.data.empty() && is_new) {
    flow.ack += static_cast<uint32_t>(packet.data.size());
    const std::string id = Header(packet.data, "X-Attempt-Id");
    if (id != flow.request || !requests.contains(id)) {
      ++altered;
      Note("port " + port + " gets the answer to " + id);
    } else {
      requests[id].answered = true;
      Note("request " + id + " is answered");
    }
    flow.request.clear();
    flow.unanswered = {};
    flow.resend_at = kNever;
    flow.deadline = kNever;
    flow.next_request_at = flow.lasting ? Now() + flow.interval : kNever;
    if (!flow.lasting) {
      flow.fin_sent = true;
      SendFromClient(flow,
                     {.flags = kAck | kFin, .seq = flow.next, .ack = flow.ack});
      flow.state = FlowState::kEnded;
      return;
    }
  }
  if (!packet.data.empty()) {
    SendFromClient(flow, {.flags = kAck, .seq = flow.next, .ack = flow.ack});
  }
}

void World::TickClients() {
  const Ms now = Now();
  for (size_t i = 0; i < traffic_.size(); ++i) {
    while (traffic_[i].per_second > 0 && now >= next_flow_at_[i]) {
      next_flow_at_[i] +=
          std::max<Ms>(1, static_cast<Ms>(1000 / traffic_[i].per_second));
      OpenFlow(traffic_[i], false);
    }
  }
  for (ClientFlow& flow : flows_) {
    if (flow.state == FlowState::kEnded) continue;
    if (flow.state == FlowState::kOpening) {
      if (now >= flow.first_syn_at + kOpeningTime) {
        flow.state = FlowState::kEnded;
        ++unanswered_flows;
        Note("flow of port " + std::to_string(flow.route.sport) +
             " gets no answer");
        continue;
      }
      const bool due =
          flow.syns < 3 && now >= flow.first_syn_at + kSynTimes[flow.syns];
      if (!due) continue;
      flow.last_syn_at = now;
      SendFromClient(flow, {.flags = kSyn,
                            .seq = flow.next,
                            .ack = static_cast<uint32_t>(flow.syns)});
      ++flow.syns;
      continue;
    }
    if (now >= flow.deadline) {
      Note("request " + flow.request + " gets no answer by its deadline");
      requests[flow.request].given_up = true;
      flow.state = FlowState::kEnded;
      continue;
    }
    if (now >= flow.resend_at) {
      SendFromClient(flow, flow.unanswered);
      flow.resend_at = now + 400;
    }
    if (now >= flow.next_request_at) {
      flow.next_request_at = kNever;
      StartRequest(flow);
    }
  }
  // Lasting flows that have ended are opened again from a new port.
  for (size_t i = 0; i < flows_.size(); ++i) {
    if (!flows_[i].lasting || flows_[i].state != FlowState::kEnded) continue;
    flows_[i].lasting = false;
    for (const Traffic& traffic : traffic_) {
      if (Number(traffic.route.host) != flows_[i].route.dst ||
          traffic.route.port != flows_[i].route.dport ||
          traffic.zone != clients_[flows_[i].client].zone) {
        continue;
      }
      OpenFlow(traffic, true);
      break;
    }
  }
}

}  // namespace review
