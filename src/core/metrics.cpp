#include "toucanlever/core/metrics.hpp"

#include <boost/histogram.hpp>
#include <map>
#include <sstream>

namespace toucanlever
{
namespace
{

namespace bh = boost::histogram;

/// Ten bins per power of ten.
constexpr unsigned bins = 70;
constexpr double lowest = 1.0;
constexpr double highest = 1e7;
char const* const name_prefix = "toucanlever_";

using log_axis = bh::axis::regular<double, bh::axis::transform::log>;

auto make_bins()
{
    return bh::make_histogram(log_axis(bins, lowest, highest));
}

using bin_histogram = decltype(make_bins());

struct distribution
{
    bin_histogram histogram = make_bins();
    double sum = 0.0;
    std::uint64_t count = 0;
};

double quantile_of(distribution const& from, double fraction)
{
    double target_count = fraction * static_cast<double>(from.count);
    double seen = 0.0;
    for (auto&& bin : bh::indexed(from.histogram, bh::coverage::all))
    {
        seen += static_cast<double>(*bin);
        if (seen >= target_count)
        {
            return bin.bin().upper();
        }
    }
    return highest;
}

} // namespace

class metrics_registry::impl
{
public:
    void print(std::ostringstream& out) const
    {
        for (auto const& entry : this->values)
        {
            out << name_prefix << entry.first << ' ' << entry.second << '\n';
        }
        for (auto const& entry : this->distributions)
        {
            this->print(out, entry.first, entry.second);
        }
    }

    mutable std::mutex mutex;
    std::map<std::string, std::int64_t, std::less<>> values;
    std::map<std::string, distribution, std::less<>> distributions;

private:
    void print(std::ostringstream& out, std::string const& name,
        distribution const& from) const
    {
        double seen = 0.0;
        for (auto&& bin : bh::indexed(from.histogram, bh::coverage::all))
        {
            seen += static_cast<double>(*bin);
            if (*bin > 0)
            {
                out << name_prefix << name << "_bucket{le=\""
                    << bin.bin().upper() << "\"} " << seen << '\n';
            }
        }
        out << name_prefix << name << "_bucket{le=\"+Inf\"} " << from.count
            << '\n'
            << name_prefix << name << "_sum " << from.sum << '\n'
            << name_prefix << name << "_count " << from.count << '\n';
    }
};

metrics_registry::metrics_registry()
    : pimpl(std::make_unique<impl>())
{
}

metrics_registry::~metrics_registry() = default;

void metrics_registry::count(std::string_view name, std::int64_t step)
{
    std::lock_guard lock(this->pimpl->mutex);
    this->pimpl->values[std::string(name)] += step;
}

void metrics_registry::set(std::string_view name, std::int64_t value)
{
    std::lock_guard lock(this->pimpl->mutex);
    this->pimpl->values[std::string(name)] = value;
}

void metrics_registry::observe(std::string_view name, std::int64_t value)
{
    std::lock_guard lock(this->pimpl->mutex);
    distribution& into = this->pimpl->distributions[std::string(name)];
    // Values below the axis, such as zero, go into the first bin.
    into.histogram(std::max(static_cast<double>(value), lowest));
    into.sum += static_cast<double>(value);
    ++into.count;
}

double metrics_registry::quantile(std::string_view name, double fraction) const
{
    std::lock_guard lock(this->pimpl->mutex);
    auto found = this->pimpl->distributions.find(name);
    if (found == this->pimpl->distributions.end())
    {
        return 0.0;
    }
    return quantile_of(found->second, fraction);
}

std::string metrics_registry::prometheus() const
{
    std::lock_guard lock(this->pimpl->mutex);
    std::ostringstream out;
    this->pimpl->print(out);
    return out.str();
}

metrics_registry& metrics()
{
    static metrics_registry instance;
    return instance;
}

} // namespace toucanlever
