#include "filbertspring/config/contract_document.h"
#include "filbertspring/config/settings_document.h"
#include "filbertspring/config/text_file.h"

#include "finding_lines.h"

#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <set>

using namespace filbertspring;

namespace {

std::string exampleText(const std::string &Name) {
  Result<std::string> Text =
      readTextFile(std::string(FILBERTSPRING_EXAMPLES_DIR) + "/" + Name);
  BOOST_REQUIRE_MESSAGE(Text, Name);
  return *Text;
}

void checkShape(const std::string &Shape) {
  std::set<std::string> Addresses;
  std::set<InstanceName> Instances;
  std::vector<ZoneName> Zones;
  for (const auto &File : std::filesystem::directory_iterator(
           std::string(FILBERTSPRING_EXAMPLES_DIR) + "/" + Shape)) {
    std::string Name = Shape + "/" + File.path().filename().string();
    if (File.path().filename() == "contract.json")
      continue;
    ParsedSettings Parsed = parseSettings(exampleText(Name));
    BOOST_REQUIRE_MESSAGE(Parsed.Settings_, Parsed.Findings_.toText(Name));
    Zones = Parsed.Settings_->zoneNames();
    Instances.insert(Parsed.Settings_->Instance_);
    Addresses.insert(Parsed.Settings_->Listen_.Http_.toString());
    Addresses.insert(Parsed.Settings_->Listen_.Peer_.toString());
  }
  BOOST_TEST(Zones.size() == 3U);
  BOOST_TEST(Instances.size() == 6U);
  BOOST_TEST(Addresses.size() == 12U);
  ParsedContract Parsed =
      parseContract(exampleText(Shape + "/contract.json"), Zones);
  BOOST_TEST(Parsed.Findings_.toText("contract.json") == "");
}

} // namespace

BOOST_AUTO_TEST_SUITE(examples)

BOOST_AUTO_TEST_CASE(of_denizkul_have_no_findings) { checkShape("denizkul"); }

BOOST_AUTO_TEST_CASE(of_luneta_have_no_findings) { checkShape("luneta"); }

BOOST_AUTO_TEST_CASE(with_five_errors_have_five_findings) {
  const std::vector<std::string> Expected = {
      "/listen/http: \"localhost:18101\" is not an address",
      "/platform/timeout: 800 has no unit",
      "/leases/worker_leese: key is not known",
      "/zones/1/name: name is used twice",
      "/zone: availability zone \"atlantis\" does not exist"};
  BOOST_TEST(findingLines(parseSettings(exampleText("broken-settings.json"))
                              .Findings_) == Expected,
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(with_errors_are_explained_in_the_docs) {
  Result<std::string> Docs =
      readTextFile(std::string(FILBERTSPRING_DOCS_DIR) + "/SETTINGS.md");
  BOOST_REQUIRE(Docs);
  const Findings Report =
      parseSettings(exampleText("broken-settings.json")).Findings_;
  for (const Finding &Item : Report.items())
    BOOST_TEST(Docs->find("| `" + Item.Place_ + "` | " + Item.Problem_ + " | " +
                          Item.Allowed_ + " |") != std::string::npos,
               Item.Place_);
}

BOOST_AUTO_TEST_CASE(that_cannot_be_read_are_an_error) {
  BOOST_CHECK(readTextFile("/nonexistent").error() == Errc::FileUnreadable);
  BOOST_CHECK(readTextFile(FILBERTSPRING_EXAMPLES_DIR).error() ==
              Errc::FileUnreadable);
}

BOOST_AUTO_TEST_SUITE_END()
