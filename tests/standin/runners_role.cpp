#include "runners_role.hpp"

#include <algorithm>

namespace standin
{
namespace
{

constexpr std::int64_t default_run_ms = 20;

toucanlever::http_limits server_limits()
{
    toucanlever::http_limits limits;
    limits.max_connections = 16384;
    limits.max_body_bytes = 64U * 1024U * 1024U;
    return limits;
}

} // namespace

runners_role::runners_role(toucanlever::event_loop& loop,
    std::string const& address, std::string const& instances_file)
    : loop(loop)
    , server(loop, address, *this, server_limits())
{
    for (json const& each : read_file(instances_file))
    {
        std::string url = each.value("address", "");
        bool is_local = each.value("role", "") == "runner" &&
                        url.find("http://" + address + "/") == 0;
        if (is_local)
        {
            simulated_runner& runner = this->runners[each["id"]];
            runner.id = each["id"];
            runner.slots = each.value("slots", 0U);
        }
    }
}

void runners_role::on_request(toucanlever::http_request request,
    std::shared_ptr<toucanlever::http_exchange> exchange)
{
    if (request.path.rfind("/admin/", 0) == 0)
    {
        this->admin(request, exchange);
        return;
    }
    split_path path = split_after(request.path, 2);
    auto found = this->runners.find(path.head.substr(3));
    if (found == this->runners.end())
    {
        answer(exchange, 404, json::object());
        return;
    }
    if (found->second.frozen)
    {
        this->held_exchanges.push_back(exchange);
        return;
    }
    this->execute(found->second, request, exchange);
}

void runners_role::execute(simulated_runner& runner,
    toucanlever::http_request const& request, exchange_ptr const& exchange)
{
    std::string id =
        toucanlever::find_field(request.headers, "X-Request-Id").value_or("");
    std::string run_ms_text =
        toucanlever::find_field(request.headers, "X-Run-Ms").value_or("");
    std::int64_t run_ms =
        run_ms_text.empty() ? default_run_ms : std::atoll(run_ms_text.c_str());
    ++runner.busy;
    runner.max_busy = std::max(runner.max_busy, runner.busy);
    this->ledger.push_back({{"runner", runner.id}, {"request", id},
        {"body", request.body}, {"busy", runner.busy}, {"slots", runner.slots},
        {"at_us", this->loop.now().time_since_epoch().count()}});
    this->loop.after(toucanlever::milliseconds(run_ms),
        [this, &runner, exchange, body = request.body]
        {
            --runner.busy;
            if (runner.drops_answers)
            {
                this->held_exchanges.push_back(exchange);
                return;
            }
            toucanlever::http_response response;
            response.headers.push_back({"Content-Type", "text/plain"});
            response.body = "confirmed:" + body;
            exchange->answer(std::move(response));
        });
}

void runners_role::admin(
    toucanlever::http_request const& request, exchange_ptr const& exchange)
{
    if (request.path == "/admin/ledger")
    {
        json peaks = json::object();
        for (auto const& entry : this->runners)
        {
            peaks[entry.first] = entry.second.max_busy;
        }
        answer(
            exchange, 200, {{"requests", this->ledger}, {"most_busy", peaks}});
        return;
    }
    json body = parse(request.body);
    std::string fault = body.value("fault", "");
    std::string target = body.value("runner", "");
    for (auto& entry : this->runners)
    {
        simulated_runner& runner = entry.second;
        if (!target.empty() && target != runner.id)
        {
            continue;
        }
        runner.frozen = fault == "freeze" || (runner.frozen && fault != "thaw");
        runner.drops_answers =
            fault == "mute" || (runner.drops_answers && fault != "unmute");
    }
    answer(exchange, 200, json::object());
}

} // namespace standin
