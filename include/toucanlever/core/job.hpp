/// Jobs as callers declare them and as every process speaks of them.
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

/// Where a job stands. States after `running` are terminal and never change.
enum class job_state : std::uint8_t
{
    queued,
    running,
    succeeded,
    failed,
    cancelled,
    rejected,
    not_run,
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

/// What a caller asked for.
struct job_spec
{
    std::string customer;
    std::string name;
    job_kind kind = job_kind::batch;
    /// Needed by each task.
    resources need;
    /// More than one only for gangs.
    std::uint32_t tasks = 1;
    bool idempotent = true;
    bool urgent = false;
    /// The caller's guess at its run time; 0 when not given.
    std::int64_t declared_run_ms = 0;
    /// Started later than this after submission it has no value; 0 for none.
    std::int64_t deadline_ms = 0;
    std::string input;

    MSGPACK_DEFINE(customer, name, kind, need, tasks, idempotent, urgent,
        declared_run_ms, deadline_ms, input)
};

/// What is known about one job, as answered to its caller.
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
    /// Set when another incarnation answers for the job now.
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

/// Checks a caller's JSON and builds the job. Throws an `error` that names
/// the field and what was expected. The customer is set by the caller of
/// this function, never read from the text.
job_spec parse_job_spec(std::string const& text);

/// Parses JSON with a bound on depth and strict UTF-8; throws an `error`.
nlohmann::json parse_json(std::string const& text, std::string const& step);

/// The caller's JSON for a view.
std::string view_to_json(job_view const& view);

} // namespace toucanlever
