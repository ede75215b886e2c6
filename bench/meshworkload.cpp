#include "bench/meshworkload.h"

#include "peers/rendezvous.h"

namespace persimmon::bench {
namespace {

using namespace persimmon::peers;

constexpr duration kStep = 10_ms;
constexpr duration kStartLimit = 120_s;
// The platform lists the entry instances.
constexpr std::size_t kSeeds = 1000;
constexpr std::uint64_t kCustomers = 10;
constexpr std::int64_t kMaxWatchDelayMs = 100;

std::string
SubjectName(std::size_t aSubject)
{
  return "subject-" + std::to_string(aSubject);
}

group_id
GroupName(std::size_t aGroup)
{
  return { "group-" + std::to_string(aGroup) + "-0123456789abcdef" };
}

} // namespace

mesh_workload::mesh_workload(const mesh_workload_options& aOptions)
  : mOptions(aOptions)
  , mRandom(aOptions.seed)
  , mMesh(aOptions.seed)
  , mVersions(aOptions.subjects)
  , mEvidence(aOptions.routers)
{
  mMesh.onDeliver = [this](std::size_t aNode, const mesh_message& aMessage, time_point) {
    Delivered(aNode, aMessage);
  };
}

duration
mesh_workload::Start()
{
  for (std::size_t i = 0; i < mOptions.routers; ++i) {
    mMesh.Add(std::min(kSeeds, mOptions.routers));
    mEvidence[i].seen.resize(mOptions.groups);
  }
  const auto agreed = mMesh.RunUntil(kStartLimit, [this] { return mMesh.HasAgreedOnMembers(); });
  for (std::size_t i = 0; i < mOptions.subjects; ++i) {
    WriteVersion();
  }
  mNextPoll = mMesh.Now();
  mNextVersion = mMesh.Now();
  return agreed.value_or(kStartLimit);
}

void
mesh_workload::Apply(std::size_t aNode, applied_message aVersion)
{
  aVersion.router = mMesh.IdOf(aNode);
  mMesh.Publish(aNode, aVersion);
}

void
mesh_workload::Delivered(std::size_t aNode, const mesh_message& aMessage)
{
  if (mTraced && aMessage == *mTraced) {
    mTraceSeen[aNode] = true;
  }
  if (const auto* document = std::get_if<document_message>(&aMessage)) {
    Apply(
      aNode,
      { {}, applied_message::object_kind::document, document->service.value, document->version });
    return;
  }
  if (const auto* presence = std::get_if<presence_message>(&aMessage)) {
    const std::string& name = presence->group.value;
    const std::size_t group = std::stoul(name.substr(name.find('-') + 1));
    time_point& seen = mEvidence[aNode].seen[group];
    seen = std::max(seen, mMesh.Now() - presence->age);
  }
}

applied_message
mesh_workload::WriteVersion()
{
  const std::size_t subject = mRevision < 100 + mOptions.subjects
                                ? static_cast<std::size_t>(mRevision - 100)
                                : mRandom.Below(mOptions.subjects);
  ++mRevision;
  mVersions[subject] = mRevision;
  const document_message document{ { SubjectName(subject) },
                                   { mRevision },
                                   std::string(mOptions.documentBytes, 'x') };
  applied_message version{
    {}, applied_message::object_kind::document, SubjectName(subject), { mRevision }
  };
  const std::size_t reached = mOptions.oneReachesStore ? 1 : mMesh.Size();
  for (std::size_t i = 0; i < reached; ++i) {
    const duration delay{ mOptions.oneReachesStore
                            ? 0
                            : static_cast<std::int64_t>(mRandom.Below(kMaxWatchDelayMs)) };
    mMesh.At(delay, [this, i, document, version] {
      if (mMesh.IsUp(i)) {
        mMesh.Feed(i, store_state_changed{ true, true });
        mMesh.Publish(i, document);
        Apply(i, version);
      }
    });
  }
  return version;
}

void
mesh_workload::Poll(std::size_t aRouter)
{
  const std::vector<router_id> live = mMesh.Core(aRouter).LiveRouters();
  const router_id self = mMesh.IdOf(aRouter);
  for (std::size_t group = 0; group < mOptions.groups; ++group) {
    const auto observers = ObserversOf(GroupName(group), live);
    if (std::find(observers.begin(), observers.end(), self) == observers.end()) {
      continue;
    }
    mEvidence[aRouter].seen[group] = mMesh.Now();
    const auto running = static_cast<std::uint32_t>(mRandom.Below(60));
    const auto queued = static_cast<std::uint32_t>(mRandom.Below(10));
    mMesh.Publish(aRouter,
                  presence_message{ GroupName(group), { 7 }, self, {}, true, running, queued });
  }
}

void
mesh_workload::Share(std::size_t aRouter)
{
  const double perPoll =
    mOptions.sharesPerSecond * static_cast<double>(mOptions.pollInterval.ms) / 1000;
  for (double left = perPoll; left > 0; left -= 1) {
    if (!mRandom.Chance(left)) {
      continue;
    }
    mMesh.Publish(
      aRouter,
      customer_load_message{ mMesh.IdOf(aRouter),
                             { "verifier-llm" },
                             { "customer-" + std::to_string(mRandom.Below(kCustomers)) },
                             static_cast<std::uint32_t>(mRandom.Below(50)),
                             static_cast<std::uint32_t>(mRandom.Below(10)),
                             {} });
  }
}

void
mesh_workload::Run(duration aSpan)
{
  const time_point end = mMesh.Now() + aSpan;
  while (mMesh.Now() < end) {
    if (mMesh.Now() >= mNextPoll) {
      mNextPoll = mNextPoll + mOptions.pollInterval;
      for (std::size_t i = 0; i < mMesh.Size(); ++i) {
        const duration spread{ static_cast<std::int64_t>(
          mRandom.Below(static_cast<std::uint64_t>(mOptions.pollInterval.ms))) };
        mMesh.At(spread, [this, i] {
          if (mMesh.IsUp(i)) {
            Poll(i);
            Share(i);
          }
        });
      }
    }
    if (mOptions.versionsPerSecond > 0 && mMesh.Now() >= mNextVersion) {
      mNextVersion =
        mNextVersion + duration{ static_cast<std::int64_t>(1000 / mOptions.versionsPerSecond) };
      WriteVersion();
    }
    mMesh.Run(kStep);
  }
}

bool
mesh_workload::Holds(std::size_t aRouter, const applied_message& aVersion)
{
  const auto held = mMesh.Core(aRouter).FindObject(aVersion.kind, aVersion.name);
  return held && std::get<document_message>(*held).version >= aVersion.version;
}

template<typename Condition>
std::optional<duration>
mesh_workload::RunUntil(duration aLimit, const Condition& aCondition)
{
  const time_point start = mMesh.Now();
  while (mMesh.Now() - start <= aLimit) {
    if (aCondition()) {
      return mMesh.Now() - start;
    }
    Run(kStep);
  }
  return std::nullopt;
}

std::optional<duration>
mesh_workload::RunUntilHeld(const applied_message& aVersion, duration aLimit)
{
  std::size_t first = 0;
  return RunUntil(aLimit, [&] {
    while (first < mMesh.Size() && (!mMesh.IsUp(first) || Holds(first, aVersion))) {
      ++first;
    }
    return first == mMesh.Size();
  });
}

std::optional<duration>
mesh_workload::RunUntilConverged(duration aLimit)
{
  return RunUntil(aLimit, [&] {
    if (!mMesh.HasAgreedOnMembers()) {
      return false;
    }
    for (std::size_t i = 0; i < mMesh.Size(); ++i) {
      for (std::size_t subject = 0; subject < mOptions.subjects && mMesh.IsUp(i); ++subject) {
        const applied_message version{
          {}, applied_message::object_kind::document, SubjectName(subject), { mVersions[subject] }
        };
        if (!Holds(i, version)) {
          return false;
        }
      }
    }
    return true;
  });
}

std::optional<duration>
mesh_workload::RunUntilDelivered(const mesh_message& aMessage, std::size_t aNode, duration aLimit)
{
  mTraced = aMessage;
  mTraceSeen.assign(mMesh.Size(), false);
  mTraceSeen[aNode] = true;
  mMesh.Publish(aNode, aMessage);
  return RunUntil(aLimit, [&] {
    return std::all_of(mTraceSeen.begin(), mTraceSeen.end(), [](bool aSeen) { return aSeen; });
  });
}

std::vector<std::int64_t>
mesh_workload::PresenceAges() const
{
  std::vector<std::int64_t> ages;
  for (const evidence& router : mEvidence) {
    for (const time_point seen : router.seen) {
      ages.push_back((mMesh.Now() - seen).ms);
    }
  }
  return ages;
}

void
mesh_workload::Restart(std::size_t aRouter)
{
  mMesh.Restart(aRouter);
}

} // namespace persimmon::bench
