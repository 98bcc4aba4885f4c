/// Structured logs: one line of key=value pairs for each event.
///
/// Lines go to standard output through easylogging++ on a thread of their
/// own, behind a bounded queue, because a blocked output must not block the
/// task that decides. Lines that do not fit are counted and reported.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <type_traits>

namespace toucanlever
{

/// Starts the writer thread; `program` and `instance` open every line.
void start_log(std::string_view program, std::string_view instance);

/// Writes what is queued and stops the thread.
void stop_log();

/// Collects the pairs of one event and queues the line when it goes out of
/// scope.
class log_line
{
public:
    explicit log_line(std::string_view event);
    ~log_line();
    log_line(log_line const&) = delete;
    log_line& operator=(log_line const&) = delete;

    log_line& with(std::string_view key, std::string_view value);

    template <typename Integer>
    requires std::is_integral_v<Integer> log_line& with(
        std::string_view key, Integer value)
    {
        return this->with(key, std::string_view(std::to_string(value)));
    }

private:
    std::string text;
};

/// Escapes a value: quotes are added when it holds spaces, quotes, equals
/// signs or control characters.
std::string escape_log_value(std::string_view value);

} // namespace toucanlever
