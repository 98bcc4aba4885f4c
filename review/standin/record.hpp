/// The record of a case: what was sent, answered and run, with the time in
/// milliseconds since the case began.
#pragma once

#include <chrono>
#include <cstdint>
#include <fstream>
#include <mutex>
#include <string>

namespace review
{

/// Milliseconds on the steady clock since the first call.
inline std::int64_t now_ms()
{
    static auto const begin = std::chrono::steady_clock::now();
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::steady_clock::now() - begin)
        .count();
}

/// Appends lines to the record file. Thread-safe.
class recorder
{
public:
    explicit recorder(std::string const& file)
        : out(file, std::ios::trunc)
    {
    }

    void note(std::string const& line)
    {
        std::lock_guard lock(this->mutex);
        this->out << now_ms() << " ms  " << line << std::endl;
    }

private:
    std::mutex mutex;
    std::ofstream out;
};

} // namespace review
