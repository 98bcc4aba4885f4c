/// Command line of the daemons: `--settings FILE`, `--check`, `--help`,
/// `--version`.
#pragma once

#include "toucanlever/core/log.hpp"
#include "toucanlever/core/settings_file.hpp"
#include "toucanlever/core/version.hpp"

#include <iostream>
#include <optional>
#include <string>

namespace toucanlever
{

/// What the command line asked for.
struct daemon_options
{
    std::string settings_file;
    bool check_only = false;
};

/// Reads the command line; prints help or the problem and returns nothing
/// when the program is to exit with `exit_code`.
std::optional<daemon_options> parse_daemon_options(
    int argc, char** argv, std::string const& program, int& exit_code);

/// The whole of a daemon's main: command line, settings, log, errors. `load`
/// reads the settings, `run` serves until told to stop.
template <typename Load, typename Run>
int run_daemon(
    int argc, char** argv, std::string const& program, Load load, Run run)
{
    int exit_code = 0;
    auto options = parse_daemon_options(argc, argv, program, exit_code);
    if (!options)
    {
        return exit_code;
    }
    try
    {
        auto settings = load(options->settings_file);
        if (options->check_only)
        {
            std::cout << "settings are valid\n";
            return 0;
        }
        start_log(program, settings.name);
        log_line("process-started")
            .with("version", version)
            .with("settings", options->settings_file);
        run(settings);
        log_line("process-stopped").with("reason", "stop-signal");
        stop_log();
        return 0;
    }
    catch (settings_error const& problem)
    {
        std::cerr << problem.what() << "\n";
        return exit_usage;
    }
    catch (std::exception const& problem)
    {
        std::cerr << program << ": " << problem.what() << "\n";
        log_line("process-stopped").with("reason", problem.what());
        stop_log();
        return 1;
    }
}

} // namespace toucanlever
