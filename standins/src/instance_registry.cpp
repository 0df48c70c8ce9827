#include "instance_registry.h"

#include <utility>

namespace filbertspring {

using Json = nlohmann::json;

void InstanceRegistry::set(const std::string &Name, Json Entry, TimePoint Now) {
  History_[Name].push_back({Now, std::move(Entry)});
}

Json InstanceRegistry::listAt(TimePoint AsOf) const {
  Json List = Json::array();
  for (const auto &[Name, Versions] : History_) {
    const Json *Visible = nullptr;
    for (const Version &Each : Versions)
      if (Each.Since_ <= AsOf)
        Visible = &Each.Entry_;
    if (Visible && !Visible->is_null())
      List.push_back(*Visible);
  }
  return List;
}

} // namespace filbertspring
