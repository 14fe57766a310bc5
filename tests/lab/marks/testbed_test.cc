#include "lab/marks/testbed.h"

#include "platform/names.h"
#include "tests/lab/marks/deployment.h"

using namespace knapweedlift;
using namespace knapweedlift::lab;
using namespace knapweedlift::testing;

Test(marks_testbed, a_calm_day_loses_nothing, .timeout = 120) {
  Deployment deployment;
  deployment.StartClients();
  deployment.testbed.Run(Duration(1'000));
  const ClientTotals sum = deployment.Finish();
  cr_expect(sum.reset_flows == 0);
  cr_expect(sum.timeouts == 0);
  cr_expect(sum.refused_flows == 0);
}

Test(marks_testbed, flows_outlive_planned_changes, .timeout = 120) {
  Deployment deployment;
  deployment.StartClients();
  deployment.testbed.AddServer("atelier", "coimbra-a");
  deployment.testbed.Drain(deployment.servers[1]);
  deployment.testbed.Run(Duration(1'000));
  deployment.vms[2]->Stop();
  deployment.testbed.Run(Duration(3'500));
  const ClientTotals sum = deployment.Finish();
  cr_expect(sum.reset_flows == 0);
  cr_expect(sum.timeouts == 0);
}

Test(marks_testbed, flows_outlive_the_whole_fleet, .timeout = 120) {
  Deployment deployment;
  deployment.StartClients();
  for (auto& [index, vm] : deployment.vms) vm->Kill();
  deployment.vms.clear();
  for (size_t i = 0; i < deployment.plan.vms.size(); ++i) {
    deployment.StartVm(i);
  }
  const uint64_t before = deployment.testbed.SumTotals().responses;
  cr_expect(deployment.testbed.RunUntil(
      [&] { return deployment.testbed.SumTotals().responses > before + 100; },
      kTimeout));
  const ClientTotals sum = deployment.Finish();
  cr_expect(sum.reset_flows == 0, "their marks name their servers");
}

Test(marks_testbed, only_flows_of_a_silent_server_end, .timeout = 120) {
  Deployment deployment;
  deployment.StartClients();
  const size_t server_flow_count =
      deployment.testbed.FlowCount(deployment.servers[0]);
  cr_assert(server_flow_count > 0);
  deployment.testbed.Crash(deployment.servers[0]);
  const uint64_t before = deployment.testbed.SumTotals().responses;
  cr_expect(deployment.testbed.RunUntil(
                [&] { return deployment.testbed.SumTotals().reset_flows > 0; },
                kTimeout),
            "callers are told");
  cr_expect(deployment.testbed.RunUntil(
      [&] { return deployment.testbed.SumTotals().responses > before + 200; },
      kTimeout));
  const ClientTotals sum = deployment.Finish();
  // A flow may open after the count and before the server falls silent.
  cr_expect(sum.reset_flows + sum.timeouts <= server_flow_count + 5,
            "%lu of %zu", sum.reset_flows, server_flow_count);
}

// Found on the bench: entries had expired while the store was down, so that
// servers that crashed then were never checked.
Test(marks_testbed, flows_of_an_unlisted_server_that_falls_silent_end,
     .timeout = 120) {
  Deployment deployment;
  deployment.StartClients();
  cr_assert(deployment.testbed.FlowCount(deployment.servers[0]) > 0);
  deployment.testbed.Deregister(deployment.servers[0]);
  deployment.testbed.Run(Duration(1'000));
  cr_expect(deployment.testbed.SumTotals().reset_flows == 0,
            "it serves its flows on");
  deployment.testbed.Crash(deployment.servers[0]);
  const auto ended = [&] {
    const ClientTotals sum = deployment.testbed.SumTotals();
    return sum.reset_flows + sum.timeouts > 0;
  };
  cr_assert(deployment.testbed.RunUntil(ended, kTimeout));
  cr_expect(deployment.testbed.SumTotals().timeouts == 0,
            "callers are told in time");
  deployment.Finish();
}

// Found on the bench: entries expire while the store is down and come back one
// by one; until then all new flows went to the first one, or were refused.
Test(marks_testbed, servers_whose_entries_expired_in_an_outage_are_used_on,
     .timeout = 120) {
  Deployment deployment;
  deployment.StartClients();
  deployment.testbed.store().SetMode(0, StoreMode::kUnavailable);
  deployment.testbed.Run(2 * kMinOutage);
  for (const std::string& server : deployment.servers) {
    deployment.testbed.Deregister(server);
  }
  const uint64_t revision = deployment.testbed.store().revision();
  deployment.testbed.store().SetMode(0, StoreMode::kServe);
  cr_assert(deployment.testbed.RunUntil(
      [&] { return deployment.AllReport("revision", revision); }, kTimeout));
  const uint64_t before = deployment.testbed.SumTotals().responses;
  cr_assert(deployment.testbed.RunUntil(
      [&] { return deployment.testbed.SumTotals().responses > before + 200; },
      kTimeout));
  cr_expect(deployment.testbed.SumTotals().refused_flows == 0);
  deployment.Finish();
}

Test(marks_testbed, a_vm_that_the_store_refuses_follows_the_others,
     .timeout = 120) {
  for (const StoreMode mode :
       {StoreMode::kUnavailable, StoreMode::kTooManyRequests,
        StoreMode::kUnresponsive, StoreMode::kResponseLost}) {
    Deployment deployment(3);
    // VM 3 has a door of its own.
    const Endpoint listener = deployment.testbed.store().AddListener();
    deployment.vms[2].reset();
    deployment.vms[2] =
        std::make_unique<RunningVm>(deployment.plan, 2, listener);
    cr_assert(deployment.testbed.RunUntil(
        [&] { return deployment.vms[2]->Status()["phase"] == "serving"; },
        kTimeout));
    deployment.testbed.store().SetMode(1, mode);
    deployment.testbed.PutConfig(2);
    cr_expect(deployment.testbed.RunUntil(
        [&] { return deployment.AllReport("config_version", 2); }, kTimeout));
  }
}

// Found at 136 VMs: 300 messages a second named servers that were suspects
// already, and each cost a view.
Test(marks_testbed, a_suspicion_that_is_known_costs_no_view, .timeout = 120) {
  Deployment deployment(1);
  const RunningVm& vm = *deployment.vms[0];
  SendAsPeer(vm.control(), PeerGossip());
  cr_assert(deployment.testbed.RunUntil(
      [&] { return vm.Status()["vms"].size() > 1; }, kTimeout));
  const Mark mark = vm.Status()["servers"][0]["mark"].get<Mark>();
  const auto received = [&] {
    return vm.Status()["control_received_bytes"].get<uint64_t>();
  };
  const auto views = [&] { return vm.Status()["views_made"].get<uint64_t>(); };
  const auto publish_delay_count = [&] {
    const std::string metrics = vm.Get("/metrics");
    const size_t at =
        metrics.find("knapweedlift_fact_to_force_milliseconds_count");
    return metrics.substr(at, metrics.find('\n', at) - at);
  };
  const uint64_t before = views();
  const std::string facts_before = publish_delay_count();
  constexpr size_t kNotices = 200;
  const uint64_t received_before = received();
  for (size_t i = 0; i < kNotices; ++i) {
    SendAsPeer(vm.control(), SuspicionNotice{.root = 99, .marks = {mark}});
  }
  cr_assert(deployment.testbed.RunUntil(
      [&] { return received() > received_before + kNotices; }, kTimeout));
  // It becomes a suspect, and may stop being one before the last notice.
  cr_expect(views() <= before + kNotices / 20, "%lu views", views() - before);
  cr_expect(views() > before, "it is a suspect now");
  cr_expect(publish_delay_count() == facts_before,
            "which is no fact of the platform");
}

// Found in inc-1008: a VM that was restarted beyond a cut refused every flow.
Test(marks_testbed, a_vm_without_facts_serves_nothing, .timeout = 120) {
  const MarksPlan plan = PlanMarks(1);
  MarksTestbed testbed(plan);
  testbed.store().SetMode(0, StoreMode::kUnavailable);
  const RunningVm vm(plan, 0, testbed.platform());
  SendAsPeer(vm.control(), PeerGossip());
  cr_assert(testbed.RunUntil([&] { return vm.Status()["vms"].size() > 0; },
                             kTimeout));
  SendAsPeer(vm.control(), SuspicionNotice{.root = 99, .marks = {5}});
  const auto received = [&] {
    return vm.Status()["control_received_bytes"].get<uint64_t>();
  };
  const uint64_t before = received();
  SendAsPeer(vm.control(), PeerGossip());
  cr_assert(testbed.RunUntil([&] { return received() > before; }, kTimeout));
  cr_expect(vm.Status()["phase"] != "serving");
  cr_expect(testbed.ready_vms() == 0);
  testbed.PutConfig(1);
  testbed.store().SetMode(0, StoreMode::kServe);
  cr_expect(
      testbed.RunUntil([&] { return testbed.ready_vms() == 1; }, kTimeout));
}

Test(marks_testbed, a_watcher_that_the_store_ignores_is_replaced,
     .timeout = 120) {
  Deployment deployment(3);
  const Endpoint listener = deployment.testbed.store().AddListener();
  // The oldest VM watches; it gets a door of its own, which falls silent.
  for (size_t i = 0; i < 3; ++i) deployment.vms[i].reset();
  deployment.vms[0] = std::make_unique<RunningVm>(deployment.plan, 0, listener);
  cr_assert(deployment.testbed.RunUntil(
      [&] { return deployment.vms[0]->Status()["watching"] == true; },
      kTimeout));
  deployment.StartVm(1);
  deployment.StartVm(2);
  cr_assert(deployment.testbed.RunUntil(
      [&] { return deployment.AllReport("phase", "serving"); }, kTimeout));
  deployment.testbed.store().SetMode(1, StoreMode::kUnresponsive);
  deployment.testbed.PutConfig(2);
  cr_expect(deployment.testbed.RunUntil(
      [&] { return deployment.AllReport("config_version", 2); }, kTimeout));
}

Test(marks_testbed, many_routes_at_once_are_in_force_everywhere,
     .timeout = 120) {
  Deployment deployment;
  deployment.testbed.PutConfig(2, 500);
  cr_expect(deployment.testbed.RunUntil(
      [&] { return deployment.AllReport("routes", 502); }, kTimeout));
  deployment.testbed.PutConfig(3, 10);
  deployment.testbed.PutConfig(4);
  cr_expect(deployment.testbed.RunUntil(
      [&] { return deployment.AllReport("routes", 2); }, kTimeout));
}

Test(marks_testbed, a_store_that_forgot_its_history_is_read_anew,
     .timeout = 120) {
  Deployment deployment(3);
  deployment.testbed.store().SetMode(0, StoreMode::kUnavailable);
  deployment.testbed.Run(Duration(300));
  deployment.testbed.PutConfig(2);
  deployment.testbed.Deregister(deployment.servers[0]);
  deployment.testbed.store().CompactHistory();
  deployment.testbed.store().SetMode(0, StoreMode::kServe);
  cr_expect(deployment.testbed.RunUntil(
      [&] { return deployment.AllReport("config_version", 2); }, kTimeout));
  const json status = deployment.vms[0]->Status();
  for (const json& server : status["servers"]) {
    if (server["name"] == deployment.servers[0]) {
      cr_expect(server["state"] == "gone");
    }
  }
}

Test(marks_testbed, entries_of_other_writers_change_nothing, .timeout = 120) {
  Deployment deployment(3);
  deployment.testbed.store().Put(
      std::string(platform::names::kServersPrefix) + "i-ff", "{\"state\": 7}");
  deployment.testbed.store().Put("someone/else", "\xff\xfe");
  deployment.testbed.PutConfig(2);
  cr_expect(deployment.testbed.RunUntil(
      [&] { return deployment.AllReport("config_version", 2); }, kTimeout));
  cr_expect(deployment.vms[0]->Status()["servers"].size() == 6);
}

Test(marks_testbed, one_vm_calls_the_store_for_all, .timeout = 120) {
  Deployment deployment;
  deployment.testbed.Run(Duration(3'000));
  int watchers = 0;
  for (const auto& [index, vm] : deployment.vms) {
    watchers += vm->Status()["watching"] == true ? 1 : 0;
  }
  cr_expect(watchers == 1);
}

Test(marks_testbed, the_operators_endpoint_explains_a_flow, .timeout = 120) {
  Deployment deployment(3);
  deployment.StartClients();
  bool known = false;
  for (const auto& [index, vm] : deployment.vms) {
    // Callers of domain 1 use ports from 1024 on.
    const json response = json::parse(
        vm->Get("/v1/explain?from=127.4.0.1:1024&to=198.18.0.1:8443"));
    cr_expect(response["route"] == true);
    if (response["known_here"] != true) continue;
    known = true;
    cr_expect(response["reason"] == "forwarded_placed");
    cr_expect(response["server"]["service"] == "atelier");
    cr_expect(response["facts_revision"].get<uint64_t>() > 0);
    const std::string metrics = vm->Get("/metrics");
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
  const json bad = json::parse(deployment.vms[0]->Get("/v1/explain?from=x"));
  cr_expect(bad.contains("error"));
}

Test(marks_testbed, packets_waits_in_their_batches_are_measured,
     .timeout = 120) {
  Deployment deployment(1);
  deployment.StartClients();
  const std::string name =
      "knapweedlift_packet_queue_nanoseconds_count{service=\"atelier\"} ";
  const auto count = [&]() -> double {
    const std::string metrics = deployment.vms[0]->Get("/metrics");
    const size_t at = metrics.find(name);
    return at == std::string::npos
               ? 0
               : std::stod(metrics.substr(at + name.size()));
  };
  cr_expect(deployment.testbed.RunUntil([&] { return count() > 0; }, kTimeout));
  deployment.Finish();
}
