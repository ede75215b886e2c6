#include "dispatch/permitbucket.h"

#include <CppUTest/TestHarness.h>

using namespace persimmon;
using namespace persimmon::dispatch;

TEST_GROUP(permit_bucket)
{
  permit_bucket bucket;
  time_point now{ 50000 };
};

TEST(permit_bucket, PermitsAccumulateUpToTheirMaximum)
{
  bucket.SetShare({ 2, 1.5 }, now);
  CHECK_FALSE(bucket.HasPermit(now));
  CHECK_EQUAL(500, bucket.TimeToNextPermit(now)->ms);
  CHECK(bucket.HasPermit(now + 500_ms));
  bucket.Take(now + 60_s);
  CHECK_FALSE(bucket.HasPermit(now + 60_s));
  CHECK(bucket.HasPermit(now + 60_s + 250_ms));
}

TEST(permit_bucket, BucketWithoutShareNeverHasAPermit)
{
  CHECK_FALSE(bucket.HasPermit(now + 60_s));
  CHECK_FALSE(bucket.TimeToNextPermit(now).has_value());
}

// Guards against permits that a share brings twice when it passes to and fro between routers.
TEST(permit_bucket, ShareThatComesBackBringsNoPermits)
{
  bucket.SetShare({ 1, 1 }, now);
  bucket.SetShare({}, now + 10_s);
  bucket.SetShare({ 1, 1 }, now + 10_s);
  CHECK_FALSE(bucket.HasPermit(now + 10_s));
  CHECK(bucket.HasPermit(now + 11_s));
}

TEST(permit_bucket, LowerShareKeepsNoMoreThanItsMaximum)
{
  bucket.SetShare({ 10, 10 }, now);
  bucket.SetShare({ 1, 1 }, now + 10_s);
  bucket.Take(now + 10_s);
  CHECK_FALSE(bucket.HasPermit(now + 10_s));
}
