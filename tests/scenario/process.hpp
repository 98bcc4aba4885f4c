/// Processes of one scenario: started, signalled and ended by id.
#pragma once

#include <map>
#include <string>
#include <sys/types.h>
#include <vector>

namespace scenario
{

/// Starts and ends programs; ends all that is left when it goes away.
class process_table
{
public:
    /// `folder` takes the output of each process.
    explicit process_table(std::string folder)
        : folder(std::move(folder))
    {
    }
    ~process_table();

    void start(std::string const& name, std::vector<std::string> command);

    /// Starts it again with the same command.
    void restart(std::string const& name);
    void send_signal(std::string const& name, int signal_number);

    /// Waits for its end; returns the exit code, or minus the signal.
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
