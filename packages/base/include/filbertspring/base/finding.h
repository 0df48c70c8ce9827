#ifndef FILBERTSPRING_BASE_FINDING_H
#define FILBERTSPRING_BASE_FINDING_H

/// \file
/// Errors found in a document, each with its place.

#include <string>
#include <string_view>
#include <vector>

namespace filbertspring {

/// One error in a document.
struct Finding {
  /// A JSON pointer ("/zones/0/name"), or "line 3, column 7" for invalid
  /// syntax.
  std::string Place_;
  /// What is wrong.
  std::string Problem_;
  /// The values that are allowed there; may be empty.
  std::string Allowed_;
};

/// Collects findings so that all of them are reported together.
class Findings {
public:
  void add(std::string_view Place, std::string_view Problem,
           std::string_view Allowed = {});

  bool empty() const { return Items_.empty(); }
  const std::vector<Finding> &items() const { return Items_; }

  /// Returns one line per finding, each prefixed with \p Document, in the order
  /// in which they were added.
  std::string toText(std::string_view Document) const;

private:
  std::vector<Finding> Items_;
};

} // namespace filbertspring

#endif // FILBERTSPRING_BASE_FINDING_H
