/// Feeds arbitrary bytes to the readers of workers' entries and reports. An
/// entry that names a worker must be safe to call, to add up and to record.
#include "decode.hpp"

#include "toucanlever/core/settings_file.hpp"
#include "toucanlever/wire/codec.hpp"

#include <cstddef>
#include <cstdint>

using namespace toucanlever;

namespace
{

/// 90 workers are recorded in one transaction of at most 1 MB, as base64.
constexpr std::size_t max_record_bytes = 8192;
/// The sum over this many workers must not overflow.
constexpr std::int64_t max_workers = 10000;

bool is_safe(worker_entry const& worker)
{
    for (std::size_t i = 0; i < resources::dimensions; ++i)
    {
        std::int64_t product = 0;
        if (worker.capacity.at(i) < 0 ||
            __builtin_mul_overflow(
                worker.capacity.at(i), max_workers, &product))
        {
            return false;
        }
    }
    return is_address(worker.address) && !worker.service.empty() &&
           pack(worker).size() <= max_record_bytes;
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(
    std::uint8_t const* data, std::size_t size)
{
    std::string body(reinterpret_cast<char const*>(data), size);
    auto worker = strekbod::decode_worker("id", body);
    if (worker && !is_safe(*worker))
    {
        __builtin_trap();
    }
    watch_result report = strekbod::decode_watch(body);
    for (running_task const& task : report.running)
    {
        if (task.progress < 0 || task.progress > 100)
        {
            __builtin_trap();
        }
    }
    return 0;
}
