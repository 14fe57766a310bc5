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
constexpr Duration kVmListPollInterval{200};
constexpr Duration kVmListTimeout{2'000};

// The data endpoints of the VMs that receive packets. Thread-safe.
class VmEndpoints {
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

void PollVmList(const Endpoint& platform, VmEndpoints& targets) {
  Reactor reactor;
  while (!StopRequested()) {
    const auto response = HttpCall(
        reactor, platform, {.method = "GET", .target = "/v1/vms", .body = ""},
        Now() + kVmListTimeout);
    if (response.ok()) {
      const auto list = ParseVmList(response->body);
      std::vector<Endpoint> endpoints;
      if (list.ok()) {
        for (const ListedVm& vm : list->vms) {
          if (!vm.leaving) endpoints.push_back(vm.address.data);
        }
      }
      if (!endpoints.empty()) targets.Set(std::move(endpoints));
    }
    std::this_thread::sleep_for(kVmListPollInterval);
  }
}

class Fabric {
 public:
  explicit Fabric(const FabricOptions& options)
      : options_(options), random_(options.seed) {}

  void Forward(const FileDescriptor& socket, std::span<const uint8_t> datagram,
               const std::vector<Endpoint>& targets) {
    if (WithProbability(options_.loss_probability)) return;
    std::uniform_int_distribution<size_t> pick_target(0, targets.size() - 1);
    if (WithProbability(options_.reorder_probability) &&
        delayed_datagram_.empty()) {
      delayed_datagram_.assign(datagram.begin(), datagram.end());
      return;
    }
    SendDatagram(socket, targets[pick_target(random_)], datagram);
    if (delayed_datagram_.empty()) return;
    SendDatagram(socket, targets[pick_target(random_)], delayed_datagram_);
    delayed_datagram_.clear();
  }

 private:
  bool WithProbability(double probability) {
    return probability > 0 && std::bernoulli_distribution(probability)(random_);
  }

  const FabricOptions& options_;
  std::mt19937_64 random_;
  std::vector<uint8_t> delayed_datagram_;
};

}  // namespace

int RunFabric(const FabricOptions& options) {
  auto socket = BindUdp(options.listen, {});
  if (!socket.ok()) {
    std::cerr << socket.status().message() << "\n";
    return 1;
  }
  VmEndpoints targets;
  std::thread vm_list_poller([&] { PollVmList(options.platform, targets); });
  Fabric fabric(options);
  ReceiveBatch batch(kMaxGeneveDatagramBytes);
  while (!StopRequested()) {
    const size_t count = batch.ReceiveWithTimeout(*socket, kReceiveTimeoutMs);
    const std::vector<Endpoint> endpoints = targets.endpoints();
    if (endpoints.empty()) continue;
    for (size_t i = 0; i < count; ++i) {
      fabric.Forward(*socket, batch.datagram(i), endpoints);
    }
  }
  vm_list_poller.join();
  return 0;
}

}  // namespace knapweedlift::lab
