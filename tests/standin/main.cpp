/// toucan-standin: simulates the system's environment in tests: the platform,
/// workers, runners or the network.
#include "platform_role.hpp"
#include "relay_role.hpp"
#include "runners_role.hpp"
#include "workers_role.hpp"

#include "toucanlever/core/error.hpp"
#include "toucanlever/core/settings_file.hpp"
#include "toucanlever/core/version.hpp"

#include <boost/program_options.hpp>
#include <iostream>

namespace
{

namespace po = boost::program_options;
using namespace toucanlever;

struct options
{
    std::string role;
    standin::platform_options platform;
};

po::options_description describe(options& into)
{
    po::options_description described(
        "toucan-standin platform|workers|runners|relay");
    auto add = described.add_options();
    add("help", "print this text");
    add("version", "print the version");
    add("role", po::value(&into.role)->required(), "what to simulate");
    add("address", po::value(&into.platform.address)->required(), "IP:PORT");
    add("instances", po::value(&into.platform.instances_file),
        "JSON list of instances, or of relays");
    add("config", po::value(&into.platform.config_file),
        "initial configuration");
    add("preset", po::value(&into.platform.preset), "initial preset");
    add("view", po::value(&into.platform.views)->composing(),
        "DOMAIN=IP:PORT, address of the platform for one failure domain");
    add("list-lag-ms", po::value(&into.platform.list_lag_ms),
        "delay of the list of instances in milliseconds");
    add("writes-per-s", po::value(&into.platform.writes_per_s),
        "limit of transactions per second");
    add("reads-per-s", po::value(&into.platform.reads_per_s),
        "limit of reads per second");
    return described;
}

void run(options const& chosen)
{
    steady_clock time;
    event_loop loop(time);
    std::unique_ptr<http_handler> role;
    if (chosen.role == "platform")
    {
        role = std::make_unique<standin::platform_role>(loop, chosen.platform);
    }
    else if (chosen.role == "workers")
    {
        role = std::make_unique<standin::workers_role>(
            loop, chosen.platform.address, chosen.platform.instances_file);
    }
    else if (chosen.role == "runners")
    {
        role = std::make_unique<standin::runners_role>(
            loop, chosen.platform.address, chosen.platform.instances_file);
    }
    else if (chosen.role == "relay")
    {
        role = std::make_unique<standin::relay_role>(
            loop, chosen.platform.address, chosen.platform.instances_file);
    }
    else
    {
        throw std::invalid_argument("no such role: " + chosen.role);
    }
    loop.run();
}

} // namespace

int main(int argc, char** argv)
{
    options chosen;
    po::options_description described = describe(chosen);
    po::positional_options_description positional;
    positional.add("role", 1);
    try
    {
        po::variables_map values;
        po::store(po::command_line_parser(argc, argv)
                      .options(described)
                      .positional(positional)
                      .run(),
            values);
        if (values.count("help") > 0)
        {
            std::cout << described;
            return 0;
        }
        if (values.count("version") > 0)
        {
            std::cout << "toucan-standin " << toucanlever::version << "\n";
            return 0;
        }
        po::notify(values);
        run(chosen);
        return 0;
    }
    catch (po::error const& problem)
    {
        std::cerr << problem.what() << "\n" << described;
        return exit_usage;
    }
    catch (std::exception const& problem)
    {
        std::cerr << "toucan-standin: " << problem.what() << "\n";
        return 1;
    }
}
