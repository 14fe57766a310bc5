#include "lab/marks/fake_store.h"

#include <algorithm>
#include <boost/fiber/operations.hpp>
#include <nlohmann/json.hpp>
#include <utility>

#include "absl/strings/escaping.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "drivers/clock.h"
#include "platform/names.h"

namespace knapweedlift::lab {
namespace {

using nlohmann::json;
namespace names = platform::names;

constexpr unsigned kHttpGone = 410;
constexpr unsigned kHttpTooManyRequests = 429;
constexpr unsigned kHttpUnavailable = 503;
constexpr size_t kMaxPageItems = 8;
constexpr size_t kMaxHistoryEvents = 10'000;
constexpr Duration kWatchPollInterval{2};
constexpr Duration kSlowResponseDelay{240};

uint64_t QueryNumber(const std::string& target, const char* name) {
  uint64_t value = 0;
  const bool valid = absl::SimpleAtoi(QueryParameter(target, name), &value);
  return valid ? value : 0;
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

FakeStore::FakeStore() = default;

FakeStore::~FakeStore() {
  stopping_ = true;
  for (const auto& listener : listeners_) listener->thread.join();
}

Endpoint FakeStore::AddListener() {
  auto socket = ListenTcp({.address = *ParseIpAddress("127.0.0.1")});
  if (!socket.ok()) return {};
  const Endpoint endpoint = LocalEndpoint(*socket);
  listeners_.push_back(std::make_unique<Listener>());
  Listener& listener = *listeners_.back();
  listener.socket = *std::move(socket);
  listener.thread = std::thread([this, &listener] {
    Reactor reactor;
    reactor.StopWhen([this] { return stopping_.load(); });
    ServeHttp(reactor, listener.socket,
              [this, &listener](const HttpRequest& request) {
                return HandleRequest(listener, request);
              });
  });
  return endpoint;
}

void FakeStore::SetMode(size_t listener, StoreMode mode) {
  listeners_[listener]->mode = mode;
}

void FakeStore::Put(const std::string& key, const std::string& value) {
  absl::MutexLock lock(&mutex_);
  items_[key] = {.value = value, .revision = ++revision_};
  AppendEvent({.key = key, .value = value, .revision = revision_});
}

void FakeStore::Remove(const std::string& key) {
  absl::MutexLock lock(&mutex_);
  if (items_.erase(key) == 0) return;
  AppendEvent({.key = key, .revision = ++revision_, .removed = true});
}

void FakeStore::CompactHistory() {
  absl::MutexLock lock(&mutex_);
  history_.clear();
  compacted_revision_ = revision_;
}

void FakeStore::TakeCopy() {
  absl::MutexLock lock(&mutex_);
  copied_items_ = items_;
  copied_revision_ = revision_;
}

std::vector<LostWrite> FakeStore::ReturnFromCopy() {
  absl::MutexLock lock(&mutex_);
  std::vector<LostWrite> lost;
  for (const auto& [key, item] : items_) {
    if (item.revision <= copied_revision_) continue;
    lost.push_back({.key = key, .value = item.value});
  }
  for (const auto& [key, item] : copied_items_) {
    if (!items_.contains(key)) lost.push_back({.key = key});
  }
  items_ = copied_items_;
  revision_ = copied_revision_;
  std::erase_if(history_, [this](const Event& event) {
    return event.revision > revision_;
  });
  compacted_revision_ = std::min(compacted_revision_, revision_);
  ++era_;
  return lost;
}

void FakeStore::SetEraHeader(const std::optional<std::string>& value) {
  absl::MutexLock lock(&mutex_);
  era_header_ = value;
}

uint64_t FakeStore::revision() {
  absl::MutexLock lock(&mutex_);
  return revision_;
}

void FakeStore::AppendEvent(Event event) {
  history_.push_back(std::move(event));
  if (history_.size() <= kMaxHistoryEvents) return;
  compacted_revision_ = history_.front().revision;
  history_.pop_front();
}

HttpResponse FakeStore::HandleRequest(Listener& listener,
                                      const HttpRequest& request) {
  ++request_count_;
  HttpResponse response = ServeRequest(listener, request);
  absl::MutexLock lock(&mutex_);
  const std::string era = era_header_.value_or(absl::StrCat(era_));
  if (!era.empty()) {
    response.headers.push_back({.name = names::kEraHeader, .value = era});
  }
  return response;
}

HttpResponse FakeStore::ServeRequest(Listener& listener,
                                     const HttpRequest& request) {
  if (away_) return {.status = kHttpUnavailable};
  switch (listener.mode.load()) {
    case StoreMode::kUnavailable:
      return {.status = kHttpUnavailable};
    case StoreMode::kTooManyRequests:
      return {.status = kHttpTooManyRequests};
    case StoreMode::kSlow:
      boost::this_fiber::sleep_for(kSlowResponseDelay);
      break;
    case StoreMode::kUnresponsive:
    case StoreMode::kResponseLost:
      while (!stopping_) boost::this_fiber::sleep_for(kWatchPollInterval);
      return {.status = kHttpUnavailable};
    case StoreMode::kServe:
      break;
  }
  const std::string path = RequestPath(request.target);
  if (path == names::kRangePath) return HandleRange(request.target);
  if (path == names::kWatchPath) return HandleWatch(request.target);
  constexpr unsigned kHttpNotFound = 404;
  return {.status = kHttpNotFound};
}

HttpResponse FakeStore::HandleRange(const std::string& target) {
  const std::string prefix = QueryParameter(target, names::kPrefix);
  const std::string after = QueryParameter(target, names::kAfter);
  if (later_pages_slow_ && !after.empty()) {
    boost::this_fiber::sleep_for(kSlowResponseDelay);
  }
  ++page_count_;
  absl::MutexLock lock(&mutex_);
  json page = json::array();
  bool has_more = false;
  for (const auto& [key, item] : items_) {
    if (!key.starts_with(prefix) || key <= after) continue;
    has_more = page.size() == kMaxPageItems;
    if (has_more) break;
    page.push_back(ItemJson(key, item.value, item.revision));
  }
  return {.body = json{{names::kItems, page},
                       {names::kHasMore, has_more},
                       {names::kAsOf, revision_}}
                      .dump()};
}

HttpResponse FakeStore::HandleWatch(const std::string& target) {
  const uint64_t after = QueryNumber(target, names::kAfter);
  const TimePoint deadline =
      Now() +
      Duration(static_cast<int64_t>(QueryNumber(target, names::kWaitMs)));
  while (true) {
    {
      if (away_) return {.status = kHttpUnavailable};
      absl::MutexLock lock(&mutex_);
      if (after < compacted_revision_ || after > revision_) {
        return {.status = kHttpGone};
      }
      json events = json::array();
      const bool stalled = watches_stalled_;
      for (const Event& event : history_) {
        if (stalled || event.revision <= after) continue;
        events.push_back(ItemJson(event.key, event.value, event.revision));
        if (!event.removed) continue;
        events.back().erase(names::kValue);
        events.back()[names::kDeleted] = true;
      }
      if (!events.empty() || Now() >= deadline || stopping_) {
        return {.body = json{{names::kEvents, events},
                             {names::kAsOf, stalled ? after : revision_}}
                            .dump()};
      }
    }
    boost::this_fiber::sleep_for(kWatchPollInterval);
  }
}

}  // namespace knapweedlift::lab
