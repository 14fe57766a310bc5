#include "lab/marks/world.h"

#include "platform/names.h"
#include "tests/lab/marks/deployment.h"

using namespace knapweedlift;
using namespace knapweedlift::lab;
using namespace knapweedlift::testing;

Test(marks_world, a_calm_day_loses_nothing, .timeout = 120) {
  Deployment deployment;
  deployment.StartCallers();
  deployment.world.Run(Duration(1'000));
  const ClientTotals sum = deployment.Finish();
  cr_expect(sum.reset_flows == 0);
  cr_expect(sum.timeouts == 0);
  cr_expect(sum.refused_flows == 0);
}

Test(marks_world, flows_outlive_planned_changes, .timeout = 120) {
  Deployment deployment;
  deployment.StartCallers();
  deployment.world.AddServer("atelier", "coimbra-a");
  deployment.world.Drain(deployment.servers[1]);
  deployment.world.Run(Duration(1'000));
  deployment.vms[2]->Stop();
  deployment.world.Run(Duration(3'500));
  const ClientTotals sum = deployment.Finish();
  cr_expect(sum.reset_flows == 0);
  cr_expect(sum.timeouts == 0);
}

Test(marks_world, flows_outlive_the_whole_fleet, .timeout = 120) {
  Deployment deployment;
  deployment.StartCallers();
  for (auto& [index, vm] : deployment.vms) vm->Kill();
  deployment.vms.clear();
  for (size_t i = 0; i < deployment.plan.vms.size(); ++i) {
    deployment.StartVm(i);
  }
  const uint64_t before = deployment.world.Sum().responses;
  cr_expect(deployment.world.RunUntil(
      [&] { return deployment.world.Sum().responses > before + 100; },
      kPatience));
  const ClientTotals sum = deployment.Finish();
  cr_expect(sum.reset_flows == 0, "their marks name their servers");
}

Test(marks_world, only_flows_of_a_silent_server_end, .timeout = 120) {
  Deployment deployment;
  deployment.StartCallers();
  const size_t its_flows = deployment.world.FlowsOf(deployment.servers[0]);
  cr_assert(its_flows > 0);
  deployment.world.Darken(deployment.servers[0]);
  const uint64_t before = deployment.world.Sum().responses;
  cr_expect(
      deployment.world.RunUntil(
          [&] { return deployment.world.Sum().reset_flows > 0; }, kPatience),
      "callers are told");
  cr_expect(deployment.world.RunUntil(
      [&] { return deployment.world.Sum().responses > before + 200; },
      kPatience));
  const ClientTotals sum = deployment.Finish();
  // A flow may open after the count and before the server falls silent.
  cr_expect(sum.reset_flows + sum.timeouts <= its_flows + 5, "%lu of %zu",
            sum.reset_flows, its_flows);
}

// Found on the bench: entries had expired while the store was down, so that
// servers that crashed then were never checked.
Test(marks_world, flows_of_an_unlisted_server_that_falls_silent_end,
     .timeout = 120) {
  Deployment deployment;
  deployment.StartCallers();
  cr_assert(deployment.world.FlowsOf(deployment.servers[0]) > 0);
  deployment.world.Unlist(deployment.servers[0]);
  deployment.world.Run(Duration(1'000));
  cr_expect(deployment.world.Sum().reset_flows == 0, "it serves its flows on");
  deployment.world.Darken(deployment.servers[0]);
  const auto ended = [&] {
    const ClientTotals sum = deployment.world.Sum();
    return sum.reset_flows + sum.timeouts > 0;
  };
  cr_assert(deployment.world.RunUntil(ended, kPatience));
  cr_expect(deployment.world.Sum().timeouts == 0, "callers are told in time");
  deployment.Finish();
}

// Found on the bench: entries expire while the store is down and come back one
// by one; until then all new flows went to the first one, or were refused.
Test(marks_world, servers_whose_entries_expired_in_an_outage_are_used_on,
     .timeout = 120) {
  Deployment deployment;
  deployment.StartCallers();
  deployment.world.store().SetMode(0, StoreMode::kUnavailable);
  deployment.world.Run(2 * kShortestOutage);
  for (const std::string& server : deployment.servers) {
    deployment.world.Unlist(server);
  }
  const uint64_t revision = deployment.world.store().revision();
  deployment.world.store().SetMode(0, StoreMode::kServe);
  cr_assert(deployment.world.RunUntil(
      [&] { return deployment.AllSay("revision", revision); }, kPatience));
  const uint64_t before = deployment.world.Sum().responses;
  cr_assert(deployment.world.RunUntil(
      [&] { return deployment.world.Sum().responses > before + 200; },
      kPatience));
  cr_expect(deployment.world.Sum().refused_flows == 0);
  deployment.Finish();
}

Test(marks_world, a_vm_that_the_store_refuses_follows_the_others,
     .timeout = 120) {
  for (const StoreMode mode :
       {StoreMode::kUnavailable, StoreMode::kTooManyRequests,
        StoreMode::kUnresponsive, StoreMode::kResponseLost}) {
    Deployment deployment(3);
    // VM 3 has a door of its own.
    const Endpoint door = deployment.world.store().AddListener();
    deployment.vms[2].reset();
    deployment.vms[2] = std::make_unique<RunningVm>(deployment.plan, 2, door);
    cr_assert(deployment.world.RunUntil(
        [&] { return deployment.vms[2]->Status()["phase"] == "serving"; },
        kPatience));
    deployment.world.store().SetMode(1, mode);
    deployment.world.PutConfig(2);
    cr_expect(deployment.world.RunUntil(
        [&] { return deployment.AllSay("config_version", 2); }, kPatience));
  }
}

// Found at 136 VMs: 300 messages a second named servers that were suspects
// already, and each cost a view.
Test(marks_world, a_suspicion_that_is_known_costs_no_view, .timeout = 120) {
  Deployment deployment(1);
  const RunningVm& vm = *deployment.vms[0];
  SendAsPeer(vm.control(), PeerGossip());
  cr_assert(deployment.world.RunUntil(
      [&] { return vm.Status()["vms"].size() > 1; }, kPatience));
  const Mark mark = vm.Status()["servers"][0]["mark"].get<Mark>();
  const auto received = [&] {
    return vm.Status()["control_received_bytes"].get<uint64_t>();
  };
  const auto views = [&] { return vm.Status()["views_made"].get<uint64_t>(); };
  const auto facts_line = [&] {
    const std::string metrics = vm.Ask("/metrics");
    const size_t at =
        metrics.find("knapweedlift_fact_to_force_milliseconds_count");
    return metrics.substr(at, metrics.find('\n', at) - at);
  };
  const uint64_t before = views();
  const std::string facts_before = facts_line();
  constexpr size_t kNotices = 200;
  const uint64_t received_before = received();
  for (size_t i = 0; i < kNotices; ++i) {
    SendAsPeer(vm.control(), SuspicionNotice{.root = 99, .marks = {mark}});
  }
  cr_assert(deployment.world.RunUntil(
      [&] { return received() > received_before + kNotices; }, kPatience));
  // It becomes a suspect, and may stop being one before the last notice.
  cr_expect(views() <= before + kNotices / 20, "%lu views", views() - before);
  cr_expect(views() > before, "it is a suspect now");
  cr_expect(facts_line() == facts_before, "which is no fact of the platform");
}

// Found in inc-1008: a VM that was restarted beyond a cut refused every flow.
Test(marks_world, a_vm_without_facts_serves_nothing, .timeout = 120) {
  const MarksPlan plan = PlanMarks(1);
  MarksWorld world(plan);
  world.store().SetMode(0, StoreMode::kUnavailable);
  const RunningVm vm(plan, 0, world.platform());
  SendAsPeer(vm.control(), PeerGossip());
  cr_assert(
      world.RunUntil([&] { return vm.Status()["vms"].size() > 0; }, kPatience));
  SendAsPeer(vm.control(), SuspicionNotice{.root = 99, .marks = {5}});
  const auto received = [&] {
    return vm.Status()["control_received_bytes"].get<uint64_t>();
  };
  const uint64_t before = received();
  SendAsPeer(vm.control(), PeerGossip());
  cr_assert(world.RunUntil([&] { return received() > before; }, kPatience));
  cr_expect(vm.Status()["phase"] != "serving");
  cr_expect(world.ready_vms() == 0);
  world.PutConfig(1);
  world.store().SetMode(0, StoreMode::kServe);
  cr_expect(world.RunUntil([&] { return world.ready_vms() == 1; }, kPatience));
}

Test(marks_world, a_watcher_that_the_store_ignores_is_replaced,
     .timeout = 120) {
  Deployment deployment(3);
  const Endpoint door = deployment.world.store().AddListener();
  // The oldest VM watches; it gets a door of its own, which falls silent.
  for (size_t i = 0; i < 3; ++i) deployment.vms[i].reset();
  deployment.vms[0] = std::make_unique<RunningVm>(deployment.plan, 0, door);
  cr_assert(deployment.world.RunUntil(
      [&] { return deployment.vms[0]->Status()["watching"] == true; },
      kPatience));
  deployment.StartVm(1);
  deployment.StartVm(2);
  cr_assert(deployment.world.RunUntil(
      [&] { return deployment.AllSay("phase", "serving"); }, kPatience));
  deployment.world.store().SetMode(1, StoreMode::kUnresponsive);
  deployment.world.PutConfig(2);
  cr_expect(deployment.world.RunUntil(
      [&] { return deployment.AllSay("config_version", 2); }, kPatience));
}

Test(marks_world, many_routes_at_once_are_in_force_everywhere, .timeout = 120) {
  Deployment deployment;
  deployment.world.PutConfig(2, 500);
  cr_expect(deployment.world.RunUntil(
      [&] { return deployment.AllSay("routes", 502); }, kPatience));
  deployment.world.PutConfig(3, 10);
  deployment.world.PutConfig(4);
  cr_expect(deployment.world.RunUntil(
      [&] { return deployment.AllSay("routes", 2); }, kPatience));
}

Test(marks_world, a_store_that_forgot_its_history_is_read_anew,
     .timeout = 120) {
  Deployment deployment(3);
  deployment.world.store().SetMode(0, StoreMode::kUnavailable);
  deployment.world.Run(Duration(300));
  deployment.world.PutConfig(2);
  deployment.world.Unlist(deployment.servers[0]);
  deployment.world.store().CompactHistory();
  deployment.world.store().SetMode(0, StoreMode::kServe);
  cr_expect(deployment.world.RunUntil(
      [&] { return deployment.AllSay("config_version", 2); }, kPatience));
  const json status = deployment.vms[0]->Status();
  for (const json& server : status["servers"]) {
    if (server["name"] == deployment.servers[0]) {
      cr_expect(server["state"] == "gone");
    }
  }
}

Test(marks_world, entries_of_other_writers_change_nothing, .timeout = 120) {
  Deployment deployment(3);
  deployment.world.store().Put(
      std::string(platform::names::kServersPrefix) + "i-ff", "{\"state\": 7}");
  deployment.world.store().Put("someone/else", "\xff\xfe");
  deployment.world.PutConfig(2);
  cr_expect(deployment.world.RunUntil(
      [&] { return deployment.AllSay("config_version", 2); }, kPatience));
  cr_expect(deployment.vms[0]->Status()["servers"].size() == 6);
}

Test(marks_world, one_vm_calls_the_store_for_all, .timeout = 120) {
  Deployment deployment;
  deployment.world.Run(Duration(3'000));
  int watchers = 0;
  for (const auto& [index, vm] : deployment.vms) {
    watchers += vm->Status()["watching"] == true ? 1 : 0;
  }
  cr_expect(watchers == 1);
}

Test(marks_world, the_operators_endpoint_explains_a_flow, .timeout = 120) {
  Deployment deployment(3);
  deployment.StartCallers();
  bool known = false;
  for (const auto& [index, vm] : deployment.vms) {
    // Callers of domain 1 use ports from 1024 on.
    const json answer = json::parse(
        vm->Ask("/v1/explain?from=127.4.0.1:1024&to=198.18.0.1:8443"));
    cr_expect(answer["route"] == true);
    if (answer["known_here"] != true) continue;
    known = true;
    cr_expect(answer["reason"] == "forwarded_placed");
    cr_expect(answer["server"]["service"] == "atelier");
    cr_expect(answer["facts_revision"].get<uint64_t>() > 0);
    const std::string metrics = vm->Ask("/metrics");
    cr_expect(metrics.find("knapweedlift_caller_wait_milliseconds_bucket{"
                           "service=\"atelier\"") != std::string::npos);
    for (const char* name :
         {"knapweedlift_placement_facts_age_milliseconds_bucket{service=",
          "knapweedlift_fact_to_force_milliseconds_count",
          "knapweedlift_platform_call_milliseconds_count"}) {
      cr_expect(metrics.find(name) != std::string::npos, "%s", name);
    }
    cr_expect(metrics.find("knapweedlift_servers{state=\"ready\"} 6") !=
              std::string::npos);
  }
  cr_expect(known, "one VM has the flow");
  const json bad = json::parse(deployment.vms[0]->Ask("/v1/explain?from=x"));
  cr_expect(bad.contains("error"));
}

Test(marks_world, packets_waits_in_their_batches_are_measured, .timeout = 120) {
  Deployment deployment(1);
  deployment.StartCallers();
  const std::string name =
      "knapweedlift_packet_queue_nanoseconds_count{service=\"atelier\"} ";
  const auto count = [&]() -> double {
    const std::string metrics = deployment.vms[0]->Ask("/metrics");
    const size_t at = metrics.find(name);
    return at == std::string::npos
               ? 0
               : std::stod(metrics.substr(at + name.size()));
  };
  cr_expect(deployment.world.RunUntil([&] { return count() > 0; }, kPatience));
  deployment.Finish();
}
