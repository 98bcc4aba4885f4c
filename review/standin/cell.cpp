#include "cell.hpp"

#include "http.hpp"

#include <csignal>
#include <fcntl.h>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review
{

cell_process::cell_process(std::string name, int store_port,
    std::string const& folder, int keep_ended_s, recorder& record)
    : name(std::move(name))
    , folder(folder)
    , record(record)
    , ports{free_port(), free_port(), free_port(), store_port}
{
    auto address = [](int port) { return "127.0.0.1:" + std::to_string(port); };
    std::ofstream settings(this->folder + "/" + this->name + ".yaml");
    // The lines of deploy/settings.yaml, filled in.
    settings << "name: \"" << this->name << "\"\n"
             << "failure_domain: \"zone-a\"\n"
             << "caller_address: \"" << address(this->ports.caller) << "\"\n"
             << "readiness_address: \"" << address(this->ports.readiness)
             << "\"\n"
             << "peer_address: \"" << address(this->ports.peer) << "\"\n"
             << "store_address: \"" << address(this->ports.store) << "\"\n"
             << "advice_address: \"" << address(free_port()) << "\"\n"
             << "cpu_share: \"0.25\"\n"
             << "stop_grace_s: 6\n"
             << "keep_ended_s: " << keep_ended_s << "\n";
}

cell_process::~cell_process()
{
    this->kill();
}

void cell_process::start()
{
    std::string settings =
        "TOUCANLEVER_SETTINGS=" + this->folder + "/" + this->name + ".yaml";
    std::string log = this->folder + "/" + this->name + ".log";
    std::string path = "PATH=/usr/bin:/bin";
    this->pid = ::fork();
    if (this->pid < 0)
    {
        throw std::runtime_error("cannot fork");
    }
    if (this->pid == 0)
    {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(out, STDOUT_FILENO);
        ::dup2(out, STDERR_FILENO);
        char program[] = "target/bin/toucan-cell";
        char* arguments[] = {program, nullptr};
        char* environment[] = {settings.data(), path.data(), nullptr};
        ::execve(program, arguments, environment);
        ::_exit(127);
    }
    this->record.note("started " + this->name);
}

void cell_process::kill()
{
    if (this->pid > 0)
    {
        ::kill(this->pid, SIGKILL);
        ::waitpid(this->pid, nullptr, 0);
        this->pid = -1;
        this->record.note("ended " + this->name);
    }
}

bool cell_process::has_ended()
{
    return this->pid > 0 && ::waitpid(this->pid, nullptr, WNOHANG) != 0;
}

bool cell_process::is_ready() const
{
    return call(this->ports.readiness, "GET", "/-/readiness", "ready", "", 500)
               .status == 200;
}

} // namespace review
