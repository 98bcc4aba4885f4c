/// How far a task is kept apart from those of other jobs, because workers have
/// crashed under it.
#pragma once

namespace toucanlever
{

/// Beside which tasks of other jobs a task may be placed. Nothing is placed
/// beside a task that is isolated, whatever the extent.
enum class isolation
{
    /// Any that are not isolated.
    none,
    /// None.
    from_all,
    /// Long-running ones: the others end at some time.
    from_ending_work,
    /// Any that run already and are not isolated.
    from_new_work
};

} // namespace toucanlever
