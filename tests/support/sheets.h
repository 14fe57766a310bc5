#ifndef KNAPWEEDLIFT_TESTS_SUPPORT_SHEETS_H_
#define KNAPWEEDLIFT_TESTS_SUPPORT_SHEETS_H_

#include <nlohmann/json.hpp>
#include <string>

// Returns a valid sheet with one service, TCP by default, of `servers` backend
// servers. Tests modify single fields of it.
inline nlohmann::json SheetJson(uint64_t revision, int servers,
                                const std::string& protocol = "tcp") {
  nlohmann::json list = nlohmann::json::array();
  for (int i = 1; i <= servers; ++i) {
    list.push_back({{"number", i},
                    {"address", "10.1.0." + std::to_string(i)},
                    {"domain", "a"},
                    {"slots", 2},
                    {"state", "active"}});
  }
  return {{"format", 1},
          {"revision", revision},
          {"failure_domains", {"a", "b"}},
          {"services",
           {{{"number", 1},
             {"name", "atelier"},
             {"tenant", "mondego"},
             {"address", "10.0.0.1"},
             {"port", 443},
             {"protocol", protocol},
             {"vni", 101},
             {"buckets", 1024},
             {"servers", list}}}}};
}

#endif  // KNAPWEEDLIFT_TESTS_SUPPORT_SHEETS_H_
