/// Decodes JSON answers of other programs. A malformed answer is logged and
/// counts as no answer: a faulty peer must not end this process.
#pragma once

#include "toucanlever/core/log.hpp"
#include "toucanlever/core/metrics.hpp"

#include <exception>
#include <string_view>

namespace toucanlever
{

/// The result of `decode`, or `fallback` when it throws.
template <typename Result, typename Decode>
Result read_answer(std::string_view step, Result fallback, Decode decode)
{
    try
    {
        return decode();
    }
    catch (std::exception const& problem)
    {
        metrics().count("answers_unreadable");
        log_line("answer-unreadable")
            .with("step", step)
            .with("reason", problem.what());
        return fallback;
    }
}

} // namespace toucanlever
