#include "servers/marks/mark_admin.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "core/fleet/watch_duty.h"
#include "core/placement/mark_decision.h"
#include "drivers/clock.h"
#include "servers/admin_answers.h"

namespace knapweedlift {
namespace {

using nlohmann::json;

const char* StateOf(const ServerTarget& server) {
  if (server.replaced) return "replaced";
  if (server.held) return "held";
  if (server.gone) return "gone";
  if (server.ended) return "silent";
  if (server.suspect) return "suspect";
  return server.fact.draining ? "draining" : "ready";
}

int64_t AgeMs(const MarkAdminParts& parts, TimePoint now) {
  return FactsAge(parts.messenger.state().confirmed_at, now).count();
}

json ServerJson(const ServerTarget& server, TimePoint now) {
  return {{"name", server.fact.name},
          {"service", server.fact.service},
          {"address", FormatEndpoint(server.fact.endpoint)},
          {"domain", server.fact.domain},
          {"state", StateOf(server)},
          {"slots", server.fact.slots},
          {"cold", now < server.fact.cold_until},
          {"mark", server.fact.mark},
          {"expected_requests", server.load->expected_requests.load()}};
}

json ServersJson(const MarkAdminParts& parts, TimePoint now) {
  json servers = json::array();
  const MarkViewPtr view = parts.view.view();
  if (view == nullptr) return servers;
  const auto traffic = parts.flows.Traffic();
  for (const ServerTarget& server : view->servers) {
    json line = ServerJson(server, now);
    const auto found = traffic.find(server.fact.mark);
    const bool seen = found != traffic.end();
    line["flows_seen_here"] = seen ? found->second.flows : 0;
    line["callers_waiting_here"] = seen ? found->second.waiting : 0;
    servers.push_back(line);
  }
  return servers;
}

json VmsJson(const MarkAdminParts& parts, TimePoint now) {
  json vms = json::array();
  for (const auto& [id, member] : parts.messenger.state().members) {
    vms.push_back({{"id", id},
                   {"address", FormatEndpoint(member.address.control)},
                   {"domain", member.address.domain},
                   {"phase", PhaseName(member.heartbeat.phase)},
                   {"suspect", now >= member.suspect_after}});
  }
  return vms;
}

HttpAnswer AnswerStatus(const MarkAdminParts& parts) {
  const TimePoint now = Now();
  const FleetState& fleet = parts.messenger.state();
  return JsonAnswer(
      {{"transport", "marks"},
       {"vm", parts.name},
       {"domain", fleet.self.domain},
       {"phase", PhaseName(fleet.phase)},
       {"revision", parts.registry.as_of},
       {"config_version", parts.registry.limits.limits.version},
       {"facts_confirmed_ms_ago", AgeMs(parts, now)},
       {"fresh", FactsAreFresh(fleet, now)},
       {"watching", fleet.watching},
       {"views_made", parts.views_made},
       {"platform", parts.watcher.platform_status()},
       {"platform_calls", parts.watcher.call_count()},
       {"control_sent_bytes", parts.messenger.sent_bytes()},
       {"control_received_bytes", parts.messenger.received_bytes()},
       {"routes",
        std::count_if(parts.registry.routes.begin(),
                      parts.registry.routes.end(),
                      [](const auto& item) { return !item.second.gone; })},
       {"servers", ServersJson(parts, now)},
       {"vms", VmsJson(parts, now)}});
}

// Adds what is remembered of a flow. Returns its server's index.
ServerIndex ExplainKnown(const MarkAdminParts& parts, const MarkView& view,
                         const FlowKey& key, TimePoint now, json& answer) {
  const uint64_t fingerprint = Fingerprint(key, parts.hash_key);
  MarkedFlowTable::Shard& shard = parts.flows.ShardOf(fingerprint);
  absl::MutexLock lock(&shard.mutex);
  const MarkedFlow* flow = FindMarkedFlow(shard.map, fingerprint);
  answer["known_here"] = flow != nullptr;
  if (flow == nullptr) return kNoServerIndex;
  answer["reason"] = std::string(ResultCodeName(flow->origin.reason));
  answer["code"] = static_cast<int>(flow->origin.reason);
  answer["facts_revision"] = flow->origin.revision;
  answer["facts_age_ms"] = flow->origin.facts_age.count();
  answer["last_packet_ms_ago"] = (now - flow->last_seen).count();
  answer["waiting"] = flow->waiting_since != TimePoint::max();
  return ServerOfMark(view, flow->mark);
}

HttpAnswer AnswerExplain(const MarkAdminParts& parts,
                         const HttpRequest& request) {
  auto key = FlowOfQuery(request);
  if (!key.has_value()) {
    return ErrorAnswer(kBadRequest,
                       "give from=ADDRESS:PORT and to=ADDRESS:PORT");
  }
  // Flows with marks carry no protocol number.
  key->protocol = 0;
  const MarkViewPtr view = parts.view.view();
  if (view == nullptr) {
    return ErrorAnswer(kNotFound, "this VM has no facts yet");
  }
  const TimePoint now = Now();
  const auto route = view->routes->targets.find(
      {.address = key->destination, .port = key->destination_port});
  json answer = {{"route", route != view->routes->targets.end()},
                 {"revision", view->as_of},
                 {"facts_confirmed_ms_ago", AgeMs(parts, now)}};
  ServerIndex server = ExplainKnown(parts, *view, *key, now, answer);
  if (server >= view->servers.size()) {
    // What its SYN would meet now.
    const MarkDecision decision =
        DecideMarkedPacket(*view, {.key = *key, .syn = true}, nullptr,
                           Fingerprint(*key, parts.hash_key), now);
    answer["new_flow_would_be"] = std::string(ResultCodeName(decision.reason));
    server = decision.server;
  }
  if (server < view->servers.size()) {
    answer["server"] = ServerJson(view->servers[server], now);
  }
  return JsonAnswer(answer);
}

void AddServerGauges(const MarkAdminParts& parts, std::vector<Gauge>& gauges) {
  const MarkViewPtr view = parts.view.view();
  if (view == nullptr) return;
  std::map<std::string, int> states;
  for (const ServerTarget& server : view->servers) ++states[StateOf(server)];
  for (const auto& [state, count] : states) {
    gauges.push_back({"knapweedlift_servers",
                      absl::StrCat("state=\"", state, "\""),
                      static_cast<double>(count)});
  }
  double flows = 0;
  double waiting = 0;
  for (const auto& [mark, traffic] : parts.flows.Traffic()) {
    flows += traffic.flows;
    waiting += traffic.waiting;
  }
  gauges.push_back({"knapweedlift_flows", "", flows});
  gauges.push_back({"knapweedlift_callers_waiting", "", waiting});
}

HttpAnswer AnswerMetrics(const MarkAdminParts& parts) {
  const TimePoint now = Now();
  const FleetState& fleet = parts.messenger.state();
  const auto number = [](auto value) { return static_cast<double>(value); };
  std::vector<Gauge> gauges = {
      {"knapweedlift_revision", "", number(parts.registry.as_of)},
      {"knapweedlift_config_version", "",
       number(parts.registry.limits.limits.version)},
      {"knapweedlift_facts_age_milliseconds", "", number(AgeMs(parts, now))},
      {"knapweedlift_watching", "", fleet.watching ? 1.0 : 0.0},
      {"knapweedlift_platform_calls_total", "",
       number(parts.watcher.call_count())},
      {"knapweedlift_checks_total", "", number(parts.health.check_count())},
      {"knapweedlift_views_made_total", "", number(parts.views_made)},
      {"knapweedlift_domain_peers", "", number(LivePeers(fleet, now))},
      {"knapweedlift_vms", "", number(fleet.members.size())},
      {"knapweedlift_control_sent_bytes_total", "",
       number(parts.messenger.sent_bytes())},
      {"knapweedlift_control_received_bytes_total", "",
       number(parts.messenger.received_bytes())},
      {"knapweedlift_bad_peer_messages_total", "",
       number(parts.messenger.bad_messages())},
  };
  for (const auto& [kind, count] : parts.lines_left_out) {
    gauges.push_back({"knapweedlift_log_lines_left_out_total",
                      absl::StrCat("kind=\"", kind, "\""), number(count)});
  }
  AddServerGauges(parts, gauges);
  const auto labels = [&parts](ServiceNumber service) {
    const bool known = service < parts.memory.services.size();
    return absl::StrCat("service=\"",
                        known ? parts.memory.services[service] : "", "\"");
  };
  std::string text = PrometheusText(parts.forwarder.metrics(), labels, gauges);
  parts.watcher.call_ms().AppendPrometheus(
      "knapweedlift_platform_call_milliseconds", "", text);
  parts.fact_to_force_ms.AppendPrometheus(
      "knapweedlift_fact_to_force_milliseconds", "", text);
  return MetricsAnswer(std::move(text));
}

}  // namespace

HttpAnswer AnswerMarkAdmin(const MarkAdminParts& parts,
                           const HttpRequest& request) {
  const std::string path = PathOf(request.target);
  if (path == "/metrics") return AnswerMetrics(parts);
  if (path == "/v1/status") return AnswerStatus(parts);
  if (path == "/v1/explain") return AnswerExplain(parts, request);
  return ErrorAnswer(kNotFound, "ask /metrics, /v1/status or /v1/explain");
}

}  // namespace knapweedlift
