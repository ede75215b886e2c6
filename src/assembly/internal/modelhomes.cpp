#include "assembly/modelhomes.h"

#include <algorithm>

namespace persimmon::assembly {
namespace {

constexpr double kLeastWanted = 1e-6;

using wanted_parts = std::map<routes::model_name, double>;
using usable_counts = std::map<routes::model_name, double>;

/// Instances of a domain that whole groups of a model can be made of.
double
Usable(std::size_t aInstances, const routes::model_profile& aModel)
{
  return static_cast<double>(aInstances - aInstances % aModel.groupSize);
}

/// Returns the model that most instances hold; nullptr when none holds any.
const routes::model_profile*
MostHeld(const domain_holdings& aDomain, const std::vector<routes::model_profile>& aModels)
{
  const routes::model_profile* chosen = nullptr;
  std::size_t most = 0;
  for (const routes::model_profile& model : aModels) {
    const auto found = aDomain.held.find(model.name);
    const std::size_t held = found == aDomain.held.end() ? 0 : found->second;
    if (held > most) {
      chosen = &model;
      most = held;
    }
  }
  return chosen;
}

/// Returns the model that has least for what is wanted of it, among those that fit the domain.
const routes::model_profile*
MostLacking(const domain_holdings& aDomain,
            const std::vector<routes::model_profile>& aModels,
            const wanted_parts& aWanted,
            const usable_counts& aUsable)
{
  const routes::model_profile* chosen = nullptr;
  double least = 0;
  for (const routes::model_profile& model : aModels) {
    const auto wanted = aWanted.find(model.name);
    const auto usable = aUsable.find(model.name);
    const double part = wanted == aWanted.end() ? 0 : wanted->second;
    const double supply =
      (usable == aUsable.end() ? 0 : usable->second) / std::max(part, kLeastWanted);
    const bool fits = aDomain.instances >= model.groupSize;
    if (fits && (chosen == nullptr || supply < least)) {
      chosen = &model;
      least = supply;
    }
  }
  return chosen;
}

} // namespace

void
model_homes::Divide(const std::vector<domain_holdings>& aDomains,
                    const std::vector<routes::model_profile>& aModels,
                    const wanted_parts& aWanted)
{
  usable_counts usable;
  std::map<domain_name, routes::model_name> homes;
  const auto give = [&](const domain_holdings& aDomain, const routes::model_profile& aModel) {
    homes[aDomain.domain] = aModel.name;
    usable[aModel.name] += Usable(aDomain.instances, aModel);
  };
  std::vector<const domain_holdings*> untouched;
  for (const domain_holdings& one : aDomains) {
    const routes::model_profile* held = MostHeld(one, aModels);
    const auto former = mHomes.find(one.domain);
    if (held == nullptr) {
      untouched.push_back(&one);
      continue;
    }
    for (const routes::model_profile& model : aModels) {
      held = former != mHomes.end() && former->second == model.name ? &model : held;
    }
    give(one, *held);
  }
  for (const domain_holdings* one : untouched) {
    if (const routes::model_profile* model = MostLacking(*one, aModels, aWanted, usable)) {
      give(*one, *model);
    }
  }
  mHomes = std::move(homes);
}

const routes::model_name*
model_homes::Of(const domain_name& aDomain) const
{
  const auto found = mHomes.find(aDomain);
  return found == mHomes.end() ? nullptr : &found->second;
}

bool
model_homes::Serves(const std::vector<routes::model_profile>& aModels) const
{
  return std::all_of(aModels.begin(), aModels.end(), [this](const routes::model_profile& aModel) {
    return std::any_of(
      mHomes.begin(), mHomes.end(), [&](const auto& aHome) { return aHome.second == aModel.name; });
  });
}

} // namespace persimmon::assembly
