/// Command line of the daemons: `--settings FILE`, `--check`, `--help`,
/// `--version`.
#pragma once

#include "toucanlever/core/log.hpp"
#include "toucanlever/core/settings_file.hpp"
#include "toucanlever/core/version.hpp"

#include <csignal>
#include <iostream>
#include <optional>
#include <string>

namespace toucanlever
{

/// Options of a daemon.
struct daemon_options
{
    std::string settings_file;
    bool check_only = false;
};

/// Parses the command line. Returns `std::nullopt` after printing help, the
/// version or an error; the program then exits with `exit_code`.
std::optional<daemon_options> parse_daemon_options(
    int argc, char** argv, std::string const& program, int& exit_code);

/// The main function of a daemon: command line, settings, log and errors.
/// `load` reads the settings; `run` serves until a stop signal. Returns the
/// exit code of the process.
template <typename Load, typename Run>
int run_daemon(
    int argc, char** argv, std::string const& program, Load load, Run run)
{
    // The settings may change before the event loop handles the signal.
    std::signal(SIGHUP, SIG_IGN);
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
