#pragma once

#include <cstdint>
#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace persimmon {

/// Name and help text of a metric, as declared by a module; docs/METRICS.md is the catalogue.
struct metric_spec
{
  std::string_view name;
  std::string_view help;
};

/// A label and its value.
struct metric_label
{
  std::string name;
  std::string value;
};

/// The metrics of a process, kept with prometheus-cpp. Thread-safe. A time series is created when
/// its metric is first used with its label values.
class metrics_registry
{
public:
  metrics_registry();
  ~metrics_registry();

  /// Increments a counter by aAmount, which must not be negative.
  void Count(const metric_spec& aMetric,
             const std::vector<metric_label>& aLabels = {},
             double aAmount = 1);
  /// Sets a gauge.
  void Set(const metric_spec& aMetric,
           double aValue,
           const std::vector<metric_label>& aLabels = {});
  /// Adds a duration in seconds to a histogram.
  void Observe(const metric_spec& aMetric,
               double aSeconds,
               const std::vector<metric_label>& aLabels = {});
  /// Returns all metrics in the Prometheus text exposition format.
  [[nodiscard]] std::string Render() const;

private:
  struct implementation;
  std::unique_ptr<implementation> mImplementation;
};

} // namespace persimmon
