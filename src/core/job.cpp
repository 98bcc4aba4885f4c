#include "toucanlever/core/job.hpp"

#include "toucanlever/core/error.hpp"

#include <algorithm>

namespace toucanlever
{
namespace
{

constexpr int max_json_depth = 16;
constexpr std::size_t max_name_bytes = 200;
constexpr std::size_t max_input_bytes = 65536;
constexpr std::int64_t max_cpu_millis = 1'000'000;
constexpr std::int64_t max_memory_bytes = std::int64_t(1) << 50;
constexpr std::int64_t max_accelerators = 1024;
constexpr std::int64_t max_tasks = 4096;
constexpr std::int64_t max_time_ms = std::int64_t(366) * 24 * 3600 * 1000;

[[noreturn]] void refuse(std::string const& message)
{
    throw error(error_code::bad_request, message, "parse-job");
}

std::int64_t integer(nlohmann::json const& json, char const* key,
    std::int64_t min, std::int64_t max, std::int64_t fallback)
{
    if (!json.contains(key))
    {
        return fallback;
    }
    nlohmann::json const& value = json[key];
    bool fits = value.is_number_integer();
    if (value.is_number_unsigned())
    {
        fits = value.get<std::uint64_t>() <= static_cast<std::uint64_t>(max);
    }
    if (!fits || value.get<std::int64_t>() < min ||
        value.get<std::int64_t>() > max)
    {
        refuse(std::string(key) + ": expected an integer from " +
               std::to_string(min) + " to " + std::to_string(max));
    }
    return value.get<std::int64_t>();
}

bool flag(nlohmann::json const& json, char const* key, bool fallback)
{
    if (!json.contains(key))
    {
        return fallback;
    }
    if (!json[key].is_boolean())
    {
        refuse(std::string(key) + ": expected true or false");
    }
    return json[key].get<bool>();
}

std::string text(nlohmann::json const& json, char const* key,
    std::size_t max_bytes, std::string const& fallback)
{
    if (!json.contains(key))
    {
        return fallback;
    }
    if (!json[key].is_string() ||
        json[key].get_ref<std::string const&>().size() > max_bytes)
    {
        refuse(std::string(key) + ": expected text of at most " +
               std::to_string(max_bytes) + " bytes");
    }
    return json[key].get<std::string>();
}

void check_keys(nlohmann::json const& json)
{
    static constexpr std::array<std::string_view, 11> known{"name", "kind",
        "cpu_millis", "memory_bytes", "accelerators", "tasks", "idempotent",
        "urgent", "declared_run_ms", "deadline_ms", "input"};
    for (auto const& item : json.items())
    {
        if (std::find(known.begin(), known.end(), item.key()) == known.end())
        {
            refuse(item.key() + ": unknown field");
        }
    }
}

job_kind kind_of(nlohmann::json const& json)
{
    std::string name = text(json, "kind", max_name_bytes, "batch");
    auto kind = parse_enum<job_kind>(name);
    if (!kind)
    {
        refuse("kind: expected batch, service or gang");
    }
    return *kind;
}

} // namespace

nlohmann::json parse_json(std::string const& text, std::string const& step)
{
    bool too_deep = false;
    auto check_depth =
        [&too_deep](int depth, nlohmann::json::parse_event_t, nlohmann::json&)
    {
        too_deep = too_deep || depth > max_json_depth;
        return !too_deep;
    };
    nlohmann::json parsed =
        nlohmann::json::parse(text, check_depth, /*allow_exceptions=*/false);
    if (too_deep)
    {
        throw error(error_code::bad_request,
            "JSON is nested deeper than " + std::to_string(max_json_depth),
            step);
    }
    if (parsed.is_discarded())
    {
        throw error(
            error_code::bad_request, "body is not valid UTF-8 JSON", step);
    }
    return parsed;
}

job_spec parse_job_spec(std::string const& body)
{
    nlohmann::json json = parse_json(body, "parse-job");
    if (!json.is_object())
    {
        refuse("expected an object");
    }
    check_keys(json);
    job_spec spec;
    spec.name = text(json, "name", max_name_bytes, "unnamed");
    spec.kind = kind_of(json);
    spec.need.cpu_millis = integer(json, "cpu_millis", 1, max_cpu_millis, 1000);
    spec.need.memory_bytes =
        integer(json, "memory_bytes", 1, max_memory_bytes, 1 << 28);
    spec.need.accelerators =
        integer(json, "accelerators", 0, max_accelerators, 0);
    spec.tasks =
        static_cast<std::uint32_t>(integer(json, "tasks", 1, max_tasks, 1));
    if (spec.tasks > 1 && spec.kind != job_kind::gang)
    {
        refuse("tasks: only a gang has more than one");
    }
    spec.idempotent = flag(json, "idempotent", true);
    spec.urgent = flag(json, "urgent", false);
    spec.declared_run_ms = integer(json, "declared_run_ms", 0, max_time_ms, 0);
    spec.deadline_ms = integer(json, "deadline_ms", 0, max_time_ms, 0);
    spec.input = text(json, "input", max_input_bytes, "");
    return spec;
}

std::string view_to_json(job_view const& view)
{
    nlohmann::json json = view;
    json.erase("result");
    json.erase("customer");
    return json.dump();
}

} // namespace toucanlever
