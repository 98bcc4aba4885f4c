/// Runs one case: trial NAME RECORD. Exits with 1 if the rule was broken, 0 if
/// it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
#include "cases.hpp"

#include <cstdlib>
#include <iostream>
#include <signal.h>
#include <stdexcept>
#include <thread>

int main(int argc, char** argv)
{
    ::signal(SIGPIPE, SIG_IGN);
    sigset_t ends;
    sigemptyset(&ends);
    sigaddset(&ends, SIGTERM);
    sigaddset(&ends, SIGINT);
    ::sigprocmask(SIG_BLOCK, &ends, nullptr);
    std::thread(
        [ends]
        {
            int number = 0;
            ::sigwait(&ends, &number);
            review::cell_process::kill_all();
            std::_Exit(2);
        })
        .detach();
    if (argc != 4)
    {
        std::cerr << "usage: trial NAME RECORD FOLDER\n";
        return 2;
    }
    char const* trouble = std::getenv("TROUBLE");
    bool disturbed = trouble == nullptr || std::string(trouble) != "0";
    try
    {
        review::record log(argv[2]);
        auto found = review::cases().find(argv[1]);
        if (found == review::cases().end())
        {
            std::cerr << "no such case\n";
            return 2;
        }
        int result = found->second(log, argv[3], disturbed);
        log.line("result  " + std::to_string(result));
        review::cell_process::kill_all();
        // Threads of the stand-ins may still sleep.
        std::_Exit(result);
    }
    catch (std::exception const& problem)
    {
        std::cerr << "the case could not run: " << problem.what() << "\n";
        review::cell_process::kill_all();
        std::_Exit(2);
    }
}
