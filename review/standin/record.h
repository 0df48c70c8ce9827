#ifndef REVIEW_STANDIN_RECORD_H
#define REVIEW_STANDIN_RECORD_H

/// \file
/// The record of a run: what was sent, answered and run, with the seconds since
/// the start of the scenario.

#include <string>

namespace review {

/// Opens the file \p Path. The clock of the record starts now.
void openRecord(const std::string &Path);
/// Adds a line. Thread-safe.
void record(const std::string &Line);
/// Returns the seconds since openRecord().
double elapsed();

} // namespace review

#endif // REVIEW_STANDIN_RECORD_H
