#include "instance_registry.h"

#include <utility>

namespace filbertspring {

using Json = nlohmann::json;

void InstanceRegistry::set(const std::string &Name, Json Entry, TimePoint Now) {
  History_[Name].push_back({Now, std::move(Entry)});
}

Json InstanceRegistry::listAt(TimePoint Then) const {
  Json List = Json::array();
  for (const auto &[Name, Versions] : History_) {
    const Json *Shown = nullptr;
    for (const Version &Each : Versions)
      if (Each.Since_ <= Then)
        Shown = &Each.Entry_;
    if (Shown && !Shown->is_null())
      List.push_back(*Shown);
  }
  return List;
}

} // namespace filbertspring
