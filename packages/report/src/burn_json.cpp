#include "filbertspring/report/burn_render.h"

#include "cause_json.h"

namespace filbertspring {
namespace {

using Json = nlohmann::ordered_json;

std::string windowName(std::size_t Index) {
  return std::string(BurnWindowNames[Index].Name_);
}

Json windowsToJson(const ServiceBurn &Burn) {
  Json Array = Json::array();
  for (std::size_t Index = 0; Index < BurnWindowCount; ++Index) {
    const WindowBurn &Window = Burn.Windows_[Index];
    Array.push_back({{"window", windowName(Index)},
                     {"good", Window.Good_},
                     {"bad", Window.Bad_},
                     {"burn_rate", Window.BurnRate_}});
  }
  return Array;
}

Json sourcesToJson(const ServiceBurn &Burn) {
  Json Array = Json::array();
  for (const BurnSource &Source : Burn.Sources_)
    Array.push_back(
        {{"zone", Source.Zone_.str()},
         {"cause", std::string(nameOf(BurnCauseNames, Source.Cause_))},
         {"bad", Source.Bad_}});
  return Array;
}

Json stepsToJson(const ServiceBurn &Burn) {
  Json Array = Json::array();
  for (const BurnStep &Step : Burn.Steps_)
    Array.push_back({{"good", Step.Good_},
                     {"bad", report_detail::causesToJson(Step.Bad_)}});
  return Array;
}

Json serviceToJson(const ServiceBurn &Burn) {
  Json Object;
  Object["contract"] = Burn.Contract_.str();
  Object["service"] = Burn.Service_.str();
  Object["objective"] = Burn.Objective_;
  Object["latency_target_us"] = Burn.LatencyTarget_.count();
  Object["fast_burn"] = Burn.FastBurn_;
  Object["slow_burn"] = Burn.SlowBurn_;
  Object["budget_requests"] = Burn.BudgetRequests_;
  Object["budget_left"] = Burn.BudgetLeft_;
  Object["windows"] = windowsToJson(Burn);
  Object["sources"] = sourcesToJson(Burn);
  Object["steps"] = stepsToJson(Burn);
  return Object;
}

Json coverageToJson(const BurnReport &Report) {
  Json Array = Json::array();
  for (std::size_t Index = 0; Index < BurnWindowCount; ++Index) {
    const WindowCoverage &Window = Report.Coverage_[Index];
    Array.push_back({{"window", windowName(Index)},
                     {"minutes", Window.Minutes_},
                     {"unobserved_minutes", Window.UnobservedMinutes_},
                     {"partial_minutes", Window.PartialMinutes_},
                     {"instances", Window.Instances_}});
  }
  return Array;
}

} // namespace

std::string renderBurnJson(const BurnReport &Report) {
  Json Document;
  Document["now_ms"] = Report.NowMs_;
  Document["coverage"] = coverageToJson(Report);
  Document["timeline"] = {
      {"first_minute", Report.Timeline_.FirstMinute_},
      {"minutes_per_step", Report.Timeline_.MinutesPerStep_},
      {"observed_minutes", Report.Timeline_.ObservedMinutes_}};
  Document["services"] = Json::array();
  for (const ServiceBurn &Burn : Report.Services_)
    Document["services"].push_back(serviceToJson(Burn));
  Document["in_no_contract"] = Json::array();
  for (const UnknownServiceCounts &Counts : Report.UnknownServices_)
    Document["in_no_contract"].push_back({{"contract", Counts.Contract_.str()},
                                          {"service", Counts.Service_.str()},
                                          {"good", Counts.Good_},
                                          {"bad", Counts.Bad_}});
  return report_detail::dumpJson(Document, 2) + "\n";
}

} // namespace filbertspring
