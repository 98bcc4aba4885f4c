/// Structured logs: one line of key=value pairs for each event.
///
/// A separate thread writes the lines to standard output through
/// easylogging++. The queue to it is bounded, so that a blocked output cannot
/// block the event loop. Lines that do not fit are dropped, counted and
/// reported.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <type_traits>

namespace toucanlever
{

/// Starts the writer thread. Every line begins with `program` and `instance`.
void start_log(std::string_view program, std::string_view instance);

/// Writes the queued lines and stops the writer thread.
void stop_log();

/// Collects the pairs of one event; the destructor queues the line.
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

/// Quotes and escapes a value that is empty or has spaces, quotes,
/// backslashes, equals signs or control characters.
std::string escape_log_value(std::string_view value);

} // namespace toucanlever
