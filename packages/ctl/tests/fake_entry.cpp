#include "fake_entry.h"

namespace filbertspring {

using nlohmann::json;

namespace {

void reply(httplib::Response &Answer, int Status, const json &Body) {
  Answer.status = Status;
  Answer.set_content(Body.dump(), "application/json");
}

json rowJson(const std::string &Name, const FakeEntry::Row &Row) {
  json Object = Row.Value_;
  Object["name"] = Name.substr(Name.find('/') + 1);
  Object["version"] = Row.Version_;
  Object["changed_by"] = Row.ChangedBy_;
  return Object;
}

} // namespace

FakeEntry::FakeEntry() {
  for (const char *Zone : {"bodrum", "kusadasi", "marmaris"})
    Rows_["zone/" + std::string(Zone)] = {
        3, "setup", {{"region", "aegean"}, {"state", "in-service"}}};
  addReadRoutes();
  addWriteRoutes();
  Port_ = Server_.bind_to_any_port("127.0.0.1");
  Thread_ = std::thread([this] { Server_.listen_after_bind(); });
  while (!Server_.is_running())
    std::this_thread::yield();
}

FakeEntry::~FakeEntry() {
  Server_.stop();
  Thread_.join();
}

std::string FakeEntry::address() const {
  return "127.0.0.1:" + std::to_string(Port_);
}

CommandOutput FakeEntry::run(std::vector<std::string> Arguments) const {
  Arguments.insert(Arguments.end(), {"--entry", address()});
  return runCommandLine(Arguments);
}

void FakeEntry::change(const std::string &Name, const std::string &By) {
  Row &Changed = Rows_[Name];
  ++Changed.Version_;
  Changed.ChangedBy_ = By;
}

FakeEntry::Handler FakeEntry::withReadinessCheck(const Handler &Handle) {
  return [this, Handle](const httplib::Request &Request,
                        httplib::Response &Answer) {
    if (NotReady_)
      reply(Answer, 503, {{"error", "not ready"}});
    else
      Handle(Request, Answer);
  };
}

FakeEntry::Handler FakeEntry::withWriteRecording(const Handler &Handle) {
  return withReadinessCheck([this, Handle](const httplib::Request &Request,
                                           httplib::Response &Answer) {
    if (BeforeWrite_)
      std::exchange(BeforeWrite_, nullptr)();
    Writes_.push_back(json::parse(Request.body));
    Handle(Request, Answer);
    if (!LoseAnswers_)
      return;
    Answer = httplib::Response();
    Answer.set_content_provider(
        100, "application/json",
        [](std::size_t, std::size_t, httplib::DataSink &) { return false; });
  });
}

void FakeEntry::storeRow(const std::string &Name, const json &Body,
                         const json &Value, httplib::Response &Answer) {
  Row &Stored = Rows_[Name];
  if (Stored.Version_ != Body["expected_version"]) {
    reply(Answer, 409,
          {{"error", "version conflict"},
           {"version", Stored.Version_},
           {"changed_by", Stored.ChangedBy_}});
    return;
  }
  change(Name, Body["changed_by"]);
  Stored.Value_ = Value;
  reply(Answer, 200, {{"version", Stored.Version_}});
}

void FakeEntry::addReadRoutes() {
  auto List = [this](const std::string &Kind) {
    json Array = json::array();
    for (const auto &[Name, Row] : Rows_)
      if (Name.starts_with(Kind + "/"))
        Array.push_back(rowJson(Name, Row));
    return json{{Kind + "s", Array}};
  };
  Server_.Get("/v1/admin/zones",
              withReadinessCheck([List](const auto &, auto &Answer) {
                reply(Answer, 200, List("zone"));
              }));
  Server_.Get("/v1/admin/contracts",
              withReadinessCheck([List](const auto &, auto &Answer) {
                reply(Answer, 200, List("contract"));
              }));
  Server_.Get(R"(/v1/admin/contracts/([^/]+))",
              withReadinessCheck([this](const auto &Request, auto &Answer) {
                std::string Name = "contract/" + Request.matches[1].str();
                if (Rows_.contains(Name))
                  reply(Answer, 200, rowJson(Name, Rows_[Name]));
                else
                  reply(Answer, 404, {{"error", "not found"}});
              }));
  Server_.Get("/v1/admin/burn",
              withReadinessCheck([this](const auto &, auto &Answer) {
                Answer.set_content(Burn_, "application/json");
              }));
  Server_.Get("/v1/admin/status",
              withReadinessCheck([](const auto &, auto &Answer) {
                reply(Answer, 200,
                      {{"instance", "bodrum-1"},
                       {"zone", "bodrum"},
                       {"ready", true},
                       {"draining", false},
                       {"platform", "reachable"},
                       {"head", 7},
                       {"racks_owned", {"r1"}}});
              }));
  Server_.Get("/v1/jobs/j1", withReadinessCheck([](const auto &, auto &Answer) {
                json Task{{"index", 0},       {"state", "claimed"},
                          {"attempt", 2},     {"worker", "w7"},
                          {"zone", "bodrum"}, {"reason", nullptr}};
                reply(Answer, 200,
                      {{"job", "j1"},
                       {"contract", "denizkul-tours"},
                       {"kind", "permit"},
                       {"state", "running"},
                       {"tasks", json::array({Task})}});
              }));
  Server_.Get(
      "/v1/jobs/j1/explain", withReadinessCheck([](const auto &, auto &Answer) {
        json First{{"index", 0}, {"state", "claimed"}, {"why", "runs"}};
        json Second{{"index", 1}, {"state", "waiting"}, {"why", "no capacity"}};
        reply(Answer, 200,
              {{"job", "j1"}, {"tasks", json::array({First, Second})}});
      }));
}

void FakeEntry::addWriteRoutes() {
  Server_.Put(R"(/v1/admin/contracts/([^/]+))",
              withWriteRecording([this](const auto &Request, auto &Answer) {
                json Body = json::parse(Request.body);
                storeRow("contract/" + Request.matches[1].str(), Body,
                         {{"terms", Body["terms"]}}, Answer);
              }));
  Server_.Post(R"(/v1/admin/zones/([^/]+))",
               withWriteRecording([this](const auto &Request, auto &Answer) {
                 json Body = json::parse(Request.body);
                 storeRow("zone/" + Request.matches[1].str(), Body,
                          {{"region", "aegean"},
                           {"state", Body["state"]},
                           {"reason", Body["reason"]}},
                          Answer);
               }));
  Server_.Post("/v1/jobs", withWriteRecording([](const auto &, auto &Answer) {
                 reply(Answer, 201, {{"job", "j1"}, {"accepted", true}});
               }));
  Server_.Post("/v1/jobs/j1/cancel",
               withWriteRecording([](const auto &, auto &Answer) {
                 reply(Answer, 200, {{"job", "j1"}, {"state", "ended"}});
               }));
}

} // namespace filbertspring
