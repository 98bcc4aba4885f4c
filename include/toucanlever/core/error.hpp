/// The error type shared by all modules: what failed, at which step, with
/// which peer, and whether the requested work ran.
#pragma once

#include "toucanlever/core/enum_names.hpp"

#include <stdexcept>
#include <string>

namespace toucanlever
{

/// Kinds of failure that callers and operators see.
enum class error_code
{
    bad_request,
    unauthenticated,
    not_found,
    conflict,
    key_reused,
    too_large,
    timeout,
    limited,
    unavailable,
    rejected,
    outcome_unknown,
    internal
};

template <>
struct enum_table<error_code>
{
    static constexpr std::array rows{
        enum_name<error_code>{error_code::bad_request, "bad-request"},
        enum_name<error_code>{error_code::unauthenticated, "unauthenticated"},
        enum_name<error_code>{error_code::not_found, "not-found"},
        enum_name<error_code>{error_code::conflict, "conflict"},
        enum_name<error_code>{error_code::key_reused, "key-reused"},
        enum_name<error_code>{error_code::too_large, "too-large"},
        enum_name<error_code>{error_code::timeout, "timeout"},
        enum_name<error_code>{error_code::limited, "limited"},
        enum_name<error_code>{error_code::unavailable, "unavailable"},
        enum_name<error_code>{error_code::rejected, "rejected"},
        enum_name<error_code>{error_code::outcome_unknown, "outcome-unknown"},
        enum_name<error_code>{error_code::internal, "internal"}};
};

/// Whether the work of a failed request ran.
enum class run_state
{
    no,
    yes,
    unknown
};

template <>
struct enum_table<run_state>
{
    static constexpr std::array rows{enum_name<run_state>{run_state::no, "no"},
        enum_name<run_state>{run_state::yes, "yes"},
        enum_name<run_state>{run_state::unknown, "unknown"}};
};

/// An error with the step that failed and the peer concerned.
class error : public std::runtime_error
{
public:
    error(error_code code, std::string const& message, std::string step,
        std::string peer = {}, run_state ran = run_state::no)
        : std::runtime_error(message)
        , code(code)
        , step(std::move(step))
        , peer(std::move(peer))
        , ran(ran)
    {
    }

    error_code code;
    std::string step;
    std::string peer;
    run_state ran;
};

} // namespace toucanlever
