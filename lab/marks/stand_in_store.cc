#include "lab/marks/stand_in_store.h"

#include <algorithm>
#include <boost/fiber/operations.hpp>
#include <nlohmann/json.hpp>
#include <utility>

#include "absl/strings/escaping.h"
#include "absl/strings/numbers.h"
#include "drivers/clock.h"
#include "platform/names.h"

namespace knapweedlift::lab {
namespace {

using nlohmann::json;
namespace names = platform::names;

constexpr unsigned kGone = 410;
constexpr unsigned kTooMany = 429;
constexpr unsigned kUnavailable = 503;
constexpr size_t kPageItems = 8;
constexpr size_t kMaxHistory = 10'000;
constexpr Duration kWatchPoll{2};
constexpr Duration kSlowness{240};

uint64_t NumberIn(const std::string& target, const char* name) {
  uint64_t value = 0;
  const bool good = absl::SimpleAtoi(QueryParameter(target, name), &value);
  return good ? value : 0;
}

json ItemJson(const std::string& key, const std::string& value,
              uint64_t revision) {
  std::string encoded;
  absl::Base64Escape(value, &encoded);
  return {{names::kKey, key},
          {names::kValue, encoded},
          {names::kRevision, revision}};
}

}  // namespace

StandInStore::StandInStore() = default;

StandInStore::~StandInStore() {
  stopping_ = true;
  for (const auto& door : doors_) door->thread.join();
}

Endpoint StandInStore::AddDoor() {
  auto listener = ListenTcp({.address = *ParseIpAddress("127.0.0.1")});
  if (!listener.ok()) return {};
  const Endpoint endpoint = LocalEndpoint(*listener);
  doors_.push_back(std::make_unique<Door>());
  Door& door = *doors_.back();
  door.listener = *std::move(listener);
  door.thread = std::thread([this, &door] {
    Reactor reactor;
    reactor.StopWhen([this] { return stopping_.load(); });
    ServeHttp(reactor, door.listener, [this, &door](const HttpRequest& call) {
      return Answer(door, call);
    });
  });
  return endpoint;
}

void StandInStore::SetMode(size_t door, StoreMode mode) {
  doors_[door]->mode = mode;
}

void StandInStore::Put(const std::string& key, const std::string& value) {
  absl::MutexLock lock(&mutex_);
  items_[key] = {.value = value, .revision = ++revision_};
  Record({.key = key, .value = value, .revision = revision_});
}

void StandInStore::Remove(const std::string& key) {
  absl::MutexLock lock(&mutex_);
  if (items_.erase(key) == 0) return;
  Record({.key = key, .revision = ++revision_, .removed = true});
}

void StandInStore::ForgetHistory() {
  absl::MutexLock lock(&mutex_);
  history_.clear();
  oldest_ = revision_;
}

uint64_t StandInStore::revision() {
  absl::MutexLock lock(&mutex_);
  return revision_;
}

void StandInStore::Record(Event event) {
  history_.push_back(std::move(event));
  if (history_.size() <= kMaxHistory) return;
  oldest_ = history_.front().revision;
  history_.pop_front();
}

HttpResponse StandInStore::Answer(Door& door, const HttpRequest& request) {
  ++calls_;
  switch (door.mode.load()) {
    case StoreMode::kBusy:
      return {.status = kUnavailable};
    case StoreMode::kMany:
      return {.status = kTooMany};
    case StoreMode::kSlow:
      boost::this_fiber::sleep_for(kSlowness);
      break;
    case StoreMode::kSilent:
    case StoreMode::kLost:
      while (!stopping_) boost::this_fiber::sleep_for(kWatchPoll);
      return {.status = kUnavailable};
    case StoreMode::kServe:
      break;
  }
  const std::string path = RequestPath(request.target);
  if (path == names::kRangePath) return AnswerRange(request.target);
  if (path == names::kWatchPath) return AnswerWatch(request.target);
  constexpr unsigned kNotFound = 404;
  return {.status = kNotFound};
}

HttpResponse StandInStore::AnswerRange(const std::string& target) {
  const std::string prefix = QueryParameter(target, names::kPrefix);
  const std::string after = QueryParameter(target, names::kAfter);
  absl::MutexLock lock(&mutex_);
  json page = json::array();
  bool more = false;
  for (const auto& [key, item] : items_) {
    if (!key.starts_with(prefix) || key <= after) continue;
    more = page.size() == kPageItems;
    if (more) break;
    page.push_back(ItemJson(key, item.value, item.revision));
  }
  return {.body = json{{names::kItems, page},
                       {names::kHasMore, more},
                       {names::kAsOf, revision_}}
                      .dump()};
}

HttpResponse StandInStore::AnswerWatch(const std::string& target) {
  const uint64_t after = NumberIn(target, names::kAfter);
  const TimePoint until =
      Now() + Duration(static_cast<int64_t>(NumberIn(target, names::kWaitMs)));
  while (true) {
    {
      absl::MutexLock lock(&mutex_);
      if (after < oldest_) return {.status = kGone};
      json events = json::array();
      for (const Event& event : history_) {
        if (event.revision <= after) continue;
        events.push_back(ItemJson(event.key, event.value, event.revision));
        if (!event.removed) continue;
        events.back().erase(names::kValue);
        events.back()[names::kDeleted] = true;
      }
      if (!events.empty() || Now() >= until || stopping_) {
        return {.body =
                    json{{names::kEvents, events}, {names::kAsOf, revision_}}
                        .dump()};
      }
    }
    boost::this_fiber::sleep_for(kWatchPoll);
  }
}

}  // namespace knapweedlift::lab
