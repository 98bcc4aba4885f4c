/// Child processes of one scenario; signals go to their process ids only.
#pragma once

#include <map>
#include <string>
#include <sys/types.h>
#include <vector>

namespace scenario
{

/// Starts programs and sends them signals. The destructor kills every program
/// that still runs.
class process_table
{
public:
    /// The output of each process goes to `folder`/NAME.log.
    explicit process_table(std::string folder)
        : folder(std::move(folder))
    {
    }
    ~process_table();

    void start(std::string const& name, std::vector<std::string> command);

    /// Starts the process again with the same command.
    void restart(std::string const& name);
    void send_signal(std::string const& name, int signal_number);

    /// Waits until the process ends; returns its exit code, or the negative
    /// number of the signal that ended it.
    int wait_for_exit(std::string const& name);
    bool is_running(std::string const& name) const;
    pid_t pid(std::string const& name) const;
    std::vector<std::string> names() const;

private:
    struct child
    {
        pid_t pid = -1;
        std::vector<std::string> command;
    };

    void launch(std::string const& name, child& target);

    std::string folder;
    std::map<std::string, child> processes;
};

} // namespace scenario
