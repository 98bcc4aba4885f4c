/// review-case NAME RECORD FOLDER: plays one case against a cell of
/// toucan-cell processes, which it starts in the current folder. Exits with 0
/// when the rule held, 1 when it was broken, 2 when the case could not run.
/// With TROUBLE=0 in the environment it leaves out the disruption.
#include "case.hpp"

#include <cstdlib>
#include <cstring>
#include <iostream>

namespace review
{
namespace
{

/// The writes of a transaction that store the job itself.
bool stores_job(json const& transaction, std::string const& job)
{
    for (json const& each : transaction.value("Writes", json::array()))
    {
        if (each.at("Table") == "jobs" && each.at("Key") == job)
        {
            return true;
        }
    }
    return false;
}

/// The store loses its history after jobs have been over for `status_s`.
verdict history_lost(small_cell& cell, bool trouble, int status_s)
{
    constexpr int jobs = 150;
    // With the time of a call, about 50 jobs a second, as on the sites.
    constexpr int gap_ms = 13;
    std::vector<submission> sent;
    for (int i = 0; i < jobs; ++i)
    {
        sent.push_back({next_job_id(), {}});
        cell.submit(sent.back(), i % 3, one_step(1, 100));
        small_cell::pause(gap_ms);
    }
    auto all_done = [&cell, &sent]
    {
        return std::all_of(sent.begin(), sent.end(),
            [&cell](submission const& job)
            {
                auto runs = cell.ledger.runs_of(job.id);
                return !job.accepted() ||
                       (!runs.empty() && runs.front().how == "done");
            });
    };
    if (!small_cell::wait(10000, all_done))
    {
        return verdict::not_run;
    }
    cell.record.note("all jobs have run");
    for (int i = 0; i < status_s * 1000 / 500; ++i)
    {
        // The cell stays in use.
        submission other{next_job_id(), {}};
        cell.submit(other, i % 3, one_step(1, 100));
        small_cell::pause(490);
    }
    small_cell::pause(1500);
    if (trouble)
    {
        cell.rows.forget_history();
    }
    small_cell::pause(5000);
    if (!cell.all_running())
    {
        return verdict::not_run;
    }
    auto again = starts_after_done(cell.ledger.runs());
    cell.record.note(std::to_string(again.size()) +
                     " starts of tasks that had ended done before");
    return again.empty() ? verdict::held : verdict::broken;
}

/// A runner carries out a start, its channel is reset, and it answers 503 for a
/// while.
verdict start_reset(small_cell& cell, bool trouble)
{
    int const runners = static_cast<int>(cell.workers.size());
    json apart{{"AntiAffinity", 1}};
    // Each runner gets some starts, so that its channels are in use.
    for (int i = 0; i < 3; ++i)
    {
        submission usual{next_job_id(), {}};
        cell.submit(usual, i % 3, one_step(runners, 300, apart));
        small_cell::wait(5000,
            [&cell, &usual, runners]
            {
                auto runs = cell.ledger.runs_of(usual.id);
                return static_cast<int>(runs.size()) == runners &&
                       std::all_of(runs.begin(), runs.end(),
                           [](run_record const& run)
                           { return run.how == "done"; });
            });
        small_cell::pause(300);
    }
    submission job{next_job_id(), {}};
    if (trouble)
    {
        auto seen = std::make_shared<std::atomic<int>>(0);
        cell.workers.front()->on_start(
            [seen, id = job.id](std::string const& task, std::int64_t)
            {
                if (!task.starts_with(id))
                {
                    return worker::start_treatment::usual;
                }
                return (*seen)++ == 0
                           ? worker::start_treatment::carry_out_and_reset
                           : worker::start_treatment::refuse;
            });
    }
    cell.submit(job, 0, one_step(runners - 1, 3000, apart));
    small_cell::pause(8000);
    if (!cell.all_running() || !job.accepted())
    {
        return verdict::not_run;
    }
    auto runs = cell.ledger.runs_of(job.id);
    bool broken =
        ran_twice_at_once(runs, 50) || !starts_after_done(runs).empty();
    return broken ? verdict::broken : verdict::held;
}

/// The store is down for 4.5 s; it carries out the transaction that is in
/// flight, but resets its channel.
verdict store_down(small_cell& cell, bool trouble)
{
    int const nodes = static_cast<int>(cell.nodes.size());
    for (int i = 0; i < 10; ++i)
    {
        submission usual{next_job_id(), {}};
        cell.submit(usual, i % nodes, one_step(1, 50));
    }
    submission job{next_job_id(), {}};
    std::atomic<bool> down = false;
    if (trouble)
    {
        cell.rows.on_transaction(
            [&cell, &down, nodes, id = job.id](
                int, request const&, json const& transaction)
            {
                if (!stores_job(transaction, id) || down.exchange(true))
                {
                    return treatment{};
                }
                for (int node = 0; node < nodes; ++node)
                {
                    cell.rows.turn_away(node, true);
                }
                return treatment{0, delivery::reset};
            });
    }
    std::int64_t until = now_ms() + 4500;
    // The first attempt and the usual four retries, at other nodes.
    for (int attempt = 0; attempt < 5 && !job.accepted(); ++attempt)
    {
        cell.submit(job, attempt % nodes, one_step(1, 500));
        small_cell::pause(job.accepted() ? 0 : 800);
    }
    small_cell::wait(10000, [until] { return now_ms() >= until; });
    for (int node = 0; trouble && node < nodes; ++node)
    {
        cell.rows.turn_away(node, false);
    }
    small_cell::pause(15000);
    cell.rows.on_transaction(nullptr);
    if (!cell.all_running())
    {
        return verdict::not_run;
    }
    bool ran = !cell.ledger.runs_of(job.id).empty();
    return job.rejected() && ran ? verdict::broken : verdict::held;
}

/// The channel of the transaction that stores a job is reset; the job is
/// accepted, and cancelled at once.
verdict prompt_cancel(small_cell& cell, bool trouble)
{
    constexpr int cancel_ms = 3000;
    for (int i = 0; i < 10; ++i)
    {
        submission usual{next_job_id(), {}};
        cell.submit(usual, i % 3, one_step(1, 50));
    }
    int const leader = cell.leader();
    int const other = (leader + 1) % 3;
    submission job{next_job_id(), {}};
    std::atomic<bool> reset = false;
    if (trouble)
    {
        cell.rows.on_transaction(
            [&reset, id = job.id](int, request const&, json const& transaction)
            {
                bool first =
                    stores_job(transaction, id) && !reset.exchange(true);
                return treatment{0, first ? delivery::reset : delivery::answer};
            });
    }
    json first{{"Count", 1}, {"Cpu", 1000}, {"EstimatedMs", 4000}};
    json second = first;
    second["After"] = {0};
    std::string body =
        json{{"Specification", "ms=4000"}, {"Steps", {first, second}}}.dump();
    // Other jobs come before it, as they do on the site all the time.
    submission usual{next_job_id(), {}};
    cell.submit(usual, other, one_step(1, 50));
    small_cell::pause(20);
    cell.submit(job, other, body);
    answer cancelled = cell.cancel(job.id, other);
    std::int64_t cancelled_at = now_ms();
    cell.rows.on_transaction(nullptr);
    bool acknowledged = cancelled.status == 410 ||
                        (cancelled.status >= 200 && cancelled.status < 300);
    small_cell::pause(15000);
    cell.look_up(job.id, other);
    if (!cell.all_running() || !job.accepted() || !acknowledged)
    {
        return verdict::not_run;
    }
    bool broken = false;
    for (run_record const& run : cell.ledger.runs_of(job.id))
    {
        broken = broken || run.started_ms > cancelled_at + cancel_ms;
    }
    return broken ? verdict::broken : verdict::held;
}

/// A runner leaves the starts of a task unanswered. It is cut off, starts again
/// behind the cut, and then carries them out.
verdict late_start(small_cell& cell, bool trouble)
{
    constexpr int cut_ms = 4500;
    submission job{next_job_id(), {}};
    worker& late = *cell.workers.front();
    if (trouble)
    {
        late.on_start(
            [id = job.id](std::string const& task, std::int64_t)
            {
                return task.starts_with(id)
                           ? worker::start_treatment::carry_out_late
                           : worker::start_treatment::usual;
            });
    }
    // Other jobs are so large that the task is placed on another runner when it
    // is placed again: the one with the least room is taken first.
    submission first{next_job_id(), {}};
    submission second{next_job_id(), {}};
    cell.submit(first, 0, one_step(1, 60000, {{"Cpu", 10000}}));
    small_cell::pause(300);
    std::int64_t begin = now_ms();
    cell.submit(job, 0, one_step(1, 8000));
    small_cell::pause(100);
    cell.submit(second, 0, one_step(1, 60000, {{"Cpu", 25000}}));
    bool placed = small_cell::wait(
        5000, [&cell, &job] { return !cell.ledger.runs_of(job.id).empty(); });
    if (placed && trouble)
    {
        late.on_start(nullptr);
        late.cut_off(true);
        std::int64_t healed = now_ms() + cut_ms;
        late.crash();
        late.restart();
        // Orders are carried out 2 to 12 s late.
        small_cell::wait(10000, [begin] { return now_ms() >= begin + 2500; });
        late.carry_out_late_orders();
        small_cell::wait(10000, [healed] { return now_ms() >= healed; });
        late.cut_off(false);
    }
    small_cell::pause(12000);
    if (!cell.all_running() || !job.accepted() || !placed)
    {
        return verdict::not_run;
    }
    auto runs = cell.ledger.runs_of(job.id);
    bool broken =
        ran_twice_at_once(runs, 50) || !starts_after_done(runs).empty();
    return broken ? verdict::broken : verdict::held;
}

verdict play(std::string const& name, recorder& record,
    std::string const& folder, bool trouble)
{
    constexpr int status_s = 90;
    cell_options options;
    options.keep_ended_s = name == "history-lost" ? status_s : 120;
    options.workers = name == "start-reset" ? 9 : 8;
    small_cell cell(options, folder, record);
    if (!cell.start())
    {
        record.note("the cell did not start");
        return verdict::not_run;
    }
    record.note(trouble ? "with the disruption" : "without the disruption");
    if (name == "history-lost")
    {
        return history_lost(cell, trouble, status_s);
    }
    if (name == "start-reset")
    {
        return start_reset(cell, trouble);
    }
    if (name == "store-down")
    {
        return store_down(cell, trouble);
    }
    if (name == "prompt-cancel")
    {
        return prompt_cancel(cell, trouble);
    }
    if (name == "late-start")
    {
        return late_start(cell, trouble);
    }
    return verdict::not_run;
}

} // namespace
} // namespace review

int main(int argc, char** argv)
{
    if (argc != 4)
    {
        std::cerr << "usage: review-case NAME RECORD FOLDER\n";
        return 2;
    }
    char const* setting = std::getenv("TROUBLE");
    bool trouble = setting == nullptr || std::strcmp(setting, "0") != 0;
    review::now_ms();
    review::recorder record(argv[2]);
    auto result = review::verdict::not_run;
    try
    {
        result = review::play(argv[1], record, argv[3], trouble);
    }
    catch (std::exception const& problem)
    {
        record.note(std::string("the case could not run: ") + problem.what());
    }
    char const* text = result == review::verdict::held ? "the rule held"
                       : result == review::verdict::broken
                           ? "the rule was broken"
                           : "the case could not run";
    record.note(text);
    std::cout << argv[1] << ": " << text << "\n";
    return static_cast<int>(result);
}
