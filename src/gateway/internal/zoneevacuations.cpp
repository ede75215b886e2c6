#include "gateway/zoneevacuations.h"

namespace persimmon::gateway {

bool
zone_evacuations::Apply(const zone_evacuation& aChange)
{
  const auto [known, added] = mZones.try_emplace(aChange.zone, aChange);
  if (!added && known->second.version >= aChange.version) {
    return false;
  }
  known->second = aChange;
  return true;
}

std::vector<zone_evacuation>
zone_evacuations::ApplyList(const std::vector<zone_evacuation>& aListed, revision aAsOf)
{
  std::vector<zone_evacuation> news;
  std::set<zone_name> listed;
  for (const zone_evacuation& each : aListed) {
    listed.insert(each.zone);
    if (Apply(each)) {
      news.push_back(each);
    }
  }
  // An end that only the list shows happened between the object's last change and the list.
  for (auto& [zone, known] : mZones) {
    if (known.isEmptied && listed.count(zone) == 0 && known.version < aAsOf) {
      known.isEmptied = false;
      known.version = aAsOf;
      news.push_back(known);
    }
  }
  return news;
}

std::set<zone_name>
zone_evacuations::Emptied() const
{
  std::set<zone_name> emptied;
  for (const auto& [zone, known] : mZones) {
    if (known.isEmptied) {
      emptied.insert(zone);
    }
  }
  return emptied;
}

} // namespace persimmon::gateway
