#include "place_wait_simulation.h"

#include "filbertspring/base/overloaded.h"

#include <algorithm>
#include <cmath>
#include <ctime>
#include <deque>
#include <fmt/format.h>
#include <functional>
#include <map>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <utility>

namespace filbertspring::benchmark {
namespace {

using namespace std::chrono_literals;
using namespace scheduling;

constexpr Duration PlaceTick = 10ms;
constexpr Duration OneWay = 5ms;
constexpr Duration StoreTime = 60ms;
constexpr std::size_t MaxRows = 90;
constexpr double SlackFactor = 1.6;
constexpr Duration ObjectiveBase = 250ms;
constexpr int ValuelessFactor = 3;
/// Time for the jobs in progress at the end.
constexpr double DrainSeconds = 15;
constexpr std::uint32_t MaxTasks = 8;
constexpr std::int64_t MaxTaskCores = 4;
constexpr double SecondStepShare = 0.5;

double inSeconds(Duration Time) {
  return std::chrono::duration<double>(Time).count();
}

Duration fromSeconds(double Seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Seconds));
}

double processorSeconds() {
  timespec Time{};
  ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &Time);
  return static_cast<double>(Time.tv_sec) +
         static_cast<double>(Time.tv_nsec) / 1e9;
}

/// A job with the run times of its tasks near their data.
struct PlannedJob {
  AcceptedJob Accepted_;
  double At_ = 0;
  std::vector<std::vector<double>> Work_;
  bool IsHot_ = false;
  bool PrefersOneRack_ = false;
  bool NamesRack_ = false;
  Duration Objective_{};
};

/// Draws the jobs of \p Load before the run, so that they do not depend on the
/// policy.
class JobPlan {
public:
  JobPlan(const PlaceWaitLoad &Load, std::uint64_t Seed)
      : Load_(Load), Random_(Seed) {
    double MeanTasks = (1.0 + MaxTasks) / 2;
    double MeanCores = (1.0 + MaxTaskCores) / 2;
    double WorkPerJob =
        MeanTasks * MeanCores * Load.MeanSeconds_ * (1 + SecondStepShare);
    double Cores = Load.Racks_ * Load.WorkersPerRack_ *
                   static_cast<double>(Load.WorkerMilliCpu_) / 1000;
    double Rate = Load.Load_ * Cores / WorkPerJob;
    double At = 0;
    while ((At -= std::log(1 - draw()) / Rate) < Load.Seconds_)
      Jobs_.push_back(drawJob(At));
  }

  std::vector<PlannedJob> Jobs_;

private:
  double draw() {
    return std::uniform_real_distribution<double>(0, 1)(Random_);
  }

  PlannedJob drawJob(double At) {
    PlannedJob Job;
    Job.At_ = At;
    Job.Accepted_.Id_ = fmt::format("{:016x}", Jobs_.size() + 1);
    Job.Accepted_.Queue_ = "timed";
    Job.Accepted_.Service_ = "service";
    bool IsHotTime =
        std::fmod(At, Load_.HotPeriod_) >= Load_.HotPeriod_ - Load_.HotSeconds_;
    std::string Rack;
    double Kind = draw();
    double RackDraw = draw();
    if (IsHotTime && Kind < Load_.HotShare_) {
      Rack = "rack-0";
      Job.IsHot_ = true;
    } else if (draw() < Load_.NamingShare_) {
      Rack = fmt::format("rack-{}", static_cast<int>(RackDraw * Load_.Racks_));
    }
    Job.NamesRack_ = !Rack.empty();
    Job.PrefersOneRack_ = Rack.empty() && draw() < Load_.OneRackShare_;
    std::uint32_t Steps = draw() < SecondStepShare ? 2 : 1;
    double Critical = 0;
    for (std::uint32_t Step = 0; Step < Steps; ++Step) {
      StepSpec Spec;
      Spec.Count_ = 1 + static_cast<std::uint32_t>(draw() * MaxTasks);
      Spec.Request_ = {
          1000 * (1 + static_cast<std::int64_t>(draw() * MaxTaskCores)), 100,
          0};
      Spec.DataRack_ = Rack;
      Spec.PrefersOneRack_ = Job.PrefersOneRack_;
      Spec.Image_ = "image";
      if (Step > 0)
        Spec.DependsOn_ = {Step - 1};
      double Mean = Load_.MeanSeconds_ * (0.3 + 1.4 * draw());
      Spec.Estimate_ =
          fromSeconds(Mean * (1 + Load_.EstimateError_ * (2 * draw() - 1)));
      std::vector<double> Work;
      for (std::uint32_t Task = 0; Task < Spec.Count_; ++Task)
        Work.push_back(Mean * (0.8 + 0.4 * draw()));
      Critical += *std::max_element(Work.begin(), Work.end());
      Job.Work_.push_back(std::move(Work));
      Job.Accepted_.Spec_.Steps_.push_back(std::move(Spec));
    }
    Job.Objective_ = fromSeconds(SlackFactor * Critical) + ObjectiveBase;
    return Job;
  }

