#include "filbertspring/base/ring.h"

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <string>
#include <thread>
#include <vector>

using namespace filbertspring;

BOOST_AUTO_TEST_SUITE(ring)

BOOST_AUTO_TEST_CASE(keeps_the_order_of_one_writer) {
  Ring<std::string> Values(4);
  BOOST_TEST(Values.tryPush("a"));
  BOOST_TEST(Values.tryPush("b"));
  BOOST_TEST(Values.tryPop().value() == "a");
  BOOST_TEST(Values.tryPop().value() == "b");
  BOOST_TEST(!Values.tryPop().has_value());
}

BOOST_AUTO_TEST_SUITE(when_full)

BOOST_AUTO_TEST_CASE(refuses_values_without_blocking) {
  Ring<int> Values(2);
  int Stored = 0;
  while (Stored < 10 && Values.tryPush(Stored))
    ++Stored;
  BOOST_TEST(Stored == 2);
  BOOST_TEST(Values.tryPop().has_value());
  BOOST_TEST(Values.tryPush(7));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_closed)

BOOST_AUTO_TEST_CASE(delivers_its_values_and_then_wakes_all_readers) {
  Ring<int> Values(4);
  BOOST_TEST(Values.tryPush(1));
  std::atomic<int> Taken{0};
  std::atomic<int> Ended{0};
  std::vector<std::thread> Readers;
  Readers.reserve(3);
  for (int Reader = 0; Reader < 3; ++Reader)
    Readers.emplace_back([&] {
      while (Values.pop())
        ++Taken;
      ++Ended;
    });
  Values.close();
  for (std::thread &ReaderThread : Readers)
    ReaderThread.join();
  BOOST_TEST(Taken == 1);
  BOOST_TEST(Ended == 3);
  BOOST_TEST(!Values.tryPush(2));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(with_many_writers)

BOOST_AUTO_TEST_CASE(neither_loses_nor_duplicates_values) {
  constexpr int Writers = 4;
  constexpr int PerWriter = 2000;
  Ring<int> Values(64);
  std::vector<std::thread> Threads;
  Threads.reserve(Writers);
  for (int Writer = 0; Writer < Writers; ++Writer)
    Threads.emplace_back([&Values, Writer] {
      for (int Item = 0; Item < PerWriter; ++Item)
        while (!Values.tryPush(Writer * PerWriter + Item))
          std::this_thread::yield();
    });
  std::vector<int> Seen(Writers * PerWriter, 0);
  for (int Count = 0; Count < Writers * PerWriter; ++Count)
    ++Seen[Values.popFor(std::chrono::seconds(20)).value()];
  for (std::thread &Thread : Threads)
    Thread.join();
  BOOST_TEST(Seen == std::vector<int>(Writers * PerWriter, 1),
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
