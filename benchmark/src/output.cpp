#include "output.h"

#include <algorithm>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace filbertspring::benchmark {
namespace {

std::vector<std::size_t> columnWidths(const Report &Result) {
  std::vector<std::size_t> Widths;
  Widths.reserve(Result.Columns_.size());
  for (const std::string &Column : Result.Columns_)
    Widths.push_back(Column.size());
  for (const std::vector<std::string> &Row : Result.Rows_)
    for (std::size_t Index = 0; Index < Row.size(); ++Index)
      Widths[Index] = std::max(Widths[Index], Row[Index].size());
  return Widths;
}

std::string toLine(const std::vector<std::string> &Cells,
                   const std::vector<std::size_t> &Widths) {
  std::string Line = "|";
  for (std::size_t Index = 0; Index < Cells.size(); ++Index)
    Line += fmt::format(" {:<{}} |", Cells[Index], Widths[Index]);
  return Line + "\n";
}

} // namespace

std::string toTable(const Report &Result) {
  std::vector<std::size_t> Widths = columnWidths(Result);
  std::string Text = toLine(Result.Columns_, Widths);
  Text += "|";
  for (std::size_t Width : Widths)
    Text += std::string(Width + 2, '-') + "|";
  Text += "\n";
  for (const std::vector<std::string> &Row : Result.Rows_)
    Text += toLine(Row, Widths);
  Text += "\n";
  for (const std::string &Verdict : Result.Verdicts_)
    Text += Verdict + "\n";
  return Text;
}

std::string toJson(std::string_view Name, const Report &Result) {
  nlohmann::ordered_json Rows = nlohmann::ordered_json::array();
  for (const std::vector<std::string> &Row : Result.Rows_) {
    nlohmann::ordered_json Item;
    for (std::size_t Index = 0; Index < Row.size(); ++Index)
      Item[Result.Columns_[Index]] = Row[Index];
    Rows.push_back(Item);
  }
  nlohmann::ordered_json Document;
  Document["experiment"] = Name;
  Document["rows"] = Rows;
  Document["verdicts"] = Result.Verdicts_;
  return Document.dump(2) + "\n";
}

} // namespace filbertspring::benchmark
