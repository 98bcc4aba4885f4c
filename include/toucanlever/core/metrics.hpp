/// Counters, gauges and histograms of one process, printed as Prometheus text.
#pragma once

#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

namespace toucanlever
{

/// Named metrics; thread-safe. Histograms are Boost.Histogram's, with
/// logarithmic bins from 1 to ten million; smaller values go into the first
/// bin, greater ones into an overflow bin.
class metrics_registry
{
public:
    metrics_registry();
    ~metrics_registry();

    void count(std::string_view name, std::int64_t step = 1);
    void set(std::string_view name, std::int64_t value);
    void observe(std::string_view name, std::int64_t value);

    /// An upper bound of the quantile `fraction` (0 to 1) of the observed
    /// values; 0 when there are none.
    double quantile(std::string_view name, double fraction) const;

    /// All metrics in the Prometheus text format.
    std::string prometheus() const;

private:
    class impl;
    std::unique_ptr<impl> pimpl;
};

/// The registry of this process.
metrics_registry& metrics();

} // namespace toucanlever
