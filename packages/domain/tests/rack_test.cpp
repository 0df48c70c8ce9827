#include "filbertspring/domain/rack.h"

#include <boost/test/unit_test.hpp>

using namespace filbertspring;

namespace {

const WorkerName Worker("w1");
const ContractName Customer("denizkul");
const Resources Capacity{Millicores(4000), Mebibytes(8192), Accelerators(1)};
const Resources Half{Millicores(2000), Mebibytes(4096), Accelerators(0)};

Assignment assignmentOf(const char *Job, const Resources &Size) {
  return {{{JobId(Job), 0}, 1}, Customer, Size};
}

Rack rackWithOneWorker() {
  RackRecord Record;
  Record.Workers_ = {{Worker, Capacity, {}, {}}};
  Record.Grants_ = {{Customer, Capacity + Capacity}};
  return Rack::restore(Record).value();
}

} // namespace

BOOST_AUTO_TEST_SUITE(rack)

BOOST_AUTO_TEST_SUITE(claims)

BOOST_AUTO_TEST_CASE(cannot_exceed_the_capacity_of_a_worker) {
  Rack Subject = rackWithOneWorker();
  BOOST_TEST(Subject.claim(Worker, assignmentOf("a", Half)).has_value());
  BOOST_TEST(Subject.claim(Worker, assignmentOf("b", Half)).has_value());
  const Resources OneMore{Millicores(1), {}, {}};
  Status Third = Subject.claim(Worker, assignmentOf("c", OneMore));
  BOOST_TEST(Third.error() == Errc::CapacityExceeded);
}

BOOST_AUTO_TEST_CASE(are_limited_by_each_resource) {
  for (const Resources &Size :
       {Resources{Millicores(4001), {}, {}}, Resources{{}, Mebibytes(8193), {}},
        Resources{{}, {}, Accelerators(2)}}) {
    Rack Subject = rackWithOneWorker();
    Status Claim = Subject.claim(Worker, assignmentOf("a", Size));
    BOOST_TEST(Claim.error() == Errc::CapacityExceeded);
  }
}

BOOST_AUTO_TEST_CASE(of_the_same_task_are_refused_also_as_a_later_attempt) {
  Rack Subject = rackWithOneWorker();
  Assignment First = assignmentOf("a", Half);
  BOOST_TEST(Subject.claim(Worker, First).has_value());
  ++First.Attempt_.Attempt_;
  BOOST_TEST(Subject.claim(Worker, First).error() == Errc::Duplicate);
}

BOOST_AUTO_TEST_CASE(cannot_free_capacity_with_a_negative_size) {
  Rack Subject = rackWithOneWorker();
  Status Claim = Subject.claim(Worker, assignmentOf("a", Resources{} - Half));
  BOOST_TEST(Claim.error() == Errc::InvalidInput);
}

BOOST_AUTO_TEST_CASE(stay_within_the_grant_of_the_quota) {
  Rack Subject = rackWithOneWorker();
  BOOST_TEST(Subject.setGrant(Customer, Half).has_value());
  BOOST_TEST(Subject.claim(Worker, assignmentOf("a", Half)).has_value());
  Status Second = Subject.claim(Worker, assignmentOf("b", Half));
  BOOST_TEST(Second.error() == Errc::QuotaExceeded);
  BOOST_TEST(Subject.setGrant(Customer, {}).error() == Errc::QuotaExceeded);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(releases)

BOOST_AUTO_TEST_CASE(need_the_attempt_that_holds_the_assignment) {
  Rack Subject = rackWithOneWorker();
  Assignment Entry = assignmentOf("a", Half);
  BOOST_TEST(Subject.claim(Worker, Entry).has_value());
  AttemptRef Later = Entry.Attempt_;
  ++Later.Attempt_;
  BOOST_TEST(Subject.release(Later).error() == Errc::StaleAttempt);
  BOOST_TEST(Subject.release(Entry.Attempt_).has_value());
  BOOST_TEST(Subject.release(Entry.Attempt_).error() == Errc::UnknownTask);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(workers)

BOOST_AUTO_TEST_CASE(that_shrink_keep_their_assignments_and_get_no_more) {
  Rack Subject = rackWithOneWorker();
  BOOST_TEST(Subject.claim(Worker, assignmentOf("a", Half)).has_value());
  Subject.upsertWorker(Worker, Resources{Millicores(1), {}, {}}, {});
  BOOST_TEST(!Subject.findWorker(Worker)->free().isNonNegative());
  Status Claim =
      Subject.claim(Worker, assignmentOf("b", Resources{{}, Mebibytes(1), {}}));
  BOOST_TEST(Claim.error() == Errc::CapacityExceeded);
  BOOST_TEST(Subject.removeWorker(Worker).error() == Errc::InvalidTransition);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ownership)

BOOST_AUTO_TEST_CASE(raises_the_epoch_with_each_change) {
  Rack Subject = rackWithOneWorker();
  BOOST_TEST(Subject.takeOver(InstanceName("e1")) == 1);
  BOOST_TEST(Subject.takeOver(InstanceName("e2")) == 2);
  BOOST_TEST(Subject.record().Owner_.str() == "e2");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
