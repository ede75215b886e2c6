#include "assembly/domainassignment.h"

#include <algorithm>

namespace persimmon::assembly {
namespace {

constexpr double kMinDemandShare = 1e-6;

using demand_shares = std::map<routes::model_name, double>;
using usable_counts = std::map<routes::model_name, double>;

/// Instances of a domain that whole groups of a model can be made of.
double
UsableInstances(std::size_t aInstances, const routes::model_profile& aModel)
{
  return static_cast<double>(aInstances - aInstances % aModel.groupSize);
}

/// Returns the model that most instances hold; nullptr when none holds any.
const routes::model_profile*
MostHeldModel(const domain_inventory& aDomain, const std::vector<routes::model_profile>& aModels)
{
  const routes::model_profile* chosen = nullptr;
  std::size_t most = 0;
  for (const routes::model_profile& model : aModels) {
    const auto found = aDomain.instancesByModel.find(model.name);
    const std::size_t held = found == aDomain.instancesByModel.end() ? 0 : found->second;
    if (held > most) {
      chosen = &model;
      most = held;
    }
  }
  return chosen;
}

/// Returns the model that has least for what is wanted of it, among those that fit the domain.
const routes::model_profile*
LeastSuppliedModel(const domain_inventory& aDomain,
                   const std::vector<routes::model_profile>& aModels,
                   const demand_shares& aDemandShares,
                   const usable_counts& aUsable)
{
  const routes::model_profile* chosen = nullptr;
  double least = 0;
  for (const routes::model_profile& model : aModels) {
    const auto share = aDemandShares.find(model.name);
    const auto usable = aUsable.find(model.name);
    const double demandShare = share == aDemandShares.end() ? 0 : share->second;
    const double supply =
      (usable == aUsable.end() ? 0 : usable->second) / std::max(demandShare, kMinDemandShare);
    const bool fits = aDomain.instanceCount >= model.groupSize;
    if (fits && (chosen == nullptr || supply < least)) {
      chosen = &model;
      least = supply;
    }
  }
  return chosen;
}

} // namespace

void
domain_assignment::Assign(const std::vector<domain_inventory>& aDomains,
                          const std::vector<routes::model_profile>& aModels,
                          const demand_shares& aDemandShares)
{
  usable_counts usable;
  std::map<domain_name, routes::model_name> modelByDomain;
  const auto assign = [&](const domain_inventory& aDomain, const routes::model_profile& aModel) {
    modelByDomain[aDomain.domain] = aModel.name;
    usable[aModel.name] += UsableInstances(aDomain.instanceCount, aModel);
  };
  std::vector<const domain_inventory*> unassigned;
  for (const domain_inventory& domain : aDomains) {
    const routes::model_profile* held = MostHeldModel(domain, aModels);
    const auto former = mModelByDomain.find(domain.domain);
    if (held == nullptr) {
      unassigned.push_back(&domain);
      continue;
    }
    for (const routes::model_profile& model : aModels) {
      held = former != mModelByDomain.end() && former->second == model.name ? &model : held;
    }
    assign(domain, *held);
  }
  for (const domain_inventory* domain : unassigned) {
    if (const routes::model_profile* model =
          LeastSuppliedModel(*domain, aModels, aDemandShares, usable)) {
      assign(*domain, *model);
    }
  }
  mModelByDomain = std::move(modelByDomain);
}

const routes::model_name*
domain_assignment::ModelOf(const domain_name& aDomain) const
{
  const auto found = mModelByDomain.find(aDomain);
  return found == mModelByDomain.end() ? nullptr : &found->second;
}

bool
domain_assignment::CoversAllModels(const std::vector<routes::model_profile>& aModels) const
{
  return std::all_of(aModels.begin(), aModels.end(), [this](const routes::model_profile& aModel) {
    return std::any_of(mModelByDomain.begin(), mModelByDomain.end(), [&](const auto& aEntry) {
      return aEntry.second == aModel.name;
    });
  });
}

} // namespace persimmon::assembly
