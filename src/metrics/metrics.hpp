// Counters, gauges and histograms in the text format of Prometheus, on prometheus-cpp.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace prometheus {
class Counter;
class Gauge;
class Histogram;
}  // namespace prometheus

namespace pipitpond::metrics {

/// Label names and values, such as {{"group", "archive-1"}}.
using Labels = std::map<std::string, std::string>;

/// Only grows. A copy is the same counter; valid as long as its Registry.
class Counter {
 public:
  explicit Counter(prometheus::Counter& counter) : counter_(&counter) {}
  void increment(double amount = 1);
  [[nodiscard]] double value() const;

 private:
  prometheus::Counter* counter_;
};

/// A value that goes up and down. A copy is the same gauge; valid as long as its Registry.
class Gauge {
 public:
  explicit Gauge(prometheus::Gauge& gauge) : gauge_(&gauge) {}
  void set(double value);
  [[nodiscard]] double value() const;

 private:
  prometheus::Gauge* gauge_;
};

/// Counts of observations in buckets. A copy is the same histogram; valid as long as its Registry.
class Histogram {
 public:
  explicit Histogram(prometheus::Histogram& histogram) : histogram_(&histogram) {}
  void observe(double value);

 private:
  prometheus::Histogram* histogram_;
};

/// Upper bounds, in seconds, that suit the times of requests.
const std::vector<double>& request_seconds();

/// All metrics of one process. Names must match [a-zA-Z_:][a-zA-Z0-9_:]*; one name has one type and one help.
class Registry {
 public:
  Registry();
  Registry(const Registry&) = delete;
  Registry& operator=(const Registry&) = delete;
  ~Registry();

  /// Makes the metric or returns the existing one of these labels. Throws std::invalid_argument for a name
  /// that is not allowed or has another type.
  Counter counter(const std::string& name, const std::string& help, const Labels& labels = {});
  Gauge gauge(const std::string& name, const std::string& help, const Labels& labels = {});
  Histogram histogram(const std::string& name, const std::string& help, const std::vector<double>& bounds,
                      const Labels& labels = {});

  /// Body of GET /metrics.
  [[nodiscard]] std::string text() const;

 private:
  struct Implementation;
  std::unique_ptr<Implementation> implementation_;
};

/// Content type of Registry::text.
inline constexpr const char* kContentType = "text/plain; version=0.0.4; charset=utf-8";

}  // namespace pipitpond::metrics
