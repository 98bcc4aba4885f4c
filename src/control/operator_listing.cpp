#include "toucanlever/control/operator_listing.hpp"

#include "toucanlever/core/metrics.hpp"

namespace toucanlever
{
namespace
{

// Bounds the size of the answer.
constexpr std::size_t max_listed_jobs = 2000;

} // namespace

std::string operator_listing::answer(
    operator_query const& query, scheduler_state const& own) const
{
    if (query.what == "members")
    {
        return this->list_members(own);
    }
    if (query.what == "workers")
    {
        return this->list_workers(own);
    }
    if (query.what == "jobs")
    {
        return this->list_jobs();
    }
    if (query.what == "explain")
    {
        nlohmann::json json{{"job", query.argument},
            {"explanation", this->jobs->explain(query.argument)}};
        return json.dump();
    }
    if (query.what == "metrics")
    {
        nlohmann::json json{
            {"name", own.name}, {"text", metrics().prometheus()}};
        return json.dump();
    }
    throw error(error_code::not_found, "no such listing: " + query.what,
        "operator-query");
}

std::string operator_listing::list_members(scheduler_state const& own) const
{
    nlohmann::json list = nlohmann::json::array();
    list.push_back({{"incarnation", own.incarnation}, {"domain", own.domain},
        {"address", own.address}, {"ready", own.ready},
        {"leaving", own.leaving}, {"revision", own.config_revision},
        {"preset", this->configuration.snapshot().preset},
        {"queued", own.queued}, {"open_jobs", own.running},
        {"serves", own.serves.size()},
        {"workers", this->placement.view().size()}});
    return list.dump();
}

std::string operator_listing::list_workers(scheduler_state const& own) const
{
    nlohmann::json list = nlohmann::json::array();
    for (auto const& entry : this->workers.all())
    {
        worker_session const& worker = *entry.second;
        if (!worker.holds_control())
        {
            continue;
        }
        list.push_back(
            {{"worker", entry.first}, {"domain", worker.info().domain},
                {"rack", worker.info().rack}, {"scheduler", own.name},
                {"epoch", worker.epoch()}, {"leaving", worker.info().leaving},
                {"suspected", this->health.is_suspected(entry.first)},
                {"capacity", worker.capacity()}, {"free", worker.free()},
                {"tasks", worker.task_list().size()}});
    }
    return list.dump();
}

std::string operator_listing::list_jobs() const
{
    nlohmann::json list = nlohmann::json::array();
    for (job_view const& view : this->jobs->records().list(max_listed_jobs))
    {
        list.push_back({{"id", view.id}, {"customer", view.customer},
            {"name", view.name}, {"kind", view.kind}, {"state", view.state},
            {"worker", view.worker}, {"waited_ms", view.waited_ms},
            {"attempts", view.attempts}});
    }
    return list.dump();
}

} // namespace toucanlever
