#include "assembly/domainassignment.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace persimmon::assembly {
namespace {

/// Lower bound of a demand share, which avoids a division by zero.
constexpr double kMinDemandShare = 1e-6;

/// A domain is moved when the highest demand for an instance falls to this part of it or less: a
/// move takes the domain's groups away from their model for seconds.
constexpr double kMaxRemainingDemand = 0.82;
/// No domain is moved while the demand for an instance of one model is less than this multiple of
/// that of another one: demand that one gateway sees is inexact.
constexpr double kMinImbalance = 2;

using demand_shares = std::map<routes::model_name, double>;
/// Number of instances that complete groups of each model can use.
using usable_counts = std::map<routes::model_name, double>;

/// Returns the number of a domain's instances that complete groups of a model can use.
double
UsableInstances(std::size_t aInstanceCount, const routes::model_profile& aModel)
{
  return static_cast<double>(aInstanceCount - aInstanceCount % aModel.groupSize);
}

/// Returns the model that most instances of a domain hold; nullptr when they hold none.
const routes::model_profile*
MostHeldModel(const domain_inventory& aDomain, const std::vector<routes::model_profile>& aModels)
{
  const routes::model_profile* bestModel = nullptr;
  std::size_t highestCount = 0;
  for (const routes::model_profile& model : aModels) {
    const auto found = aDomain.instancesByModel.find(model.name);
    const std::size_t holderCount = found == aDomain.instancesByModel.end() ? 0 : found->second;
    if (holderCount > highestCount) {
      bestModel = &model;
      highestCount = holderCount;
    }
  }
  return bestModel;
}

/// Returns the model with the fewest usable instances relative to its demand share, among those
/// whose groups fit into the domain; nullptr when none fits.
const routes::model_profile*
LeastSuppliedModel(const domain_inventory& aDomain,
                   const std::vector<routes::model_profile>& aModels,
                   const demand_shares& aDemandShares,
                   const usable_counts& aUsable)
{
  const routes::model_profile* bestModel = nullptr;
  double lowestSupply = 0;
  for (const routes::model_profile& model : aModels) {
    const auto share = aDemandShares.find(model.name);
    const auto usable = aUsable.find(model.name);
    const double demandShare = share == aDemandShares.end() ? 0 : share->second;
    const double supply =
      (usable == aUsable.end() ? 0 : usable->second) / std::max(demandShare, kMinDemandShare);
    const bool fits = aDomain.instanceCount >= model.groupSize;
    if (fits && (bestModel == nullptr || supply < lowestSupply)) {
      bestModel = &model;
      lowestSupply = supply;
    }
  }
  return bestModel;
}

/// The demand for each instance of the models that lack them most and least.
struct demand_range
{
  double lowest = std::numeric_limits<double>::infinity();
  double highest = 0;
};

demand_range
DemandRange(const std::vector<routes::model_profile>& aModels,
            const demand_shares& aDemandShares,
            const usable_counts& aUsable)
{
  demand_range range;
  for (const routes::model_profile& model : aModels) {
    const auto share = aDemandShares.find(model.name);
    const auto usable = aUsable.find(model.name);
    const double demand = share == aDemandShares.end() ? 0 : share->second;
    const double instances = usable == aUsable.end() ? 0 : usable->second;
    const double perInstance = demand / std::max(instances, kMinDemandShare);
    range.highest = std::max(range.highest, perInstance);
    range.lowest = std::min(range.lowest, perInstance);
  }
  return range;
}

} // namespace

std::optional<domain_id>
domain_assignment::Rebalance(const std::vector<domain_inventory>& aDomains,
                             const std::vector<routes::model_profile>& aModels,
                             const demand_shares& aDemandShares)
{
  const auto profileOf = [&](const domain_id& aDomain) -> const routes::model_profile* {
    const auto assigned = mModelByDomain.find(aDomain);
    const auto found =
      std::find_if(aModels.begin(), aModels.end(), [&](const routes::model_profile& aModel) {
        return assigned != mModelByDomain.end() && aModel.name == assigned->second;
      });
    return found == aModels.end() ? nullptr : &*found;
  };
  usable_counts usable;
  for (const domain_inventory& domain : aDomains) {
    if (const routes::model_profile* model = profileOf(domain.domain)) {
      usable[model->name] += UsableInstances(domain.instanceCount, *model);
    }
  }
  const demand_range present = DemandRange(aModels, aDemandShares, usable);
  if (present.highest < kMinImbalance * present.lowest) {
    return std::nullopt;
  }
  double lowest = present.highest * kMaxRemainingDemand;
  std::optional<std::pair<domain_id, routes::model_name>> best;
  for (const domain_inventory& domain : aDomains) {
    const routes::model_profile* from = profileOf(domain.domain);
    for (const routes::model_profile& to : aModels) {
      if (from == nullptr || from == &to || domain.instanceCount < to.groupSize) {
        continue;
      }
      usable_counts moved = usable;
      moved[from->name] -= UsableInstances(domain.instanceCount, *from);
      moved[to.name] += UsableInstances(domain.instanceCount, to);
      const double highest = DemandRange(aModels, aDemandShares, moved).highest;
      if (moved[from->name] > 0 && highest <= lowest) {
        lowest = highest;
        best = std::pair(domain.domain, to.name);
      }
    }
  }
  if (!best) {
    return std::nullopt;
  }
  mModelByDomain[best->first] = best->second;
  return best->first;
}

void
domain_assignment::Assign(const std::vector<domain_inventory>& aDomains,
                          const std::vector<routes::model_profile>& aModels,
                          const demand_shares& aDemandShares)
{
  usable_counts usableCounts;
  std::map<domain_id, routes::model_name> modelByDomain;
  const auto assign = [&](const domain_inventory& aDomain, const routes::model_profile& aModel) {
    modelByDomain[aDomain.domain] = aModel.name;
    usableCounts[aModel.name] += UsableInstances(aDomain.instanceCount, aModel);
  };
  std::vector<const domain_inventory*> unassigned;
  for (const domain_inventory& domain : aDomains) {
    const routes::model_profile* heldModel = MostHeldModel(domain, aModels);
    const auto previous = mModelByDomain.find(domain.domain);
    if (heldModel == nullptr) {
      unassigned.push_back(&domain);
      continue;
    }
    for (const routes::model_profile& model : aModels) {
      heldModel =
        previous != mModelByDomain.end() && previous->second == model.name ? &model : heldModel;
    }
    assign(domain, *heldModel);
  }
  for (const domain_inventory* domain : unassigned) {
    if (const routes::model_profile* model =
          LeastSuppliedModel(*domain, aModels, aDemandShares, usableCounts)) {
      assign(*domain, *model);
    }
  }
  mModelByDomain = std::move(modelByDomain);
}

const routes::model_name*
domain_assignment::ModelOf(const domain_id& aDomain) const
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
