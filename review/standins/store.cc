#include "store.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <cstdlib>
#include <thread>

namespace review {
namespace {

// Limits of one page of a range.
constexpr size_t kPageItems = 500;
constexpr size_t kPageBytes = 1'000'000;
// How long the store keeps single changes (`historyS`).
constexpr std::chrono::seconds kHistory{20};

std::string Base64(const std::string& text) {
  static constexpr char kDigits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  out.reserve((text.size() + 2) / 3 * 4);
  for (size_t i = 0; i < text.size(); i += 3) {
    uint32_t group = 0;
    for (size_t j = 0; j < 3; ++j) {
      group <<= 8;
      if (i + j < text.size()) group |= static_cast<uint8_t>(text[i + j]);
    }
    for (int shift = 18; shift >= 0; shift -= 6) {
      out.push_back(kDigits[(group >> shift) & 63]);
    }
  }
  const size_t padding = (3 - text.size() % 3) % 3;
  for (size_t i = 0; i < padding; ++i) out[out.size() - 1 - i] = '=';
  return out;
}

std::string Parameter(const std::string& target, const std::string& name) {
  size_t at = target.find('?');
  while (at != std::string::npos) {
    const size_t begin = at + 1;
    at = target.find('&', begin);
    const std::string pair = target.substr(
        begin, at == std::string::npos ? std::string::npos : at - begin);
    if (!pair.starts_with(name + "=")) continue;
    std::string value;
    for (size_t i = name.size() + 1; i < pair.size(); ++i) {
      if (pair[i] == '%' && i + 2 < pair.size()) {
        value.push_back(static_cast<char>(
            std::strtol(pair.substr(i + 1, 2).c_str(), nullptr, 16)));
        i += 2;
      } else {
        value.push_back(pair[i]);
      }
    }
    return value;
  }
  return {};
}

bool SendAll(int fd, const std::string& bytes) {
  size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t count =
        send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) return false;
    sent += static_cast<size_t>(count);
  }
  return true;
}

}  // namespace

bool Store::Listen(uint32_t address, uint16_t& port) {
  listener_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int one = 1;
  setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
  sockaddr_in at{};
  at.sin_family = AF_INET;
  at.sin_addr.s_addr = htonl(address);
  at.sin_port = htons(port);
  auto* generic = reinterpret_cast<sockaddr*>(&at);
  if (bind(listener_, generic, sizeof(at)) != 0) return false;
  if (listen(listener_, 128) != 0) return false;
  socklen_t size = sizeof(at);
  getsockname(listener_, generic, &size);
  port = ntohs(at.sin_port);
  std::thread([this] { Accept(); }).detach();
  return true;
}

uint64_t Store::Put(const std::string& key, const std::string& value) {
  const std::lock_guard lock(mutex_);
  Item& item = items_[key];
  item.value = value;
  item.revision = ++revision_;
  if (item.created == 0) item.created = item.revision;
  AddEvent({.key = key, .item = item});
  return revision_;
}

uint64_t Store::Remove(const std::string& key) {
  const std::lock_guard lock(mutex_);
  if (items_.erase(key) == 0) return revision_;
  AddEvent({.key = key, .item = {.revision = ++revision_}, .removed = true});
  return revision_;
}

void Store::AddEvent(Event event) {
  event.at = std::chrono::steady_clock::now();
  history_.push_back(std::move(event));
  while (history_.front().at + kHistory < history_.back().at) {
    dropped_ = history_.front().item.revision;
    history_.pop_front();
  }
  changed_.notify_all();
}

void Store::Accept() {
  while (true) {
    const int fd = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd < 0) continue;
    const int one = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    std::thread([this, fd] { Serve(fd); }).detach();
  }
}

void Store::Serve(int fd) {
  std::string input;
  char buffer[4096];
  while (true) {
    size_t end = input.find("\r\n\r\n");
    while (end == std::string::npos) {
      const ssize_t count = recv(fd, buffer, sizeof(buffer), 0);
      if (count <= 0) {
        close(fd);
        return;
      }
      input.append(buffer, static_cast<size_t>(count));
      end = input.find("\r\n\r\n");
    }
    const size_t begin = input.find(' ') + 1;
    const std::string target =
        input.substr(begin, input.find(' ', begin) - begin);
    input.erase(0, end + 4);
    int status = 200;
    const std::string body = Answer(target, status);
    const bool sent =
        SendAll(fd, "HTTP/1.1 " + std::to_string(status) +
                        " X\r\nContent-Type: application/json\r\nContent-"
                        "Length: " +
                        std::to_string(body.size()) + "\r\n\r\n" + body);
    if (sent) continue;
    close(fd);
    return;
  }
}

std::string Store::Answer(const std::string& target, int& status) {
  if (target.starts_with("/-/kv-range")) return Range(target);
  if (target.starts_with("/-/kv-watch")) return Watch(target, status);
  status = 404;
  return "{}";
}

std::string Store::ItemJson(const std::string& key, const Item& item) {
  return "{\"key\":\"" + key + "\",\"value\":\"" + Base64(item.value) +
         "\",\"rev\":" + std::to_string(item.revision) +
         ",\"createRevision\":" + std::to_string(item.created) +
         ",\"lease\":0}";
}

std::string Store::Range(const std::string& target) {
  const std::string prefix = Parameter(target, "prefix");
  const std::string after = Parameter(target, "after");
  const std::lock_guard lock(mutex_);
  std::string items;
  size_t count = 0;
  bool more = false;
  for (const auto& [key, item] : items_) {
    if (!key.starts_with(prefix) || (!after.empty() && key <= after)) continue;
    more = count == kPageItems || items.size() > kPageBytes;
    if (more) break;
    if (count++ > 0) items += ",";
    items += ItemJson(key, item);
  }
  return "{\"items\":[" + items + "],\"hasMore\":" + (more ? "true" : "false") +
         ",\"asOf\":" + std::to_string(revision_) + "}";
}

std::string Store::Watch(const std::string& target, int& status) {
  const std::string prefix = Parameter(target, "prefix");
  const uint64_t after =
      std::strtoull(Parameter(target, "after").c_str(), nullptr, 10);
  const auto deadline = std::chrono::steady_clock::now() +
                        std::chrono::milliseconds(std::strtoll(
                            Parameter(target, "waitMs").c_str(), nullptr, 10));
  std::unique_lock lock(mutex_);
  while (true) {
    if (after < dropped_) {
      status = 410;
      return "{}";
    }
    std::string events;
    for (const Event& event : history_) {
      if (event.item.revision <= after || !event.key.starts_with(prefix)) {
        continue;
      }
      if (!events.empty()) events += ",";
      events += event.removed
                    ? "{\"key\":\"" + event.key +
                          "\",\"rev\":" + std::to_string(event.item.revision) +
                          ",\"deleted\":true}"
                    : ItemJson(event.key, event.item);
    }
    const bool expired = std::chrono::steady_clock::now() >= deadline;
    if (!events.empty() || expired) {
      return "{\"events\":[" + events +
             "],\"asOf\":" + std::to_string(revision_) + "}";
    }
    changed_.wait_until(lock, deadline);
  }
}

}  // namespace review
