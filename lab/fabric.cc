#include "lab/fabric.h"

#include <iostream>
#include <random>
#include <thread>
#include <vector>

#include "absl/synchronization/mutex.h"
#include "core/packet/geneve.h"
#include "core/sheet/vm_list.h"
#include "drivers/clock.h"
#include "drivers/http.h"
#include "drivers/packet_batch.h"
#include "lab/datagrams.h"
#include "lab/stop_signal.h"

namespace knapweedlift::lab {
namespace {

constexpr int kReceiveTimeoutMs = 50;
constexpr Duration kListPeriod{200};
constexpr Duration kListTimeout{2'000};

// The VMs that packets are handed to.
class Targets {
 public:
  void Set(std::vector<Endpoint> endpoints) {
    absl::MutexLock lock(&mutex_);
    endpoints_ = std::move(endpoints);
  }

  std::vector<Endpoint> endpoints() {
    absl::MutexLock lock(&mutex_);
    return endpoints_;
  }

 private:
  absl::Mutex mutex_;
  std::vector<Endpoint> endpoints_ ABSL_GUARDED_BY(mutex_);
};

void FollowList(const Endpoint& platform, Targets& targets) {
  Reactor reactor;
  while (!StopRequested()) {
    const auto answer = HttpCall(
        reactor, platform, {.method = "GET", .target = "/v1/vms", .body = ""},
        Now() + kListTimeout);
    if (answer.ok()) {
      const auto list = ParseVmList(answer->body);
      std::vector<Endpoint> endpoints;
      if (list.ok()) {
        for (const ListedVm& vm : list->vms) {
          if (!vm.leaving) endpoints.push_back(vm.address.data);
        }
      }
      if (!endpoints.empty()) targets.Set(std::move(endpoints));
    }
    std::this_thread::sleep_for(kListPeriod);
  }
}

class Fabric {
 public:
  explicit Fabric(const FabricOptions& options)
      : options_(options), random_(options.seed) {}

  void Spray(const FileDescriptor& socket, std::span<const uint8_t> datagram,
             const std::vector<Endpoint>& targets) {
    if (Chance(options_.loss)) return;
    std::uniform_int_distribution<size_t> choice(0, targets.size() - 1);
    if (Chance(options_.reorder) && held_.empty()) {
      held_.assign(datagram.begin(), datagram.end());
      return;
    }
    SendDatagram(socket, targets[choice(random_)], datagram);
    if (held_.empty()) return;
    SendDatagram(socket, targets[choice(random_)], held_);
    held_.clear();
  }

 private:
  bool Chance(double probability) {
    return probability > 0 && std::bernoulli_distribution(probability)(random_);
  }

  const FabricOptions& options_;
  std::mt19937_64 random_;
  std::vector<uint8_t> held_;
};

}  // namespace

int RunFabric(const FabricOptions& options) {
  auto socket = BindUdp(options.listen, {});
  if (!socket.ok()) {
    std::cerr << socket.status().message() << "\n";
    return 1;
  }
  Targets targets;
  std::thread follower([&] { FollowList(options.platform, targets); });
  Fabric fabric(options);
  ReceiveBatch batch(kMaxGeneveDatagramBytes);
  while (!StopRequested()) {
    const size_t count = batch.ReceiveWithTimeout(*socket, kReceiveTimeoutMs);
    const std::vector<Endpoint> endpoints = targets.endpoints();
    if (endpoints.empty()) continue;
    for (size_t i = 0; i < count; ++i) {
      fabric.Spray(*socket, batch.datagram(i), endpoints);
    }
  }
  follower.join();
  return 0;
}

}  // namespace knapweedlift::lab
