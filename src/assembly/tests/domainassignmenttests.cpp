#include "assembly/domainassignment.h"

#include <CppUTest/TestHarness.h>

using namespace persimmon;
using namespace persimmon::assembly;

// clang-format off
TEST_GROUP(domain_assignment)
{
  std::vector<routes::model_profile> models{ { { "large" }, 8, 1, 0.5, 16_s, 1600_ms },
                                             { { "small" }, 2, 1, 0.5, 12_s, 1100_ms } };
  std::map<routes::model_name, double> wanted{ { { "large" }, 0.5 }, { { "small" }, 0.5 } };
  std::vector<domain_inventory> domains;
  domain_assignment homes;

  void Fill(std::size_t aDomains, std::size_t aInstances)
  {
    domains.clear();
    for (std::size_t i = 0; i < aDomains; ++i) {
      domains.push_back({ { "d" + std::to_string(i) }, aInstances, {} });
    }
  }

  std::size_t Count(const char* aModel)
  {
    std::size_t count = 0;
    for (const domain_inventory& one : domains) {
      const routes::model_name* home = homes.ModelOf(one.domain);
      count += home != nullptr && home->value == aModel ? 1 : 0;
    }
    return count;
  }

  void Divide() { homes.Assign(domains, models, wanted); }
};
// clang-format on

TEST(domain_assignment, LargeGroupsGetTheOddDomainSinceTheyLeaveSomeOfEachUnused)
{
  Fill(9, 18);
  Divide();
  UNSIGNED_LONGS_EQUAL(5, Count("large"));
  UNSIGNED_LONGS_EQUAL(4, Count("small"));
}

TEST(domain_assignment, WorkDecidesHowManyDomainsAModelGets)
{
  Fill(10, 18);
  wanted[{ "large" }] = 0.8;
  wanted[{ "small" }] = 0.2;
  Divide();
  UNSIGNED_LONGS_EQUAL(8, Count("large"));
}

TEST(domain_assignment, DomainsSeenInPartAreDividedAgainWhenWhole)
{
  Fill(9, 5);
  Divide();
  UNSIGNED_LONGS_EQUAL(9, Count("small"));
  Fill(9, 18);
  Divide();
  UNSIGNED_LONGS_EQUAL(5, Count("large"));
}

TEST(domain_assignment, DomainThatHoldsWeightsKeepsItsModel)
{
  Fill(3, 18);
  domains[0].instancesByModel[{ "small" }] = 2;
  domains[1].instancesByModel[{ "small" }] = 2;
  Divide();
  UNSIGNED_LONGS_EQUAL(1, Count("large"));
  wanted[{ "large" }] = 0.99;
  wanted[{ "small" }] = 0.01;
  domains[2].instancesByModel[{ "large" }] = 1;
  Divide();
  UNSIGNED_LONGS_EQUAL(2, Count("small"));
}

TEST(domain_assignment, DomainWhoseWeightsAreGoneGoesToTheModelThatLacksMost)
{
  Fill(2, 18);
  domains[0].instancesByModel[{ "small" }] = 18;
  domains[1].instancesByModel[{ "small" }] = 18;
  Divide();
  UNSIGNED_LONGS_EQUAL(0, Count("large"));
  CHECK(!homes.CoversAllModels(models));
  domains[1].instancesByModel.clear();
  Divide();
  UNSIGNED_LONGS_EQUAL(1, Count("large"));
  CHECK(homes.CoversAllModels(models));
}
