#include <algorithm>
#include <cerrno>
#include <cstdlib>

#include "net.h"
#include "world.h"

namespace review {

void World::SendFromEndpoint(Endpoint& endpoint, const EndpointFlow& flow,
                             Packet packet) {
  packet.src = flow.route.src;
  packet.sport = flow.route.sport;
  packet.dst = flow.route.dst;
  packet.dport = flow.route.dport;
  packet.echo = flow.echo;
  const std::string bytes = Encode(packet);
  const sockaddr_in to = SocketAddress(packet.dst, data_port_);
  sendto(endpoint.udp, bytes.data(), bytes.size(), MSG_DONTWAIT,
         reinterpret_cast<const sockaddr*>(&to), sizeof(to));
}

void World::ReadEndpoint(Endpoint& endpoint) {
  uint8_t buffer[2048];
  while (true) {
    const ssize_t size =
        recv(endpoint.udp, buffer, sizeof(buffer), MSG_DONTWAIT);
    if (size <= 0) return;
    if (!endpoint.alive || size < 8) continue;
    uint64_t instance = 0;
    for (size_t i = 0; i < 8; ++i) instance = instance << 8 | buffer[i];
    if (instance != 0 && instance != endpoint.instance) continue;
    const auto packet = Decode(buffer + 8, static_cast<size_t>(size) - 8);
    if (!packet.has_value() || packet->sum != KeyedSum(*packet)) {
      ++altered;
      Note("endpoint " + endpoint.id + " gets a packet that nobody wrote so");
      continue;
    }
    HandleAtEndpoint(endpoint, *packet);
  }
}

void World::HandleAtEndpoint(Endpoint& endpoint, const Packet& packet) {
  const uint64_t key = FlowKey(packet.src, packet.sport);
  const auto found = endpoint.flows.find(key);
  if ((packet.flags & kRst) != 0) {
    if (found != endpoint.flows.end()) found->second.ended = true;
    return;
  }
  Packet back;
  back.src = packet.dst;
  back.sport = packet.dport;
  back.dst = packet.src;
  back.dport = packet.sport;
  if ((packet.flags & kSyn) != 0) {
    EndpointFlow& flow = endpoint.flows[key];
    if (flow.expected != packet.seq + 1) {
      flow = {.expected = packet.seq + 1,
              .next = static_cast<uint32_t>(random_()),
              .route = back};
      flow.next += 1;
    }
    flow.echo = packet.echo;
    SendFromEndpoint(
        endpoint, flow,
        {.flags = kSyn | kAck, .seq = flow.next - 1, .ack = flow.expected});
    return;
  }
  if (found == endpoint.flows.end() ||
      (found->second.ended && !packet.data.empty())) {
    SendFromEndpoint(endpoint, {.echo = packet.echo, .route = back},
                     {.flags = kRst, .seq = packet.ack});
    return;
  }
  EndpointFlow& flow = found->second;
  flow.echo = packet.echo;
  if (packet.ack == flow.next) {
    flow.open = true;
    flow.resend_at = kNever;
    flow.unanswered = {};
  }
  if (!packet.data.empty() && packet.seq == flow.expected) {
    flow.expected += static_cast<uint32_t>(packet.data.size());
    const std::string id = Header(packet.data, "X-Attempt-Id");
    const Ms work = std::atol(Header(packet.data, "X-Work").c_str());
    endpoint.waiting.push_back({.flow = key, .request = id, .duration = work});
    SendFromEndpoint(endpoint, flow,
                     {.flags = kAck, .seq = flow.next, .ack = flow.expected});
  } else if (!packet.data.empty()) {
    SendFromEndpoint(endpoint, flow,
                     {.flags = kAck, .seq = flow.next, .ack = flow.expected});
  }
  if ((packet.flags & kFin) != 0) {
    flow.ended = true;
    SendFromEndpoint(endpoint, flow,
                     {.flags = kAck, .seq = flow.next, .ack = packet.seq + 1});
  }
}

void World::FinishWork(Endpoint& endpoint, const Work& work) {
  const auto found = endpoint.flows.find(work.flow);
  if (found == endpoint.flows.end() || found->second.ended) return;
  EndpointFlow& flow = found->second;
  flow.unanswered = {.flags = kAck,
                     .seq = flow.next,
                     .ack = flow.expected,
                     .data = "HTTP/1.1 200 OK\r\nX-Server-Seal: " +
                             endpoint.id + "\r\nX-Attempt-Id: " + work.request +
                             "\r\nContent-Length: 0\r\n\r\n"};
  flow.next += static_cast<uint32_t>(flow.unanswered.data.size());
  flow.interval = 200;
  flow.resends = 0;
  flow.resend_at = Now() + flow.interval;
  SendFromEndpoint(endpoint, flow, flow.unanswered);
}

void World::ServeHealth(Endpoint& endpoint) {
  while (true) {
    const int fd =
        accept4(endpoint.tcp, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0) break;
    endpoint.connections.push_back(fd);
  }
  std::erase_if(endpoint.connections, [](int fd) {
    char buffer[1024];
    const ssize_t count = recv(fd, buffer, sizeof(buffer), MSG_DONTWAIT);
    if (count < 0 && errno == EAGAIN) return false;
    constexpr char kHealthy[] = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    if (count > 0) {
      send(fd, kHealthy, sizeof(kHealthy) - 1, MSG_NOSIGNAL | MSG_DONTWAIT);
      return false;
    }
    close(fd);
    return true;
  });
}

void World::TickEndpoints() {
  const Ms now = Now();
  for (const auto& owned : endpoints) {
    Endpoint& endpoint = *owned;
    if (!endpoint.alive) continue;
    if (endpoint.beats && now >= endpoint.next_beat) Beat(endpoint);
    std::erase_if(endpoint.running, [&](const Work& work) {
      if (now < work.ends_at) return false;
      FinishWork(endpoint, work);
      return true;
    });
    while (!endpoint.waiting.empty() && endpoint.running.size() < kSlots) {
      Work work = endpoint.waiting.front();
      endpoint.waiting.erase(endpoint.waiting.begin());
      work.ends_at = now + work.duration;
      Request& request = requests[work.request];
      ++request.runs;
      request.run_by = endpoint.id;
      Note("request " + work.request + " runs at " + endpoint.id);
      endpoint.running.push_back(work);
    }
    for (auto& [key, flow] : endpoint.flows) {
      if (flow.ended || now < flow.resend_at) continue;
      if (++flow.resends > 8) {
        flow.resend_at = kNever;
        continue;
      }
      flow.interval = std::min(2 * flow.interval, kMaxResendInterval);
      flow.resend_at = now + flow.interval;
      SendFromEndpoint(endpoint, flow, flow.unanswered);
    }
  }
}

}  // namespace review
