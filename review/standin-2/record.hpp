/// What was sent, answered and run, with the time since the start of the
/// driver.
#pragma once

#include <chrono>
#include <cstdint>
#include <fstream>
#include <mutex>
#include <string>

namespace standin
{

using steady = std::chrono::steady_clock;

/// Milliseconds since the start of the driver.
std::int64_t now_ms();
/// Milliseconds since 1970.
std::int64_t unix_ms();
void sleep_ms(std::int64_t duration);

/// Writes lines to record.txt; used by all threads.
class record_file
{
public:
    explicit record_file(std::string const& path);
    void write(std::string const& line);

private:
    std::mutex mutex;
    std::ofstream out;
};

} // namespace standin
