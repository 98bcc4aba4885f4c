/// The cases of this review that are scripts.
#pragma once

#include "standins.hpp"

#include <functional>

namespace review
{

using case_function =
    std::function<int(record& log, std::string const& folder, bool disturbed)>;

std::map<std::string, case_function> const& cases();

/// A small deployment: the store, three machines in three zones, and runners.
/// Lives until the process ends, as the threads of its stand-ins do.
class deployment
{
public:
    deployment(record& log, std::string const& folder, std::size_t machines);

    runner& add_runner(runner_options options);
    /// Starts everything, and waits until all machines are ready.
    void start(json const& routes);
    /// The machine that leads, by the rows of the store; -1 for none.
    int leader();

    record& log;
    store platform;
    run_log runs;
    std::vector<std::unique_ptr<cell_process>> machines;
    std::vector<std::unique_ptr<runner>> runners;
};

json route(std::string const& name, std::string const& prefix,
    std::int64_t priority, std::int64_t attempts);

inline constexpr char host[] = "desk.example";

int crash_verdict(record& log, std::string const& folder, bool disturbed);
int failing_service(record& log, std::string const& folder, bool disturbed);
int settings_fraction(record& log, std::string const& folder, bool disturbed);
int stop_answers(record& log, std::string const& folder, bool disturbed);
int gang_checkpoints(record& log, std::string const& folder, bool disturbed);

} // namespace review
