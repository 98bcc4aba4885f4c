#include "trace.hpp"

#include <algorithm>
#include <cmath>
#include <pcg_random.hpp>

namespace bench
{
namespace
{

constexpr std::int64_t gib = std::int64_t(1) << 30;
// Arriving work before and during the peak, as a fraction of the cell's
// processors.
constexpr double ordinary_load = 0.6;
constexpr double peak_load = 1.5;
// Fraction of the trace, at its end, that is the peak.
constexpr double peak_fraction = 0.5;
// Fractions of the jobs; only jobs that are not urgent can be gangs.
constexpr double urgent_fraction = 0.03;
constexpr double gang_fraction = 0.01;
constexpr double cancel_fraction = 0.02;

/// Random numbers that depend only on the seed, not on the machine.
class random_source
{
public:
    explicit random_source(std::uint64_t seed)
        : random(seed)
    {
    }

    double unit() { return static_cast<double>(this->random()) / 4294967296.0; }

    double exponential(double mean)
    {
        return -mean * std::log(1.0 - this->unit());
    }

    /// Value of a heavy-tailed Pareto distribution that starts at `minimum`;
    /// values above `maximum` become `maximum`.
    double pareto(double minimum, double maximum)
    {
        constexpr double shape = 1.3;
        return std::min(
            maximum, minimum * std::pow(1.0 - this->unit(), -1.0 / shape));
    }

    std::uint32_t below(std::uint32_t bound) { return this->random(bound); }

private:
    pcg32 random;
};

std::int64_t cpu_millis_per_worker(trace_profile profile)
{
    return profile == trace_profile::strekbod ? 32000 : 64000;
}

toucanlever::queued_job make_job(
    random_source& random, trace_options const& options, std::size_t index)
{
    toucanlever::queued_job job;
    job.id = "j" + std::to_string(index);
    // The product of two uniform values makes a few customers send most jobs.
    double skew = random.unit() * random.unit();
    job.customer = "c" + std::to_string(static_cast<std::uint32_t>(
                             skew * static_cast<double>(options.customers)));
    job.name = "work";
    std::int64_t cores = 1 + random.below(8);
    if (random.unit() < 0.05)
    {
        cores = 16;
    }
    job.need = {cores * 1000, (1 + random.below(16)) * gib / 4, 0};
    job.urgent = random.unit() < urgent_fraction;
    if (!job.urgent && random.unit() < gang_fraction)
    {
        job.kind = toucanlever::job_kind::gang;
        job.tasks = 2 + random.below(6);
    }
    return job;
}

} // namespace

trace make_trace(trace_options const& options)
{
    random_source random(options.seed);
    trace generated;
    generated.length_us = options.length_us;
    generated.peak_start_us = static_cast<std::int64_t>(
        static_cast<double>(options.length_us) * (1.0 - peak_fraction));
    std::int64_t worker_cpu_millis = cpu_millis_per_worker(options.profile);
    for (std::uint32_t i = 0; i < options.workers; ++i)
    {
        generated.worker_capacities.push_back(
            {worker_cpu_millis, 128 * gib, 0});
    }
    generated.bad_workers = options.workers / 50;
    for (std::uint32_t c = 0; c < options.customers; ++c)
    {
        std::string name = "c" + std::to_string(c);
        generated.ordinary_weights[name] = 1;
        generated.peak_weights[name] = 1 + c % 3;
    }
    double capacity = static_cast<double>(worker_cpu_millis) *
                      static_cast<double>(options.workers);
    double now = 0.0;
    // Nominal means of the generated jobs; they set the arrival rate.
    constexpr double mean_run_us = 2'600'000.0;
    constexpr double mean_job_cpu_millis = 5000.0;
    std::size_t index = 0;
    while (now < static_cast<double>(options.length_us))
    {
        bool peak = now >= static_cast<double>(generated.peak_start_us);
        double load = peak ? peak_load : ordinary_load;
        double arrivals_per_us =
            load * capacity / (mean_job_cpu_millis * mean_run_us);
        now += random.exponential(1.0 / arrivals_per_us);
        trace_job next;
        next.job = make_job(random, options, index++);
        next.job.queued_at_us = static_cast<std::int64_t>(now);
        next.run_us =
            static_cast<std::int64_t>(random.pareto(700'000.0, 40'000'000.0));
        if (next.job.urgent)
        {
            next.run_us = std::min<std::int64_t>(next.run_us, 1'000'000);
        }
        if (random.unit() < cancel_fraction)
        {
            next.cancel_us = next.job.queued_at_us + 500'000;
        }
        generated.jobs.push_back(std::move(next));
    }
    return generated;
}

} // namespace bench
