#include "toucanlever/core/log.hpp"

#include <condition_variable>
#include <deque>
#include <easylogging++.h>
#include <mutex>
#include <thread>

INITIALIZE_EASYLOGGINGPP

namespace toucanlever
{
namespace
{

constexpr std::size_t max_queued_lines = 65536;

/// Writes queued lines to standard output on its own thread.
class log_writer
{
public:
    void start(std::string_view program, std::string_view instance)
    {
        el::Configurations conf;
        conf.setToDefault();
        conf.setGlobally(el::ConfigurationType::ToFile, "false");
        conf.setGlobally(el::ConfigurationType::Format,
            "time=%datetime{%Y-%M-%dT%H:%m:%s.%g} %msg");
        el::Loggers::reconfigureAllLoggers(conf);
        this->prefix = "program=" + escape_log_value(program) +
                       " instance=" + escape_log_value(instance) + " ";
        this->running = true;
        this->thread = std::thread([this] { this->run(); });
    }

    void stop()
    {
        {
            std::lock_guard lock(this->mutex);
            if (!this->running)
            {
                return;
            }
            this->running = false;
        }
        this->wake.notify_one();
        this->thread.join();
    }

    void push(std::string line)
    {
        std::lock_guard lock(this->mutex);
        if (!this->running)
        {
            return;
        }
        if (this->lines.size() >= max_queued_lines)
        {
            ++this->dropped;
            return;
        }
        this->lines.push_back(std::move(line));
        if (this->lines.size() == 1)
        {
            this->wake.notify_one();
        }
    }

private:
    void run()
    {
        std::unique_lock lock(this->mutex);
        while (this->running || !this->lines.empty())
        {
            this->wake.wait(lock,
                [this] { return !this->running || !this->lines.empty(); });
            std::deque<std::string> batch;
            batch.swap(this->lines);
            std::uint64_t dropped_lines = std::exchange(this->dropped, 0);
            lock.unlock();
            this->write(batch, dropped_lines);
            lock.lock();
        }
    }

    void write(
        std::deque<std::string> const& batch, std::uint64_t dropped_lines)
    {
        for (std::string const& line : batch)
        {
            LOG(INFO) << this->prefix << line;
        }
        if (dropped_lines > 0)
        {
            LOG(INFO) << this->prefix
                      << "event=log-dropped lines=" << dropped_lines;
        }
    }

    std::mutex mutex;
    std::condition_variable wake;
    // Invariant: never longer than max_queued_lines.
    std::deque<std::string> lines;
    std::uint64_t dropped = 0;
    bool running = false;
    std::string prefix;
    std::thread thread;
};

log_writer& writer()
{
    static log_writer instance;
    return instance;
}

bool needs_quotes(std::string_view value)
{
    if (value.empty())
    {
        return true;
    }
    for (unsigned char c : value)
    {
        if (c <= ' ' || c == '"' || c == '=' || c == '\\' || c == 0x7f)
        {
            return true;
        }
    }
    return false;
}

} // namespace

void start_log(std::string_view program, std::string_view instance)
{
    writer().start(program, instance);
}

void stop_log()
{
    writer().stop();
}

log_line::log_line(std::string_view event)
{
    this->with("event", event);
}

log_line::~log_line()
{
    writer().push(std::move(this->text));
}

log_line& log_line::with(std::string_view key, std::string_view value)
{
    if (!this->text.empty())
    {
        this->text += ' ';
    }
    this->text += key;
    this->text += '=';
    this->text += escape_log_value(value);
    return *this;
}

std::string escape_log_value(std::string_view value)
{
    if (!needs_quotes(value))
    {
        return std::string(value);
    }
    std::string out = "\"";
    for (unsigned char c : value)
    {
        if (c == '"' || c == '\\')
        {
            out += '\\';
            out += static_cast<char>(c);
        }
        else if (c < ' ' || c == 0x7f)
        {
            static constexpr char digits[] = "0123456789abcdef";
            out += "\\x";
            out += digits[c >> 4U];
            out += digits[c & 15U];
        }
        else
        {
            out += static_cast<char>(c);
        }
    }
    return out + '"';
}

} // namespace toucanlever
