/// toucan-bench-policy: measures the placement policy over seeded traces.
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
    bool keep_running = false;
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

double mean(std::vector<std::uint32_t> const& list)
{
    double sum = 0.0;
    for (std::uint32_t each : list)
    {
        sum += each;
    }
    return list.empty() ? 0.0 : sum / static_cast<double>(list.size());
}

json describe(bench::outcome const& got, bool timed)
{
    json out;
    for (auto const& entry : got.waits_us)
    {
        out["wait_" + entry.first] = {{"count", entry.second.size()},
            {"p50_ms", bench::quantile(entry.second, 0.5) / 1000},
            {"p99_ms", bench::quantile(entry.second, 0.99) / 1000},
            {"max_ms", bench::quantile(entry.second, 1.0) / 1000}};
    }
    out["peak_urgent_p99_ms"] =
        bench::quantile(got.peak_urgent_waits_us, 0.99) / 1000;
    out["peak_urgent_max_ms"] =
        bench::quantile(got.peak_urgent_waits_us, 1.0) / 1000;
    out["placed"] = got.placed;
    out["still_waiting"] = got.unplaced;
    out["preemptions"] = got.preemptions;
    out["checkpoints_part"] =
        got.given_work > 0.0 ? got.spent_on_checkpoints / got.given_work : 0.0;
    out["packing"] = got.packing;
    out["worst_share"] = got.worst_share;
    out["worst_late_share"] = got.worst_late_share;
    out["shares"] = got.shares;
    out["examined_mean"] = mean(got.examined);
    if (timed)
    {
        out["decision_p50_ns"] = bench::quantile(got.decision_ns, 0.5);
        out["decision_p99_ns"] = bench::quantile(got.decision_ns, 0.99);
    }
    return out;
}

json measure(bench_options const& options, std::string const& policy)
{
    bench::trace work = bench::make_trace(options.trace);
    auto chosen = toucanlever::make_policy(policy);
    if (!chosen)
    {
        throw po::error("no such policy: " + policy);
    }
    chosen->set_share_preemption_allowed(!options.keep_running);
    return describe(bench::run(*chosen, work), options.timed);
}

void print(json const& result, std::string const& name)
{
    std::cout << name << "\n";
    for (auto const& item : result.items())
    {
        std::cout << "  " << item.key() << " " << item.value().dump() << "\n";
    }
}

/// One bound: a measure against a limit that the users' targets set.
bool holds(std::string const& what, double got, double limit, bool at_most)
{
    bool good = at_most ? got <= limit : got >= limit;
    std::cout << (good ? "ok " : "FAILED ") << what << " got=" << got
              << (at_most ? " at_most=" : " at_least=") << limit << "\n";
    return good;
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
    json ours = measure(options, "weighted-share");
    json base = measure(options, "fifo-first-fit");
    std::string name =
        options.profile + "/" + std::to_string(options.trace.workers) + " ";
    auto percent = [&bounds](std::string const& key)
    { return static_cast<double>(bounds.integer(key, 0, 100000)) / 100.0; };
    double urgent = ours["peak_urgent_p99_ms"].get<double>();
    double base_urgent = base["peak_urgent_p99_ms"].get<double>();
    bool good = true;
    if (bounds.has("urgent_p99_percent_of_baseline"))
    {
        good &= holds(name + "urgent-p99-of-baseline", urgent,
            percent("urgent_p99_percent_of_baseline") * base_urgent, true);
        good &= holds(name + "urgent-max-ms",
            ours["peak_urgent_max_ms"].get<double>(),
            static_cast<double>(bounds.integer("urgent_max_ms", 0, 100000)),
            true);
    }
    if (bounds.has("packing_percent_of_fluid"))
    {
        good &= holds(name + "packing", ours["packing"].get<double>(),
            percent("packing_percent_of_fluid"), false);
    }
    if (bounds.has("worst_share_percent"))
    {
        good &= holds(name + "worst-share", ours["worst_share"].get<double>(),
            percent("worst_share_percent"), false);
    }
    if (bounds.has("worst_late_share_percent"))
    {
        good &= holds(name + "worst-late-share",
            ours["worst_late_share"].get<double>(),
            percent("worst_late_share_percent"), false);
    }
    if (bounds.has("examined_mean"))
    {
        good &=
            holds(name + "examined-mean", ours["examined_mean"].get<double>(),
                static_cast<double>(bounds.integer("examined_mean", 1, 100000)),
                true);
    }
    bounds.reject_unread_keys();
    return good;
}

bool check(bench_options const& options)
{
    auto file = toucanlever::settings_map::load(options.bounds);
    bool good = true;
    for (toucanlever::settings_map& bounds : file.maps("bounds"))
    {
        good &= check_profile(options, bounds);
    }
    file.reject_unread_keys();
    return good;
}

po::options_description describe_options(bench_options& into)
{
    po::options_description described("toucan-bench-policy");
    auto add = described.add_options();
    add("help", "print this text");
    add("version", "print the version");
    add("workers", po::value(&into.trace.workers), "workers");
    add("customers", po::value(&into.trace.customers), "customers");
    add("profile", po::value(&into.profile), "strekbod, agency or fleet");
    add("seed", po::value(&into.trace.seed), "seed of the trace");
    add("length-s", po::value(&into.length_s), "virtual seconds");
    add("policy", po::value(&into.policy), "one policy; both when left out");
    add("output,o", po::value(&into.output), "table or json");
    add("timed", po::bool_switch(&into.timed), "show decision times, too");
    add("keep-running", po::bool_switch(&into.keep_running),
        "stop running work for urgent work only");
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
    json all;
    for (std::string const policy : {"weighted-share", "fifo-first-fit"})
    {
        if (options.policy.empty() || options.policy == policy)
        {
            all[policy] = measure(options, policy);
        }
    }
    if (options.output == "json")
    {
        std::cout << all.dump(1) << "\n";
        return 0;
    }
    for (auto const& item : all.items())
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
