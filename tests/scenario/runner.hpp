/// Runs one scenario: the steps of its YAML file, in order, over real
/// processes. docs/SCENARIOS.md describes the language.
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

/// How a scenario is to be run.
struct run_options
{
    std::string file;
    std::uint64_t seed = 1;
    std::string bin;
    /// Keeps the folder with settings and logs.
    bool keep = false;
    bool verbose = false;
    /// A mechanism that the stand-ins switch off, to see the scenario fail:
    /// checks | leases | capacity | checkpoints.
    std::string disabled_mechanism;
};

/// One run.
class runner
{
public:
    explicit runner(run_options options);
    ~runner();

    /// Returns the exit code: 0 passed, 1 failed.
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
