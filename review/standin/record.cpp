#include "record.h"

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <mutex>

namespace review {
namespace {

std::mutex Mutex;
std::FILE *File = nullptr;
std::chrono::steady_clock::time_point Begin;

} // namespace

void openRecord(const std::string &Path) {
  Begin = std::chrono::steady_clock::now();
  File = std::fopen(Path.c_str(), "w");
  if (!File) {
    std::perror("the record cannot be written");
    std::exit(2);
  }
}

double elapsed() {
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - Begin)
      .count();
}

void record(const std::string &Line) {
  std::lock_guard<std::mutex> Lock(Mutex);
  std::fprintf(File, "%8.3f %s\n", elapsed(), Line.c_str());
  std::fflush(File);
}

} // namespace review
