/// Jobs: what callers submit, and what processes report about them.
#pragma once

#include "toucanlever/core/enum_names.hpp"
#include "toucanlever/core/resources.hpp"

#include <cstdint>
#include <msgpack.hpp>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace toucanlever
{

/// How a job is placed. Requests are routed to runners and never become jobs.
enum class job_kind : std::uint8_t
{
    batch,
    service,
    gang
};

template <>
struct enum_table<job_kind>
{
    static constexpr std::array rows{
        enum_name<job_kind>{job_kind::batch, "batch"},
        enum_name<job_kind>{job_kind::service, "service"},
        enum_name<job_kind>{job_kind::gang, "gang"}};
};

/// The state of a job. States after `running` are terminal and never change.
enum class job_state : std::uint8_t
{
    queued,
    running,
    succeeded,
    failed,
    cancelled,
    rejected,
    /// Ended before any start.
    not_run,
    /// May have run: a worker that ran it, or may have run it, was lost.
    unknown
};

template <>
struct enum_table<job_state>
{
    static constexpr std::array rows{
        enum_name<job_state>{job_state::queued, "queued"},
        enum_name<job_state>{job_state::running, "running"},
        enum_name<job_state>{job_state::succeeded, "succeeded"},
        enum_name<job_state>{job_state::failed, "failed"},
        enum_name<job_state>{job_state::cancelled, "cancelled"},
        enum_name<job_state>{job_state::rejected, "rejected"},
        enum_name<job_state>{job_state::not_run, "not-run"},
        enum_name<job_state>{job_state::unknown, "unknown"}};
};

constexpr bool is_terminal(job_state state)
{
    return state != job_state::queued && state != job_state::running;
}

/// A job as submitted by its caller.
struct job_spec
{
    std::string customer;
    std::string name;
    job_kind kind = job_kind::batch;
    /// Resources of each task.
    resources need;
    /// More than one only for gangs.
    std::uint32_t tasks = 1;
    bool idempotent = true;
    bool urgent = false;
    /// The caller's estimate of the run time; 0 when not given.
    std::int64_t declared_run_ms = 0;
    /// Latest useful start, as time after submission; 0 for no deadline. Only
    /// orders the queue: a late job still starts.
    std::int64_t deadline_ms = 0;
    std::string input;

    MSGPACK_DEFINE(customer, name, kind, need, tasks, idempotent, urgent,
        declared_run_ms, deadline_ms, input)
};

/// The status of one job, as reported to its caller.
struct job_view
{
    std::string id;
    std::string customer;
    std::string name;
    job_kind kind = job_kind::batch;
    job_state state = job_state::queued;
    std::uint32_t attempts = 0;
    std::string worker;
    std::string reason;
    /// From acceptance to the first confirmed start; -1 before that.
    std::int64_t waited_ms = -1;
    std::string result;
    /// The incarnation that is responsible for the job now, when it is another
    /// one.
    std::string moved_to;

    MSGPACK_DEFINE(id, customer, name, kind, state, attempts, worker, reason,
        waited_ms, result, moved_to)
};

} // namespace toucanlever

MSGPACK_ADD_ENUM(toucanlever::job_kind)
MSGPACK_ADD_ENUM(toucanlever::job_state)

namespace toucanlever
{

template <typename Enum>
void enum_to_json(nlohmann::json& json, Enum value)
{
    json = std::string(name_of(value));
}

template <typename Enum>
void enum_from_json(nlohmann::json const& json, Enum& value)
{
    auto found = parse_enum<Enum>(json.get<std::string>());
    if (!found)
    {
        throw std::invalid_argument("unknown name " + json.dump());
    }
    value = *found;
}

inline void to_json(nlohmann::json& json, job_kind value)
{
    enum_to_json(json, value);
}

inline void from_json(nlohmann::json const& json, job_kind& value)
{
    enum_from_json(json, value);
}

inline void to_json(nlohmann::json& json, job_state value)
{
    enum_to_json(json, value);
}

inline void from_json(nlohmann::json const& json, job_state& value)
{
    enum_from_json(json, value);
}

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(job_spec, customer, name, kind,
    need, tasks, idempotent, urgent, declared_run_ms, deadline_ms, input)

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(job_view, id, customer, name,
    kind, state, attempts, worker, reason, waited_ms, result)

/// Validates a caller's JSON and builds the job. Throws an `error` that names
/// the field and the expected value. Never reads the customer from the text:
/// the caller of this function sets it.
job_spec parse_job_spec(std::string const& text);

/// Parses JSON. Throws an `error` for invalid UTF-8, invalid JSON, or JSON
/// nested too deeply.
nlohmann::json parse_json(std::string const& text, std::string const& step);

/// The JSON that a caller receives for a job.
std::string view_to_json(job_view const& view);

} // namespace toucanlever
