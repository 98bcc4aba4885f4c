/// HTTP status codes by name.
#pragma once

namespace toucanlever::http_status
{

inline constexpr int ok = 200;
inline constexpr int bad_request = 400;
inline constexpr int unauthorized = 401;
inline constexpr int not_found = 404;
inline constexpr int method_not_allowed = 405;
inline constexpr int conflict = 409;
inline constexpr int gone = 410;
inline constexpr int precondition_failed = 412;
inline constexpr int misdirected_request = 421;
inline constexpr int too_many_requests = 429;
inline constexpr int unavailable = 503;
inline constexpr int gateway_timeout = 504;

/// True for a response with which the peer says that it has not done what was
/// requested. Other errors leave that open: the peer, or a proxy before it, may
/// have failed after the request was carried out.
constexpr bool is_refusal(int status)
{
    return (status >= 400 && status < 500) || status == unavailable;
}

} // namespace toucanlever::http_status
