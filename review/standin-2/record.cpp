#include "record.hpp"

#include <cstdio>
#include <thread>

namespace standin
{
namespace
{

steady::time_point const started_at = steady::now();

} // namespace

std::int64_t now_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        steady::now() - started_at)
        .count();
}

std::int64_t unix_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now().time_since_epoch())
        .count();
}

void sleep_ms(std::int64_t duration)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(duration));
}

record_file::record_file(std::string const& path)
    : out(path, std::ios::trunc)
{
}

void record_file::write(std::string const& line)
{
    std::lock_guard lock(this->mutex);
    char stamp[32];
    std::snprintf(stamp, sizeof stamp, "%8.3f s  ",
        static_cast<double>(now_ms()) / 1000.0);
    this->out << stamp << line << std::endl;
}

} // namespace standin
