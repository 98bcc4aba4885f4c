/// Runs the steps of one scenario file in order against real processes.
/// docs/SCENARIOS.md describes the file format.
#pragma once

#include "callers.hpp"
#include "cell.hpp"
#include "checker.hpp"
#include "usage_report.hpp"

#include <atomic>
#include <memory>
#include <string>
#include <thread>
#include <vector>
#include <yaml-cpp/yaml.h>

namespace scenario
{

/// Command line options.
struct run_options
{
    std::string file;
    std::uint64_t seed = 1;
    std::string bin;
    /// Keeps the folder with settings and logs also after a pass.
    bool keep = false;
    bool verbose = false;
    /// Safety mechanism that the stand-ins disable, to prove that the scenario
    /// then fails: checks, leases, capacity or checkpoints.
    std::string disabled_mechanism;
};

/// Runs one scenario.
class runner
{
public:
    explicit runner(run_options options);
    ~runner();

    /// Returns the exit code: 0 when the scenario passed, 1 when it failed.
    int run();

private:
    void run_step(YAML::Node const& step);
    void run_verb(std::string const& verb, YAML::Node const& argument);
    void make_calls(YAML::Node const& argument, std::string const& kind);
    void disable_mechanism(std::string const& mechanism);
    void wait_until(YAML::Node const& argument);
    int count_events(
        std::string const& event_kind, std::string const& mark_prefix);
    std::size_t count_rows(std::string const& prefix);
    void expect(YAML::Node const& argument);
    void expect_preset(YAML::Node const& argument);
    void switch_preset(YAML::Node const& argument);
    void restart(std::string const& name);
    void run_toucanctl(std::string const& arguments);
    std::string pick_process(std::string const& pattern);
    void run_storm(YAML::Node const& argument);
    void inject_fault(int kind);
    void poll_revisions();
    void report_waits() const;
    void fail(std::string const& reason);
    int finish();

    run_options options;
    std::string name;
    std::string folder;
    std::unique_ptr<cell> target;
    std::unique_ptr<callers> clients;
    std::vector<revision_sample> revisions;
    std::thread poller;
    std::atomic<bool> stopping = false;
    std::vector<std::string> failures;
    std::uint64_t random_state;
    usage_report usage;
};

} // namespace scenario
