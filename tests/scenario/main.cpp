/// toucan-scenario FILE [--seed N]: runs a scenario over real processes and
/// checks the invariants.
#include "runner.hpp"

#include "toucanlever/core/settings_file.hpp"
#include "toucanlever/core/version.hpp"

#include <boost/program_options.hpp>
#include <curl/curl.h>
#include <filesystem>
#include <iostream>

namespace po = boost::program_options;

int main(int argc, char** argv)
{
    scenario::run_options options;
    po::options_description described("toucan-scenario FILE [options]");
    auto add = described.add_options();
    add("help", "print this text");
    add("version", "print the version");
    add("file", po::value(&options.file)->required(), "scenario (YAML)");
    add("seed", po::value(&options.seed), "seed of all random choices");
    add("without", po::value(&options.disabled_mechanism),
        "mechanism to disable: checks, leases, capacity or checkpoints");
    add("keep", po::bool_switch(&options.keep), "keep settings and logs");
    add("verbose", po::bool_switch(&options.verbose), "print each step");
    po::positional_options_description positional;
    positional.add("file", 1);
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
            std::cout << "toucan-scenario " << toucanlever::version << "\n";
            return 0;
        }
        po::notify(values);
        options.bin =
            std::filesystem::canonical("/proc/self/exe").parent_path().string();
        curl_global_init(CURL_GLOBAL_DEFAULT);
        return scenario::runner(options).run();
    }
    catch (po::error const& problem)
    {
        std::cerr << problem.what() << "\n" << described;
        return toucanlever::exit_usage;
    }
    catch (std::exception const& problem)
    {
        std::cerr << "toucan-scenario: " << problem.what() << "\n";
        return 1;
    }
}
