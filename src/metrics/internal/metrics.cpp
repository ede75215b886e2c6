#include "metrics/metrics.h"

#include <map>
#include <mutex>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace persimmon {
namespace {

std::map<std::string, std::string>
ToLabelMap(const std::vector<metric_label>& aLabels)
{
  std::map<std::string, std::string> labels;
  for (const metric_label& label : aLabels) {
    labels[label.name] = label.value;
  }
  return labels;
}

/// Returns the upper bounds of all histogram buckets, in seconds.
const prometheus::Histogram::BucketBoundaries&
SecondsBuckets()
{
  static const prometheus::Histogram::BucketBoundaries kBuckets{
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.35, 0.5, 1, 2.5, 5, 10, 30, 60
  };
  return kBuckets;
}

} // namespace

struct metrics_registry::implementation
{
  prometheus::Registry registry;
  std::mutex mutex;
  std::map<std::string_view, prometheus::Family<prometheus::Counter>*> counters;
  std::map<std::string_view, prometheus::Family<prometheus::Gauge>*> gauges;
  std::map<std::string_view, prometheus::Family<prometheus::Histogram>*> histograms;

  /// Returns the family of a metric, which is registered at its first use.
  template<typename Family, typename Builder>
  Family& GetOrRegisterFamily(std::map<std::string_view, Family*>& aFamilies,
                              Builder aBuilder,
                              const metric_spec& aMetric)
  {
    const std::lock_guard lock(mutex);
    Family*& family = aFamilies[aMetric.name];
    if (family == nullptr) {
      family = &aBuilder.Name(std::string(aMetric.name))
                  .Help(std::string(aMetric.help))
                  .Register(registry);
    }
    return *family;
  }
};

metrics_registry::metrics_registry()
  : mImplementation(std::make_unique<implementation>())
{
}

metrics_registry::~metrics_registry() = default;

void
metrics_registry::Count(const metric_spec& aMetric,
                        const std::vector<metric_label>& aLabels,
                        double aAmount)
{
  mImplementation
    ->GetOrRegisterFamily(mImplementation->counters, prometheus::BuildCounter(), aMetric)
    .Add(ToLabelMap(aLabels))
    .Increment(aAmount);
}

void
metrics_registry::Set(const metric_spec& aMetric,
                      double aValue,
                      const std::vector<metric_label>& aLabels)
{
  mImplementation->GetOrRegisterFamily(mImplementation->gauges, prometheus::BuildGauge(), aMetric)
    .Add(ToLabelMap(aLabels))
    .Set(aValue);
}

void
metrics_registry::Observe(const metric_spec& aMetric,
                          double aSeconds,
                          const std::vector<metric_label>& aLabels)
{
  mImplementation
    ->GetOrRegisterFamily(mImplementation->histograms, prometheus::BuildHistogram(), aMetric)
    .Add(ToLabelMap(aLabels), SecondsBuckets())
    .Observe(aSeconds);
}

std::string
metrics_registry::Render() const
{
  return prometheus::TextSerializer().Serialize(mImplementation->registry.Collect());
}

} // namespace persimmon
