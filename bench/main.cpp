/// toucan-bench-policy: measures placement policies on seeded job traces.
#include "virtual_cell.hpp"

#include "toucanlever/core/settings_file.hpp"
#include "toucanlever/core/version.hpp"

#include <boost/program_options.hpp>
#include <iostream>
#include <nlohmann/json.hpp>

namespace
{

namespace po = boost::program_options;
using nlohmann::json;

struct bench_options
{
    bench::trace_options trace;
    std::string profile = "strekbod";
    std::string policy;
    std::string output = "table";
    std::string bounds;
    bool timed = false;
    bool urgent_preemption_only = false;
    std::int64_t length_s = 120;
};

bench::trace_profile parse_profile(std::string const& name)
{
    if (name == "strekbod")
    {
        return bench::trace_profile::strekbod;
    }
    if (name == "agency")
    {
        return bench::trace_profile::agency;
    }
    if (name == "fleet")
    {
        return bench::trace_profile::fleet;
    }
    throw po::error("no such profile: " + name);
}

double mean(std::vector<std::uint32_t> const& values)
{
    double sum = 0.0;
    for (std::uint32_t each : values)
    {
        sum += each;
    }
    return values.empty() ? 0.0 : sum / static_cast<double>(values.size());
}

json describe(bench::simulation_result const& result, bool timed)
{
    json out;
    for (auto const& entry : result.waits_us)
    {
        out["wait_" + entry.first] = {{"count", entry.second.size()},
            {"p50_ms", bench::quantile(entry.second, 0.5) / 1000},
            {"p99_ms", bench::quantile(entry.second, 0.99) / 1000},
            {"max_ms", bench::quantile(entry.second, 1.0) / 1000}};
    }
    out["peak_urgent_p99_ms"] =
        bench::quantile(result.peak_urgent_waits_us, 0.99) / 1000;
    out["peak_urgent_max_ms"] =
        bench::quantile(result.peak_urgent_waits_us, 1.0) / 1000;
    out["placed"] = result.placed;
    out["still_waiting"] = result.unplaced;
    out["preemptions"] = result.preemptions;
    out["checkpoints_part"] =
        result.allocated_work > 0.0
            ? result.checkpoint_overhead / result.allocated_work
            : 0.0;
    out["packing"] = result.packing;
    out["worst_share"] = result.worst_share;
    out["worst_late_share"] = result.worst_late_share;
    out["shares"] = result.shares;
    out["examined_mean"] = mean(result.examined);
    if (timed)
    {
        out["decision_p50_ns"] = bench::quantile(result.decision_ns, 0.5);
        out["decision_p99_ns"] = bench::quantile(result.decision_ns, 0.99);
    }
    return out;
}

json measure(bench_options const& options, std::string const& policy)
{
    bench::trace workload = bench::make_trace(options.trace);
    auto placement = toucanlever::make_policy(policy);
    if (!placement)
    {
        throw po::error("no such policy: " + policy);
    }
    placement->set_share_preemption_allowed(!options.urgent_preemption_only);
    return describe(bench::simulate(*placement, workload), options.timed);
}

void print(json const& result, std::string const& name)
{
    std::cout << name << "\n";
    for (auto const& item : result.items())
    {
        std::cout << "  " << item.key() << " " << item.value().dump() << "\n";
    }
}

/// Compares a measurement with its bound, prints the result and returns true
/// when the bound is met.
bool check_bound(
    std::string const& name, double measured, double limit, bool at_most)
{
    bool passed = at_most ? measured <= limit : measured >= limit;
    std::cout << (passed ? "ok " : "FAILED ") << name << " got=" << measured
              << (at_most ? " at_most=" : " at_least=") << limit << "\n";
    return passed;
}

bool check_profile(bench_options options, toucanlever::settings_map& bounds)
{
    options.profile = bounds.text("profile");
    options.trace.profile = parse_profile(options.profile);
    options.trace.workers =
        static_cast<std::uint32_t>(bounds.integer("workers", 1, 100000));
    options.trace.seed =
        static_cast<std::uint64_t>(bounds.integer("seed", 0, 1000000));
    options.trace.length_us = bounds.integer("length_s", 1, 3600) * 1'000'000;
    json candidate = measure(options, "weighted-share");
    json baseline = measure(options, "fifo-first-fit");
    std::string name =
        options.profile + "/" + std::to_string(options.trace.workers) + " ";
    auto read_fraction = [&bounds](std::string const& key)
    { return static_cast<double>(bounds.integer(key, 0, 100000)) / 100.0; };
    double urgent_p99_ms = candidate["peak_urgent_p99_ms"].get<double>();
    double baseline_urgent_p99_ms =
        baseline["peak_urgent_p99_ms"].get<double>();
    bool passed = true;
    if (bounds.has("urgent_p99_percent_of_baseline"))
    {
        passed &= check_bound(name + "urgent-p99-of-baseline", urgent_p99_ms,
            read_fraction("urgent_p99_percent_of_baseline") *
                baseline_urgent_p99_ms,
            true);
        passed &= check_bound(name + "urgent-max-ms",
            candidate["peak_urgent_max_ms"].get<double>(),
            static_cast<double>(bounds.integer("urgent_max_ms", 0, 100000)),
            true);
    }
    if (bounds.has("packing_percent_of_fluid"))
    {
        passed &=
            check_bound(name + "packing", candidate["packing"].get<double>(),
                read_fraction("packing_percent_of_fluid"), false);
    }
    if (bounds.has("worst_share_percent"))
    {
        passed &= check_bound(name + "worst-share",
            candidate["worst_share"].get<double>(),
            read_fraction("worst_share_percent"), false);
    }
    if (bounds.has("worst_late_share_percent"))
    {
        passed &= check_bound(name + "worst-late-share",
            candidate["worst_late_share"].get<double>(),
            read_fraction("worst_late_share_percent"), false);
    }
    if (bounds.has("examined_mean"))
    {
        passed &= check_bound(name + "examined-mean",
            candidate["examined_mean"].get<double>(),
            static_cast<double>(bounds.integer("examined_mean", 1, 100000)),
            true);
    }
    bounds.reject_unread_keys();
    return passed;
}

bool check(bench_options const& options)
{
    auto file = toucanlever::settings_map::load(options.bounds);
    bool passed = true;
    for (toucanlever::settings_map& bounds : file.maps("bounds"))
    {
        passed &= check_profile(options, bounds);
    }
    file.reject_unread_keys();
    return passed;
}

po::options_description describe_options(bench_options& into)
{
    po::options_description described("toucan-bench-policy");
    auto add = described.add_options();
    add("help", "print this text");
    add("version", "print the version");
    add("workers", po::value(&into.trace.workers), "number of workers");
    add("customers", po::value(&into.trace.customers), "number of customers");
    add("profile", po::value(&into.profile), "strekbod, agency or fleet");
    add("seed", po::value(&into.trace.seed), "seed of the trace");
    add("length-s", po::value(&into.length_s),
        "length of the trace in virtual seconds");
    add("policy", po::value(&into.policy), "policy to run; default: both");
    add("output,o", po::value(&into.output), "output format: table or json");
    add("timed", po::bool_switch(&into.timed), "also print decision times");
    add("keep-running", po::bool_switch(&into.urgent_preemption_only),
        "preempt for urgent work only");
    add("check", po::value(&into.bounds), "check the bounds in this file");
    return described;
}

int run(bench_options& options)
{
    options.trace.profile = parse_profile(options.profile);
    options.trace.length_us = options.length_s * 1'000'000;
    if (!options.bounds.empty())
    {
        return check(options) ? 0 : 1;
    }
    json results;
    for (std::string const policy : {"weighted-share", "fifo-first-fit"})
    {
        if (options.policy.empty() || options.policy == policy)
        {
            results[policy] = measure(options, policy);
        }
    }
    if (options.output == "json")
    {
        std::cout << results.dump(1) << "\n";
        return 0;
    }
    for (auto const& item : results.items())
    {
        print(item.value(), item.key());
    }
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    bench_options options;
    po::options_description described = describe_options(options);
    try
    {
        po::variables_map values;
        po::store(po::parse_command_line(argc, argv, described), values);
        if (values.count("help") > 0)
        {
            std::cout << described;
            return 0;
        }
        if (values.count("version") > 0)
        {
            std::cout << "toucan-bench-policy " << toucanlever::version << "\n";
            return 0;
        }
        po::notify(values);
        return run(options);
    }
    catch (std::exception const& problem)
    {
        std::cerr << "toucan-bench-policy: " << problem.what() << "\n";
        return toucanlever::exit_usage;
    }
}
