#pragma once

#include <cstdint>
#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace persimmon {

/// A metric that a module declares; docs/METRICS.md is the catalogue.
struct metric_spec
{
  std::string_view name;
  std::string_view help;
};

struct metric_label
{
  std::string name;
  std::string value;
};

/// The process's metrics, over prometheus-cpp. Every function may be called from any thread. A
/// metric with new label values is made at its first use.
class metrics_registry
{
public:
  metrics_registry();
  ~metrics_registry();

  /// Adds to a counter.
  void Count(const metric_spec& aMetric,
             const std::vector<metric_label>& aLabels = {},
             double aAmount = 1);
  /// Sets a gauge.
  void Set(const metric_spec& aMetric,
           double aValue,
           const std::vector<metric_label>& aLabels = {});
  /// Adds a span in seconds to a histogram.
  void Observe(const metric_spec& aMetric,
               double aSeconds,
               const std::vector<metric_label>& aLabels = {});
  /// Returns all metrics in Prometheus's text format.
  [[nodiscard]] std::string Render() const;

private:
  struct implementation;
  std::unique_ptr<implementation> mImplementation;
};

} // namespace persimmon
