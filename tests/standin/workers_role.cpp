#include "workers_role.hpp"

#include "toucanlever/core/ids.hpp"

#include <algorithm>

namespace standin
{
namespace
{

using toucanlever::resources;

constexpr toucanlever::milliseconds tick_period{10};
constexpr std::int64_t checkpoint_duration_ms = 50;
// A checkpoint is the text "ran_ms=N" with N milliseconds of completed work.
constexpr char const* checkpoint_field = "ran_ms";

toucanlever::http_limits server_limits()
{
    toucanlever::http_limits limits;
    limits.max_connections = 16384;
    return limits;
}

resources used_by(
    simulated_worker const& worker, std::string const& except_owner)
{
    resources sum{};
    for (auto const& entry : worker.tasks)
    {
        if (entry.second.state == "running" &&
            entry.second.owner != except_owner)
        {
            sum += entry.second.need;
        }
    }
    return sum;
}

std::int64_t option(
    std::string const& input, std::string const& name, std::int64_t fallback)
{
    auto at = input.find(name + "=");
    return at == std::string::npos
               ? fallback
               : std::atoll(input.c_str() + at + name.size() + 1);
}

/// Extracts the caller's mark from a task's input or result, for the ledger.
std::string mark_of(std::string const& text)
{
    auto at = text.find("mark=");
    return at == std::string::npos ? "" : text.substr(at + 5);
}

} // namespace

workers_role::workers_role(toucanlever::event_loop& loop,
    std::string const& address, std::string const& instances_file)
    : loop(loop)
    , server(loop, address, *this, server_limits())
{
    for (json const& each : read_file(instances_file))
    {
        std::string url = each.value("address", "");
        bool is_local = each.value("role", "") == "worker" &&
                        url.find("http://" + address + "/") == 0;
        if (is_local)
        {
            simulated_worker& worker = this->workers[each["id"]];
            worker.id = each["id"];
            worker.incarnation = toucanlever::random_token();
            worker.capacity = each["capacity"].get<resources>();
        }
    }
    loop.every(tick_period, [this] { this->tick(); });
}

void workers_role::on_request(toucanlever::http_request request,
    std::shared_ptr<toucanlever::http_exchange> exchange)
{
    if (request.path.rfind("/admin/", 0) == 0)
    {
        this->admin(request, exchange);
        return;
    }
    split_path path = split_after(request.path, 2);
    auto found = this->workers.find(path.head.substr(3));
    if (found == this->workers.end())
    {
        answer(exchange, 404, json::object());
        return;
    }
    ++this->calls;
    if (found->second.unreachable || found->second.frozen)
    {
        this->held_exchanges.emplace_back(&found->second, exchange);
        return;
    }
    this->serve(found->second, path.tail, parse(request.body), exchange);
}

void workers_role::serve(simulated_worker& worker, std::string const& verb,
    json const& body, exchange_ptr const& exchange)
{
    if (verb == "/control/acquire")
    {
        this->acquire(worker, body, exchange);
    }
    else if (verb == "/control/renew")
    {
        this->renew(worker, body, exchange);
    }
    else if (verb == "/control/release")
    {
        this->release(worker, body, exchange);
    }
    else if (verb == "/tasks/start")
    {
        this->start(worker, body, exchange);
    }
    else if (verb == "/tasks/stop")
    {
        this->stop(worker, body, exchange);
    }
    else if (verb == "/follow")
    {
        this->follow(worker, body, exchange);
    }
    else if (verb == "/owners/fence")
    {
        this->fence(worker, body, exchange);
    }
    else
    {
        answer(exchange, 404, json::object());
    }
}

/// `token` is the time on the worker's clock. Callers send it back and leases
/// run from it, so that a delayed request does not extend a lease further.
/// `foreign` is the capacity that tasks of other owners use.
json workers_role::make_grant(simulated_worker const& worker) const
{
    resources foreign = worker.capacity_check_disabled
                            ? resources{}
                            : used_by(worker, worker.holder);
    return {{"epoch", worker.epoch}, {"token", now_ms(this->loop)},
        {"incarnation", worker.incarnation}, {"capacity", worker.capacity},
        {"foreign", foreign}};
}

void workers_role::acquire(
    simulated_worker& worker, json const& body, exchange_ptr const& exchange)
{
    std::string holder = body.value("holder", "");
    std::int64_t now = now_ms(this->loop);
    bool held_by_other = !worker.fencing_disabled && !worker.holder.empty() &&
                         worker.holder != holder &&
                         now < worker.control_until_ms;
    if (held_by_other || worker.fenced_owners.count(holder) > 0)
    {
        answer(exchange, 409, {{"reason", "controlled by " + worker.holder}});
        return;
    }
    ++worker.epoch;
    worker.holder = holder;
    worker.control_lease_ms = body.value("lease_ms", std::int64_t(0));
    worker.control_until_ms = now + worker.control_lease_ms;
    answer(exchange, 200, this->make_grant(worker));
}

void workers_role::renew(
    simulated_worker& worker, json const& body, exchange_ptr const& exchange)
{
    std::int64_t now = now_ms(this->loop);
    bool current = worker.epoch == body.value("epoch", std::int64_t(-1)) &&
                   worker.holder == body.value("holder", "");
    if (!current || now >= worker.control_until_ms)
    {
        answer(exchange, 409, {{"reason", "the control lease is not valid"}});
        return;
    }
    std::int64_t token = body.value("token", std::int64_t(0));
    worker.control_until_ms = std::max(worker.control_until_ms,
        std::min(token, now) + worker.control_lease_ms);
    answer(exchange, 200, this->make_grant(worker));
}

void workers_role::release(
    simulated_worker& worker, json const& body, exchange_ptr const& exchange)
{
    bool current = worker.epoch == body.value("epoch", std::int64_t(-1)) &&
                   worker.holder == body.value("holder", "");
    if (current)
    {
        worker.holder.clear();
        worker.control_until_ms = 0;
    }
    answer(exchange, 200, json::object());
}

std::string workers_role::refusal_reason(
    simulated_worker const& worker, json const& body) const
{
    if (worker.fencing_disabled)
    {
        return {};
    }
    std::int64_t now = now_ms(this->loop);
    if (worker.refused_tasks.count(body.value("id", "")) > 0)
    {
        return "refused before";
    }
    if (body.value("incarnation", "") != worker.incarnation)
    {
        return "another incarnation";
    }
    bool current = worker.epoch == body.value("epoch", std::int64_t(-1)) &&
                   worker.holder == body.value("holder", "");
    if (!current || now >= worker.control_until_ms)
    {
        return "the control lease is not valid";
    }
    std::int64_t token = body.value("token", std::int64_t(0));
    if (now >= token + worker.control_lease_ms)
    {
        return "the token has expired";
    }
    if (worker.fenced_owners.count(body.value("owner", "")) > 0)
    {
        return "the owner is fenced";
    }
    resources free = worker.capacity - used_by(worker, "");
    if (!worker.capacity_check_disabled &&
        !free.fits(body["need"].get<resources>()))
    {
        return "no room";
    }
    return {};
}

void workers_role::start(
    simulated_worker& worker, json const& body, exchange_ptr const& exchange)
{
    std::string id = body.value("id", "");
    if (worker.tasks.count(id) > 0)
    {
        answer(exchange, 200, json::object());
        return;
    }
    std::string reason = this->refusal_reason(worker, body);
    if (!reason.empty())
    {
        worker.refused_tasks.insert(id);
        answer(exchange, 409, {{"reason", reason}});
        return;
    }
    this->start_task(worker, body);
    answer(exchange, 200, json::object());
}

void workers_role::start_task(simulated_worker& worker, json const& body)
{
    std::int64_t now = now_ms(this->loop);
    std::string input = body.value("input", "");
    worker_task task;
    task.id = body.value("id", "");
    task.job_id = body.value("job_id", "");
    task.owner = body.value("owner", "");
    task.attempt = body.value("attempt", 0U);
    task.index = body.value("index", 0U);
    task.need = body["need"].get<resources>();
    task.record = body.value("record", "");
    task.lease_until_ms = body.value("token", std::int64_t(0)) +
                          body.value("lease_ms", std::int64_t(0));
    std::int64_t run_ms =
        option(input, "run_ms", body.value("run_ms", std::int64_t(0)));
    task.resumed_from_ms =
        worker.ignores_checkpoints
            ? 0
            : option(body.value("checkpoint", ""), checkpoint_field, 0);
    task.started_at_ms = now;
    task.ends_at_ms = run_ms > 0 ? now + std::max<std::int64_t>(
                                             run_ms - task.resumed_from_ms, 0)
                                 : 0;
    task.fails = worker.fails_all || input.find("fail") != std::string::npos;
    if (worker.fails_all)
    {
        task.ends_at_ms = now;
    }
    task.result = "result-of:" + input;
    mark_changed(worker, task);
    worker.tasks.emplace(task.id, task);
    this->record_event(worker, task, "start");
    this->answer_followers(worker);
}

void workers_role::stop(
    simulated_worker& worker, json const& body, exchange_ptr const& exchange)
{
    auto found = worker.tasks.find(body.value("id", ""));
    bool allowed = found != worker.tasks.end() &&
                   found->second.owner == body.value("owner", "") &&
                   found->second.state == "running";
    if (allowed && body.value("checkpoint", false))
    {
        this->begin_checkpoint(found->second);
    }
    else if (allowed)
    {
        this->end_task(worker, found->second, "stopped", "stopped");
    }
    answer(exchange, 200, json::object());
}

void workers_role::begin_checkpoint(worker_task& task) const
{
    if (task.checkpoint_done_at_ms > 0)
    {
        return;
    }
    std::int64_t now = now_ms(this->loop);
    task.checkpointed_work_ms = task.resumed_from_ms + now - task.started_at_ms;
    task.checkpoint_done_at_ms = now + checkpoint_duration_ms;
}

void workers_role::end_task(simulated_worker& worker, worker_task& task,
    std::string const& state, std::string const& reason)
{
    task.state = state;
    task.reason = reason;
    mark_changed(worker, task);
    this->record_event(worker, task, state);
    this->answer_followers(worker);
}

json workers_role::make_follow_answer(simulated_worker const& worker,
    std::string const& owner, std::int64_t version,
    std::int64_t known_version) const
{
    json list = json::array();
    for (auto const& entry : worker.tasks)
    {
        worker_task const& task = entry.second;
        // Callers know versions that are one higher than the stored ones (see
        // answer_followers()), so a change with an equal number is new to them.
        if (task.owner != owner || task.changed_version < known_version)
        {
            continue;
        }
        bool ended = task.state != "running";
        list.push_back({{"id", task.id}, {"job_id", task.job_id},
            {"attempt", task.attempt}, {"index", task.index},
            {"state", task.state}, {"reason", task.reason},
            {"result", ended ? task.result : ""}, {"need", task.need},
            {"record", task.record},
            {"checkpoint", ended ? task.checkpoint : ""}});
    }
    return {{"incarnation", worker.incarnation}, {"token", now_ms(this->loop)},
        {"version", version}, {"changes_only", known_version > 0},
        {"tasks", list}};
}

void workers_role::follow(
    simulated_worker& worker, json const& body, exchange_ptr const& exchange)
{
    std::string owner = body.value("owner", "");
    if (worker.fenced_owners.count(owner) > 0)
    {
        answer(exchange, 409, {{"reason", "the owner is fenced"}});
        return;
    }
    for (json const& id : body.value("acks", json::array()))
    {
        auto found = worker.tasks.find(id.get<std::string>());
        if (found != worker.tasks.end() && found->second.owner == owner &&
            found->second.state != "running")
        {
            this->record_ack(worker, found->second);
            worker.tasks.erase(found);
        }
    }
    std::int64_t now = now_ms(this->loop);
    std::int64_t token = std::min(body.value("token", std::int64_t(0)), now);
    std::int64_t until = token + body.value("lease_ms", std::int64_t(0));
    for (auto& entry : worker.tasks)
    {
        if (entry.second.owner == owner)
        {
            entry.second.lease_until_ms =
                std::max(entry.second.lease_until_ms, until);
        }
    }
    pending_follow wait;
    wait.owner = owner;
    wait.version = body.value("version", std::int64_t(0));
    bool same_incarnation = body.value("incarnation", "") == worker.incarnation;
    wait.known_version = same_incarnation ? wait.version : 0;
    wait.until_ms = now + body.value("wait_ms", std::int64_t(0));
    wait.exchange = exchange;
    worker.pending_follows.push_back(wait);
    this->answer_followers(worker);
}

void workers_role::answer_followers(simulated_worker& worker)
{
    std::int64_t now = now_ms(this->loop);
    std::erase_if(worker.pending_follows,
        [this, &worker, now](pending_follow const& wait)
        {
            // Reported versions start at 1; 0 means that the caller knows none.
            std::int64_t version = worker.owner_versions[wait.owner] + 1;
            bool due = version != wait.version || now >= wait.until_ms;
            if (due)
            {
                answer(wait.exchange, 200,
                    this->make_follow_answer(
                        worker, wait.owner, version, wait.known_version));
            }
            return due;
        });
}

void workers_role::fence(
    simulated_worker& worker, json const& body, exchange_ptr const& exchange)
{
    std::string successor = body.value("successor", "");
    for (json const& owner : body.value("owners", json::array()))
    {
        std::string name = owner.get<std::string>();
        worker.fenced_owners.insert(name);
        for (auto& entry : worker.tasks)
        {
            if (entry.second.owner == name)
            {
                entry.second.owner = successor;
                mark_changed(worker, entry.second);
            }
        }
    }
    ++worker.owner_versions[successor];
    answer(exchange, 200,
        this->make_follow_answer(
            worker, successor, worker.owner_versions[successor] + 1, 0));
}

void workers_role::mark_changed(simulated_worker& worker, worker_task& task)
{
    task.changed_version = ++worker.owner_versions[task.owner];
}

void workers_role::tick()
{
    for (auto& entry : this->workers)
    {
        simulated_worker& worker = entry.second;
        if (worker.frozen)
        {
            continue;
        }
        this->end_due_tasks(worker);
        if (!worker.unreachable)
        {
            this->answer_followers(worker);
        }
    }
}

void workers_role::end_due_tasks(simulated_worker& worker)
{
    std::int64_t now = now_ms(this->loop);
    for (auto& each : worker.tasks)
    {
        worker_task& task = each.second;
        if (task.state != "running")
        {
            continue;
        }
        if (now >= task.lease_until_ms && !worker.fencing_disabled)
        {
            this->end_task(worker, task, "lapsed", "lease lapsed");
        }
        else if (task.checkpoint_done_at_ms > 0 &&
                 now >= task.checkpoint_done_at_ms)
        {
            task.checkpoint = std::string(checkpoint_field) + "=" +
                              std::to_string(task.checkpointed_work_ms);
            this->end_task(worker, task, "stopped", "at a checkpoint");
        }
        else if (task.ends_at_ms > 0 && now >= task.ends_at_ms)
        {
            this->end_task(worker, task, task.fails ? "failed" : "succeeded",
                task.fails ? "exit code 1" : "");
        }
    }
}

/// Tasks of a frozen worker make no progress. When it is thawed, tasks whose
/// leases expired are ended before the others resume.
void workers_role::set_frozen(simulated_worker& worker, bool frozen)
{
    if (worker.frozen == frozen)
    {
        return;
    }
    worker.frozen = frozen;
    if (!frozen)
    {
        this->end_due_tasks(worker);
    }
    this->ledger.push_back(
        {{"worker", worker.id}, {"event", frozen ? "frozen" : "thawed"},
            {"at_us", this->loop.now().time_since_epoch().count()}});
}

void workers_role::record_event(simulated_worker const& worker,
    worker_task const& task, std::string const& event)
{
    this->ledger.push_back(
        {{"worker", worker.id}, {"task", task.id}, {"job", task.job_id},
            {"attempt", task.attempt}, {"index", task.index}, {"event", event},
            {"at_us", this->loop.now().time_since_epoch().count()},
            {"need", task.need}, {"capacity", worker.capacity},
            {"mark", mark_of(task.result)}, {"from_ms", task.resumed_from_ms}});
    if (!task.checkpoint.empty())
    {
        this->ledger.back()["made_ms"] = task.checkpointed_work_ms;
    }
}

/// Records the checkpoint that the owner acknowledged: the job must not resume
/// from an earlier one.
void workers_role::record_ack(
    simulated_worker const& worker, worker_task const& task)
{
    if (!task.checkpoint.empty())
    {
        this->ledger.push_back(
            {{"worker", worker.id}, {"event", "kept"}, {"job", task.job_id},
                {"index", task.index}, {"ran_ms", task.checkpointed_work_ms}});
    }
}

void workers_role::restart(simulated_worker& worker)
{
    for (auto& entry : worker.tasks)
    {
        if (entry.second.state == "running")
        {
            this->record_event(worker, entry.second, "lost");
        }
    }
    for (pending_follow const& wait : worker.pending_follows)
    {
        answer(wait.exchange, 503, json::object());
    }
    worker.pending_follows.clear();
    worker.tasks.clear();
    worker.refused_tasks.clear();
    worker.fenced_owners.clear();
    worker.owner_versions.clear();
    worker.holder.clear();
    worker.control_until_ms = 0;
    worker.incarnation = toucanlever::random_token();
    ++worker.restarts;
}

void workers_role::admin(
    toucanlever::http_request const& request, exchange_ptr const& exchange)
{
    if (request.path == "/admin/ledger")
    {
        json capacities = json::object();
        for (auto const& entry : this->workers)
        {
            capacities[entry.first] = entry.second.capacity;
        }
        answer(exchange, 200,
            {{"events", this->ledger}, {"calls", this->calls},
                {"workers", capacities}});
        return;
    }
    json body = parse(request.body);
    std::string target = body.value("worker", "");
    std::string fault = body.value("fault", "");
    for (auto& entry : this->workers)
    {
        simulated_worker& worker = entry.second;
        if (!target.empty() && target != worker.id)
        {
            continue;
        }
        if (fault == "restart")
        {
            this->restart(worker);
        }
        worker.unreachable =
            fault == "cut" || (worker.unreachable && fault != "heal");
        bool frozen = fault == "freeze" || (worker.frozen && fault != "thaw");
        this->set_frozen(worker, frozen);
        worker.fails_all =
            fault == "fail" || (worker.fails_all && fault != "mend");
        worker.capacity_check_disabled =
            worker.capacity_check_disabled || fault == "unguard";
        worker.fencing_disabled = worker.fencing_disabled || fault == "lawless";
        worker.ignores_checkpoints =
            worker.ignores_checkpoints || fault == "forgetful";
        if (!worker.unreachable && !worker.frozen)
        {
            std::erase_if(this->held_exchanges,
                [&worker](auto const& each)
                {
                    if (each.first == &worker)
                    {
                        answer(each.second, 503, json::object());
                    }
                    return each.first == &worker;
                });
        }
    }
    answer(exchange, 200, json::object());
}

} // namespace standin
