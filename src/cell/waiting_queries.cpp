#include "toucanlever/cell/waiting_queries.hpp"

#include "toucanlever/core/metrics.hpp"

#include <algorithm>

namespace toucanlever
{
namespace
{

/// The job may still change its state, or its end is not durable.
bool is_open(lookup_result const& found)
{
    return found.outcome == lookup_outcome::found &&
           (found.state == work_state::queued ||
               found.state == work_state::running);
}

} // namespace

waiting_queries::waiting_queries(event_loop& loop, state_reader read_state)
    : loop(loop)
    , read_state(std::move(read_state))
{
}

waiting_queries::~waiting_queries()
{
    for (auto const& [job, query] : this->queries)
    {
        this->loop.cancel(query.timer);
    }
}

void waiting_queries::add(
    std::string const& job, milliseconds wait, callback done)
{
    lookup_result found = this->read_state(job);
    if (wait <= milliseconds(0) || !is_open(found) || this->stopped ||
        this->queries.size() >= max_queries)
    {
        done(found);
        return;
    }
    metrics().count("status_queries_waited");
    auto place = this->queries.emplace(
        job, waiting_query{this->loop.now(), std::move(done)});
    place->second.timer = this->loop.after(
        std::min(wait, max_wait), [this, place] { this->answer(place); });
}

void waiting_queries::answer(query_map::iterator query)
{
    lookup_result found = this->read_state(query->first);
    waiting_query ended = std::move(query->second);
    this->queries.erase(query);
    this->loop.cancel(ended.timer);
    metrics().observe(
        "status_wait_ms", std::chrono::duration_cast<milliseconds>(
                              this->loop.now() - ended.added_at)
                              .count());
    ended.done(found);
}

void waiting_queries::on_settled(std::string const& job)
{
    for (auto query = this->queries.find(job); query != this->queries.end();
         query = this->queries.find(job))
    {
        this->answer(query);
    }
}

void waiting_queries::answer_all()
{
    this->stopped = true;
    while (!this->queries.empty())
    {
        this->answer(this->queries.begin());
    }
}

} // namespace toucanlever
