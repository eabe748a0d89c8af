#include "metrics/metrics.hpp"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <sstream>

namespace pipitpond::metrics {

void Counter::increment(double amount) {
  counter_->Increment(amount);
}

double Counter::value() const {
  return counter_->Value();
}

void Gauge::set(double value) {
  gauge_->Set(value);
}

double Gauge::value() const {
  return gauge_->Value();
}

void Histogram::observe(double value) {
  histogram_->Observe(value);
}

const std::vector<double>& request_seconds() {
  static const std::vector<double> kBounds = {0.001, 0.0025, 0.005, 0.01, 0.025, 0.05,
                                              0.1,   0.25,   0.5,   1,    2.5,   5};
  return kBounds;
}

struct Registry::Implementation {
  prometheus::Registry registry;
};

Registry::Registry() : implementation_(std::make_unique<Implementation>()) {}
Registry::~Registry() = default;

Counter Registry::counter(const std::string& name, const std::string& help, const Labels& labels) {
  auto& family = prometheus::BuildCounter().Name(name).Help(help).Register(implementation_->registry);
  return Counter(family.Add(labels));
}

Gauge Registry::gauge(const std::string& name, const std::string& help, const Labels& labels) {
  auto& family = prometheus::BuildGauge().Name(name).Help(help).Register(implementation_->registry);
  return Gauge(family.Add(labels));
}

Histogram Registry::histogram(const std::string& name, const std::string& help,
                              const std::vector<double>& bounds, const Labels& labels) {
  auto& family = prometheus::BuildHistogram().Name(name).Help(help).Register(implementation_->registry);
  return Histogram(family.Add(labels, bounds));
}

std::string Registry::text() const {
  std::ostringstream out;
  prometheus::TextSerializer().Serialize(out, implementation_->registry.Collect());
  return out.str();
}

}  // namespace pipitpond::metrics
