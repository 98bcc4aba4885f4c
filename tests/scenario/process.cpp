#include "process.hpp"

#include <csignal>
#include <fcntl.h>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace scenario
{

process_table::~process_table()
{
    for (auto const& entry : this->processes)
    {
        if (entry.second.pid > 0)
        {
            kill(entry.second.pid, SIGKILL);
            waitpid(entry.second.pid, nullptr, 0);
        }
    }
}

void process_table::start(
    std::string const& name, std::vector<std::string> command)
{
    child& target = this->processes[name];
    target.command = std::move(command);
    this->launch(name, target);
}

void process_table::launch(std::string const& name, child& target)
{
    std::string output = this->folder + "/" + name + ".log";
    pid_t child_pid = fork();
    if (child_pid < 0)
    {
        throw std::runtime_error("cannot fork a process for " + name);
    }
    if (child_pid > 0)
    {
        target.pid = child_pid;
        return;
    }
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    int file = open(output.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0644);
    dup2(file, STDOUT_FILENO);
    dup2(file, STDERR_FILENO);
    std::vector<char*> arguments;
    for (std::string& each : target.command)
    {
        arguments.push_back(each.data());
    }
    arguments.push_back(nullptr);
    execv(arguments[0], arguments.data());
    _exit(127);
}

void process_table::restart(std::string const& name)
{
    this->launch(name, this->processes.at(name));
}

void process_table::send_signal(std::string const& name, int signal_number)
{
    child& target = this->processes.at(name);
    if (target.pid <= 0)
    {
        return;
    }
    kill(target.pid, signal_number);
    if (signal_number == SIGKILL)
    {
        waitpid(target.pid, nullptr, 0);
        target.pid = -1;
    }
}

int process_table::wait_for_exit(std::string const& name)
{
    child& target = this->processes.at(name);
    int status = 0;
    waitpid(target.pid, &status, 0);
    target.pid = -1;
    return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
}

bool process_table::is_running(std::string const& name) const
{
    auto found = this->processes.find(name);
    return found != this->processes.end() && found->second.pid > 0 &&
           kill(found->second.pid, 0) == 0;
}

pid_t process_table::pid(std::string const& name) const
{
    return this->processes.at(name).pid;
}

std::vector<std::string> process_table::names() const
{
    std::vector<std::string> list;
    for (auto const& entry : this->processes)
    {
        list.push_back(entry.first);
    }
    return list;
}

} // namespace scenario