  const PlaceWaitLoad &Load_;
  std::mt19937_64 Random_;
};

struct PlaceWorker {
  struct ActiveTask {
    TaskName Name_;
    std::uint64_t Number_ = 0;
    TimePoint StartedAt_;
    double WorkLeft_ = 0;
    double Work_ = 0;
  };

  WorkerEntry Entry_;
  std::vector<ActiveTask> Tasks_;
  std::deque<EndedTask> Ends_;
  std::uint64_t NextEnd_ = 1;
  std::optional<TimePoint> AnswerAt_;
  RenewLease Renewal_;
};

class PlaceSimulation {
public:
  PlaceSimulation(const PlaceWaitLoad &Load, std::uint64_t Seed)
      : Load_(Load), Plan_(Load, Seed),
        Scheduler_(settings(Load), TimePoint(1000s)) {
    auto Queues = std::make_shared<QueueTable>();
    Queue Timed;
    Timed.Name_ = "timed";
    Timed.Service_ = "service";
    Timed.Attempts_ = 3;
    Timed.SlackFactor_ = SlackFactor;
    Timed.TargetLatency_ = ObjectiveBase;
    Queues->Queues_ = {Timed};
    Scheduler_.configure(Queues);
    for (int Index = 0; Index < Load.Racks_ * Load.WorkersPerRack_; ++Index) {
      PlaceWorker Added;
      Added.Entry_.Id_ = fmt::format("w{:04}", Index);
      Added.Entry_.Service_ = "service";
      Added.Entry_.Address_ = fmt::format("10.0.0.1:{}", 10'000 + Index);
      Added.Entry_.Zone_ = fmt::format("zone-{}", Index % 3);
      Added.Entry_.Capacity_ = {Load.WorkerMilliCpu_, 64'000, 0};
      Added.Entry_.Labels_ = {"kind",
                              fmt::format("rack-{}", Index % Load.Racks_)};
      Added.Entry_.StartedAtMs_ = 1;
      Scheduler_.workerRegistered(Added.Entry_, Now_);
      Workers_.emplace(Added.Entry_.Id_, std::move(Added));
    }
    for (std::size_t Index = 0; Index < Plan_.Jobs_.size(); ++Index)
      ById_[Plan_.Jobs_[Index].Accepted_.Id_] = Index;
    IsEnded_.resize(Plan_.Jobs_.size());
  }

  PlaceWaitResult run() {
    for (int Tick = 0; Tick < 200; ++Tick)
      step();
    Start_ = Now_;
    std::size_t Next = 0;
    while (inSeconds(Now_ - Start_) < Load_.Seconds_ + DrainSeconds) {
      for (; Next < Plan_.Jobs_.size() &&
             Plan_.Jobs_[Next].At_ <= inSeconds(Now_ - Start_);
           ++Next)
        Scheduler_.addJob(Plan_.Jobs_[Next].Accepted_, Now_);
      step();
    }
    for (std::size_t Index = 0; Index < Plan_.Jobs_.size(); ++Index)
      if (!IsEnded_[Index])
        noteJob(Plan_.Jobs_[Index]);
    Result_.Counts_ = Scheduler_.counts().PlaceWaits_;
    return Result_;
  }

private:
  static SchedulerSettings settings(const PlaceWaitLoad &Load) {
    SchedulerSettings Settings;
    Settings.FarFactor_ = Load.FarFactor_;
    Settings.PlaceWait_ = Load.Policy_;
    return Settings;
  }

  void after(Duration Delay, std::function<void()> Act) {
    Events_.push({Now_ + Delay, ++LastEvent_, std::move(Act)});
  }

  void step() {
    Now_ += PlaceTick;
    while (!Events_.empty() && Events_.top().At_ <= Now_) {
      auto Act = Events_.top().Act_;
      Events_.pop();
      Act();
    }
    for (auto &[Id, Each] : Workers_)
      advance(Each);
    Scheduler_.advance(Now_, Now_.time_since_epoch() / 1ms, Now_, true);
    if (!IsCommitting_)
      commit();
    for (const Action &Decided : Scheduler_.takeActions())
      execute(Decided);
    for (const LogRecord &Record : Scheduler_.takeLogRecords())
      if (Record.Event_ == LogEvent::JobFinished)
        noteFinished(Record.Fields_.front().second);
  }

  void commit() {
    double Before = processorSeconds();
    Scheduler_.place(Now_);
    Result_.PlaceSeconds_ += processorSeconds() - Before;
    if (!Scheduler_.hasWrites())
      return;
    IsCommitting_ = true;
    after(StoreTime, [this, Writes = Scheduler_.takeWrites(MaxRows)] {
      IsCommitting_ = false;
      Scheduler_.writesStored(Writes, Now_);
    });
  }

  void execute(const Action &Decided) {
    std::visit(Overloaded{
                   [this](const RenewLease &Renewal) {
                     after(OneWay, [this, Renewal] { renew(Renewal); });
                   },
                   [this](const StartTask &Start) {
                     after(OneWay, [this, Start] { start(Start); });
                   },
                   [](const auto &) {},
               },
               Decided);
  }

  void renew(const RenewLease &Renewal) {
    PlaceWorker &Each = Workers_.at(Renewal.Worker_);
    while (!Each.Ends_.empty() &&
           Each.Ends_.front().Number_ <= Renewal.Acknowledged_)
      Each.Ends_.pop_front();
    Each.AnswerAt_ = Now_ + Renewal.Wait_;
    Each.Renewal_ = Renewal;
  }

  const std::string &rackOf(const PlaceWorker &Each) const {
    return Each.Entry_.Labels_.back();
  }

  bool isSlow(const PlaceWorker &On, const TaskName &Name,
              const PlannedJob &Job) const {
    const StepSpec &Step = Job.Accepted_.Spec_.Steps_[Name.Step_];
    if (!Step.DataRack_.empty())
      return rackOf(On) != Step.DataRack_;
    if (!Step.PrefersOneRack_)
      return false;
    auto It = RacksOfStep_.find({Name.Job_, Name.Step_});
    return It != RacksOfStep_.end() && It->second.size() > 1;
  }

  void start(const StartTask &Start) {
    PlaceWorker &On = Workers_.at(Start.Worker_);
    const PlannedJob &Job = Plan_.Jobs_[ById_.at(Start.Name_.Job_)];
    const StepSpec &Step = Job.Accepted_.Spec_.Steps_[Start.Name_.Step_];
    double Work = Job.Work_[Start.Name_.Step_][Start.Name_.Index_];
    if (Step.PrefersOneRack_)
      RacksOfStep_[{Start.Name_.Job_, Start.Name_.Step_}].insert(rackOf(On));
    if (!Step.DataRack_.empty()) {
      ++Result_.NamingStarts_;
      Result_.FarStarts_ += rackOf(On) != Step.DataRack_ ? 1 : 0;
    }
    On.Tasks_.push_back({Start.Name_, Start.Run_, Now_, Work, Work});
    after(OneWay, [this, Start] {
      Scheduler_.startAnswered(Start.Worker_, Start.Name_, Start.Run_,
                               CallOutcome::Accepted, Now_);
    });
  }

  void advance(PlaceWorker &Each) {
    std::erase_if(Each.Tasks_, [&](PlaceWorker::ActiveTask &Active) {
      const PlannedJob &Job = Plan_.Jobs_[ById_.at(Active.Name_.Job_)];
      Active.WorkLeft_ -=
          inSeconds(PlaceTick) /
          (isSlow(Each, Active.Name_, Job) ? Load_.FarFactor_ : 1);
      if (Active.WorkLeft_ > 0)
        return false;
      Each.Ends_.push_back(
          {Each.NextEnd_++, Active.Name_, Active.Number_, EndReason::Done, ""});
      return true;
    });
    if (!Each.AnswerAt_ || (Each.Ends_.empty() && Now_ < *Each.AnswerAt_))
      return;
    Each.AnswerAt_.reset();
    scheduling::WorkerReport Report;
    Report.ClockMs_ = Now_.time_since_epoch() / 1ms;
    Report.StartedAtMs_ = 1;
    Report.EndedTasks_.assign(Each.Ends_.begin(), Each.Ends_.end());
    for (const PlaceWorker::ActiveTask &Active : Each.Tasks_)
      Report.RunningTasks_.push_back(
          {Active.Name_, Active.Number_, "",
           100 * (1 - Active.WorkLeft_ / Active.Work_), 0});
    after(OneWay, [this, Renewal = Each.Renewal_, Report] {
      Scheduler_.renewalAnswered(Renewal, Report, Now_);
    });
  }

  void noteFinished(const std::string &Id) {
    std::size_t Index = ById_.at(Id);
    if (IsEnded_[Index])
      return;
    IsEnded_[Index] = true;
    noteJob(Plan_.Jobs_[Index]);
  }

  void noteJob(const PlannedJob &Job) {
    double Taken = inSeconds(Now_ - Start_) - Job.At_;
    auto Add = [&](PlaceWaitGroup &Group) {
      ++Group.Jobs_;
      Group.SumSeconds_ += Taken;
      if (Taken <= inSeconds(Job.Objective_))
        ++Group.InTime_;
      else if (Taken <= ValuelessFactor * inSeconds(Job.Objective_))
        ++Group.Late_;
    };
    Add(Result_.All_);
    if (Job.IsHot_)
      Add(Result_.Hot_);
    if (Job.PrefersOneRack_)
      Add(Result_.OneRack_);
    else if (!Job.NamesRack_)
      Add(Result_.Others_);
  }

  struct Event {
    TimePoint At_;
    std::uint64_t Order_;
    std::function<void()> Act_;
    bool operator<(const Event &Other) const {
      return std::pair(Other.At_, Other.Order_) < std::pair(At_, Order_);
    }
  };

  PlaceWaitLoad Load_;
  JobPlan Plan_;
  TimePoint Now_{1000s};
  TimePoint Start_{};
  Scheduler Scheduler_;
  std::map<std::string, PlaceWorker> Workers_;
  std::priority_queue<Event> Events_;
  std::uint64_t LastEvent_ = 0;
  std::map<std::string, std::size_t> ById_;
  std::vector<bool> IsEnded_;
  /// The racks of steps that prefer one.
  std::map<std::pair<std::string, std::uint32_t>, std::set<std::string>>
      RacksOfStep_;
  bool IsCommitting_ = false;
  PlaceWaitResult Result_;
};

} // namespace

PlaceWaitResult runPlaceWait(const PlaceWaitLoad &Load, std::uint64_t Seed) {
  return PlaceSimulation(Load, Seed).run();
}

} // namespace filbertspring::benchmark
