#include "toucanlever/control/scheduler.hpp"

#include "fake_table.hpp"
#include "fake_worker.hpp"
#include "loopback.hpp"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>

using namespace toucanlever;

namespace
{

char const* const config_yaml = "customers: [{name: c, token: t}]\n"
                                "services: []\n"
                                "presets: [{name: ordinary}]\n";

class fixed_list final : public instance_service
{
public:
    void list(list_callback done) override { done(this->all); }

    instance_list all = std::make_shared<std::vector<instance> const>();
};

/// A peer that has room; `owner` takes what is offered to "a.peer.1".
class scripted_peer final : public rpc_handler
{
public:
    void on_request(frame const& request, std::string const&,
        rpc_responder respond) override
    {
        if (request.type == message_type::state_request)
        {
            state_reply reply;
            reply.state.incarnation = "a.peer.1";
            reply.state.domain = this->domain;
            reply.state.ready = !this->offered;
            reply.state.capacity = {8000, 1 << 30, 0};
            reply.state.stoppable = reply.state.capacity;
            if (!this->lent.worker.empty())
            {
                reply.state.capacity = {};
                reply.state.stoppable = {};
                reply.state.lent = {this->lent};
            }
            if (!this->full)
            {
                reply.state.free = reply.state.capacity;
                reply.state.largest_free = reply.state.capacity;
            }
            respond(message_type::state_reply, pack(reply));
            return;
        }
        if (request.type == message_type::room_request)
        {
            this->rooms.push_back(
                unpack<room_request>(request.body, "controller"));
            respond(message_type::ack, pack(operator_reply{}));
            return;
        }
        auto offer = unpack<offer_request>(request.body, "offerer");
        this->offered = true;
        if (this->keeps_silent)
        {
            return;
        }
        offer_reply reply;
        reply.owner = this->owner;
        for (offered_job const& job : offer.jobs)
        {
            reply.taken.push_back(job.id);
        }
        respond(message_type::offer_reply, pack(reply));
    }

    std::string owner = "a.peer.1";
    std::string domain = "a";
    bool keeps_silent = false;
    /// Of batch work that it can stop.
    bool full = false;
    bool offered = false;
    /// What it runs on a worker that it does not control; it controls none.
    lent_room lent;
    std::vector<room_request> rooms;
};

task_report report_of(task_start const& task, std::string const& state)
{
    task_report report;
    report.id = task.id;
    report.job_id = task.job_id;
    report.attempt = task.attempt;
    report.index = task.index;
    report.need = task.need;
    report.state = state;
    return report;
}

/// One scheduler, without workers at first, on a clock that stands still.
class scheduler_bench
{
public:
    scheduler_bench()
    {
        nlohmann::json snapshot{{"revision", 1}, {"change_id", "c"},
            {"author", "test"}, {"preset", "ordinary"}, {"yaml", config_yaml}};
        this->table.set("config/revision/000000000001", snapshot.dump());
        this->table.set("config/head/revision", "1");
        this->settings.name = "s";
        this->settings.domain = "a";
        this->settings.address = own_ip(1) + ":7300";
        this->settings.peers = {this->peer_address};
    }

    void begin()
    {
        this->target = std::make_unique<scheduler>(this->loop, this->settings,
            scheduler_platform{this->table, this->list, this->worker},
            [this] { ++this->fenced; });
        this->pass(milliseconds(1500));
    }

    void pass(milliseconds span)
    {
        for (auto done = milliseconds(0); done < span; done += milliseconds(50))
        {
            this->time.advance(milliseconds(50));
            this->loop.run_ready();
        }
    }

    /// Sends one request and gives the whole reply.
    rpc_result ask(message_type type, std::string body)
    {
        rpc_client client(this->loop, this->settings.address, rpc_timing{});
        this->pass(milliseconds(100));
        rpc_result got;
        client.request(type, std::move(body), milliseconds(5000),
            [&got](rpc_result result) { got = std::move(result); });
        this->pass(milliseconds(500));
        return got;
    }

    scheduler_state state()
    {
        return this->ask(message_type::state_request, pack(state_request{}))
            .as<state_reply>(message_type::state_reply, "s")
            .state;
    }

    std::string submit(job_spec const& spec = {})
    {
        submit_request request;
        request.spec = spec;
        request.spec.customer = "c";
        return this->ask(message_type::submit, pack(request))
            .as<submit_reply>(message_type::submit_reply, "s")
            .job_id;
    }

    job_view view(std::string const& job)
    {
        job_request request;
        request.job_id = job;
        return this->ask(message_type::job_query, pack(request))
            .as<job_view>(message_type::job_reply, "s");
    }

    offer_reply offer_from(std::string const& giver)
    {
        offered_job job;
        job.id = giver + ".1";
        job.spec.customer = "c";
        return this
            ->ask(message_type::offer_jobs, pack(offer_request{giver, {job}}))
            .as<offer_reply>(message_type::offer_reply, "s");
    }

    void set_fence(std::string const& incarnation, std::string const& state,
        std::string const& successor = {})
    {
        this->table.set(journal::fence_row(incarnation),
            nlohmann::json{{"state", state}, {"successor", successor}}.dump());
    }

    std::size_t rows_of(std::string const& prefix) const
    {
        std::size_t count = 0;
        for (auto const& entry : this->table.rows)
        {
            count += entry.first.rfind(prefix, 0) == 0;
        }
        return count;
    }

    /// The scheduler places only on workers of its own domain, "a".
    void list_worker(std::string const& id, std::string const& domain)
    {
        instance worker;
        worker.id = id;
        worker.role = instance_role::worker;
        worker.domain = domain;
        worker.address = id;
        this->list.all =
            std::make_shared<std::vector<instance> const>(1, worker);
    }

    /// The worker's next reports reach the scheduler; what it was asked
    /// before is lost.
    void report(std::vector<task_report> const& tasks)
    {
        this->worker.lose_answers();
        this->worker.reports = tasks;
        ++this->worker.version;
        this->pass(milliseconds(1000));
        this->worker.deliver();
    }

    void write_journal(
        std::string const& incarnation, std::vector<journal_entry> entries)
    {
        this->table.set(journal::row_prefix(incarnation) + "0000000000000001",
            nlohmann::json(entries).dump());
    }

    std::string const peer_address = own_ip(2) + ":7300";
    manual_clock time;
    event_loop loop{this->time};
    fake_table table;
    fixed_list list;
    fake_worker worker;
    scheduler_settings settings;
    int fenced = 0;
    std::unique_ptr<scheduler> target;
};

} // namespace

Test(scheduler, takes_jobs_from_a_peer_and_names_itself_as_their_owner)
{
    scheduler_bench bench;
    bench.begin();
    bench.set_fence("a.peer.1", "active");

    offer_reply reply = bench.offer_from("a.peer.1");

    cr_assert(eq(sz, reply.taken.size(), 1));
    cr_assert(reply.owner == bench.state().incarnation);
}

Test(scheduler, takes_nothing_from_a_peer_that_was_succeeded)
{
    scheduler_bench bench;
    bench.begin();
    bench.set_fence("a.peer.1", "active");
    bench.set_fence("a.peer.1", "fenced", "a.other.1");

    offer_reply reply = bench.offer_from("a.peer.1");

    cr_assert(reply.taken.empty());
    cr_assert(eq(sz, bench.table.rows.count(owner_row("a.peer.1.1")), 0));
}

Test(scheduler, records_the_incarnation_that_did_take_its_job)
{
    scheduler_bench bench;
    scripted_peer peer;
    peer.owner = "a.peer.2";
    rpc_server server(bench.loop, bench.peer_address, peer, rpc_timing{});
    bench.begin();

    std::string job = bench.submit();

    cr_assert(eq(str, bench.view(job).moved_to, peer.owner));
}

Test(scheduler, knows_where_a_job_went_from_a_peer_that_it_then_succeeded)
{
    scheduler_bench bench;
    scripted_peer peer;
    auto server = std::make_unique<rpc_server>(
        bench.loop, bench.peer_address, peer, rpc_timing{});
    bench.begin();
    std::string job = bench.submit();
    bench.pass(milliseconds(500));
    cr_assert(eq(str, bench.view(job).moved_to, peer.owner));

    journal_entry accepted;
    accepted.job_id = job;
    journal_entry moved;
    moved.event = journal_event::moved;
    moved.job_id = job;
    moved.reason = "a.third.1";
    bench.write_journal(peer.owner, {accepted, moved});
    server.reset();
    bench.set_fence(peer.owner, "released");
    bench.pass(milliseconds(6000));

    cr_assert(eq(str, bench.view(job).moved_to, moved.reason));
}

Test(scheduler, owns_a_job_again_when_it_succeeds_the_peer_that_just_took_it)
{
    scheduler_bench bench;
    scripted_peer peer;
    peer.keeps_silent = true;
    rpc_server server(bench.loop, bench.peer_address, peer, rpc_timing{});
    bench.begin();
    std::string job = bench.submit();
    bench.pass(milliseconds(500));
    cr_assert(peer.offered);

    journal_entry accepted;
    accepted.job_id = job;
    bench.write_journal(peer.owner, {accepted});
    key_record owner;
    owner.job_id = job;
    owner.claimant = peer.owner;
    bench.table.set(owner_row(job), nlohmann::json(owner).dump());
    bench.set_fence(peer.owner, "released");
    bench.pass(milliseconds(3000));
    cr_assert(bench.view(job).moved_to.empty());

    // The offer's time limit passes meanwhile and changes nothing.
    bench.pass(milliseconds(10000));
    cr_assert(bench.view(job).moved_to.empty());
    cr_assert(bench.view(job).state == job_state::queued);
}

Test(scheduler, copies_what_it_took_over_and_then_deletes_that_journal)
{
    scheduler_bench bench;
    journal_entry waiting;
    waiting.job_id = "a.first.1.1";
    waiting.spec.name = "render";
    journal_entry ended;
    ended.event = journal_event::ended;
    ended.job_id = "a.first.1.2";
    ended.state = job_state::succeeded;
    bench.write_journal("a.first.1", {waiting, ended});
    bench.set_fence("a.first.1", "released");
    bench.begin();
    bench.pass(milliseconds(5000));

    cr_assert(eq(sz, bench.rows_of(journal::row_prefix("a.first.1")), 0));
    cr_assert(bench.view("a.first.1.2").state == job_state::succeeded);

    // Its own successor finds all of it, and answers for the first one, too.
    bench.set_fence(bench.state().incarnation, "released");
    bench.target.reset();
    bench.begin();
    bench.pass(milliseconds(5000));

    cr_assert(bench.view("a.first.1.1").state == job_state::queued);
    cr_assert(eq(str, bench.view("a.first.1.1").name, waiting.spec.name));
    cr_assert(bench.view("a.first.1.2").state == job_state::succeeded);
    auto serves = bench.state().serves;
    cr_assert(
        std::find(serves.begin(), serves.end(), "a.first.1") != serves.end());
}

Test(scheduler, deletes_the_fence_row_of_a_predecessor_after_an_hour)
{
    scheduler_bench bench;
    bench.set_fence("a.first.1", "released");
    bench.begin();
    bench.pass(milliseconds(3000));
    cr_assert(eq(sz, bench.rows_of(journal::fence_row("a.first.1")), 1));

    bench.time.advance(std::chrono::minutes(61));
    bench.pass(milliseconds(3000));

    cr_assert(eq(sz, bench.rows_of(journal::fence_row("a.first.1")), 0));
    cr_assert(eq(int, bench.fenced, 0));
}

Test(scheduler, gives_way_when_its_row_is_gone)
{
    scheduler_bench bench;
    bench.begin();

    bench.table.rows.erase(journal::fence_row(bench.state().incarnation));
    bench.pass(milliseconds(3000));

    cr_assert(eq(int, bench.fenced, 1));
}

Test(scheduler, gives_way_when_it_finds_itself_succeeded)
{
    scheduler_bench bench;
    bench.begin();

    bench.set_fence(bench.state().incarnation, "fenced", "a.other.1");
    bench.pass(milliseconds(3000));

    cr_assert(eq(int, bench.fenced, 1));
}

Test(
    scheduler, succeeds_those_that_its_predecessor_succeeded_at_the_last_moment)
{
    scheduler_bench bench;
    bench.set_fence("a.first.1", "active");
    bench.set_fence("a.second.1", "released");
    bool once = false;
    bench.table.before_commit = [&bench, &once](transaction const& work)
    {
        bool fences =
            !once && !work.writes.empty() &&
            work.writes.front().key == journal::fence_row("a.second.1");
        if (fences)
        {
            once = true;
            bench.set_fence("a.first.1", "fenced", "a.second.1");
        }
    };

    bench.begin();
    bench.pass(milliseconds(2000));

    auto serves = bench.state().serves;
    cr_assert(once);
    cr_assert(
        std::find(serves.begin(), serves.end(), "a.first.1") != serves.end());
}

Test(scheduler, leaves_a_job_to_the_takeover_that_has_yet_to_ask_its_workers)
{
    scheduler_bench bench;
    bench.list_worker("w2", "b");
    // The second accepted the job and gave it to the first, which may have
    // started it on a worker.
    journal_entry accepted;
    accepted.job_id = "a.second.1.1";
    journal_entry seen;
    seen.event = journal_event::worker_seen;
    seen.worker = "w2";
    seen.worker_incarnation = bench.worker.incarnation;
    bench.write_journal("a.first.1", {accepted, seen});
    bench.write_journal("a.second.1", {accepted});
    key_record owner;
    owner.job_id = accepted.job_id;
    owner.claimant = "a.first.1";
    bench.table.set(owner_row(owner.job_id), nlohmann::json(owner).dump());
    bench.set_fence("a.first.1", "released");
    bench.set_fence("a.second.1", "released");
    bench.begin();
    bench.pass(milliseconds(2000));
    cr_assert(eq(sz, bench.worker.fences.count("w2"), 1));
    cr_assert(eq(u32, bench.view(accepted.job_id).attempts, 1));

    task_report report;
    report.id = accepted.job_id + ":1.0:0";
    report.job_id = accepted.job_id;
    report.attempt = 1;
    report.state = "running";
    bench.worker.answer_fence("w2", {report});

    cr_assert(bench.view(accepted.job_id).state == job_state::running);
    cr_assert(eq(u32, bench.view(accepted.job_id).attempts, 1));
}

Test(scheduler, succeeds_nobody_for_silence_during_its_own_pause)
{
    scheduler_bench bench;
    bench.set_fence("a.peer.1", "active");
    bench.begin();
    // Not heard so far; its sign comes while this process stands still.
    scripted_peer peer;
    rpc_server server(bench.loop, bench.peer_address, peer, rpc_timing{});

    bench.time.advance(std::chrono::seconds(20));
    bench.pass(milliseconds(3000));

    auto serves = bench.state().serves;
    cr_assert(eq(sz, serves.size(), 1));
}

Test(scheduler, keeps_what_it_knows_of_its_own_tasks_when_a_worker_names_them)
{
    scheduler_bench bench;
    bench.list_worker("w1", "a");
    bench.begin();
    job_spec gang;
    gang.kind = job_kind::gang;
    gang.tasks = 2;
    gang.need.cpu_millis = 1000;
    std::string job = bench.submit(gang);
    cr_assert(eq(sz, bench.worker.starts.size(), 2));
    task_report first = report_of(bench.worker.starts[0], "succeeded");
    task_report second = report_of(bench.worker.starts[1], "running");
    bench.report({first, second});

    // The worker that is fenced names all tasks of the successor.
    journal_entry seen;
    seen.event = journal_event::worker_seen;
    seen.worker = "w1";
    seen.worker_incarnation = bench.worker.incarnation;
    bench.write_journal("a.first.1", {seen});
    bench.set_fence("a.first.1", "released");
    bench.pass(milliseconds(2000));
    bench.worker.answer_fence("w1", {first, second});
    second.state = "succeeded";
    bench.report({first, second});

    cr_assert(bench.view(job).state == job_state::succeeded);
}

Test(scheduler, goes_on_from_the_checkpoint_that_its_predecessor_recorded)
{
    scheduler_bench bench;
    bench.list_worker("w1", "a");
    journal_entry accepted;
    accepted.job_id = "a.first.1.1";
    accepted.spec.need.cpu_millis = 1000;
    journal_entry attempt;
    attempt.event = journal_event::attempt;
    attempt.job_id = accepted.job_id;
    attempt.attempt = 2;
    attempt.checkpoint = "half";
    bench.write_journal("a.first.1", {accepted, attempt});
    bench.set_fence("a.first.1", "released");
    bench.begin();
    bench.pass(milliseconds(2000));

    cr_assert(eq(sz, bench.worker.starts.size(), 1));
    cr_assert(eq(str, bench.worker.starts[0].checkpoint, "half"));

    // Stopped again further on, and again: each start has the latest.
    task_report report = report_of(bench.worker.starts[0], "stopped");
    report.checkpoint = "more";
    bench.report({report});
    bench.pass(milliseconds(500));

    cr_assert(eq(sz, bench.worker.starts.size(), 2));
    cr_assert(eq(str, bench.worker.starts[1].checkpoint, "more"));
}

Test(scheduler, gives_urgent_work_to_a_peer_that_can_stop_what_it_cannot)
{
    scheduler_bench bench;
    scripted_peer peer;
    peer.full = true;
    peer.domain = "b";
    rpc_server server(bench.loop, bench.peer_address, peer, rpc_timing{});
    bench.list_worker("w1", "a");
    bench.begin();
    job_spec fills;
    fills.need.cpu_millis = 8000;
    fills.idempotent = false;
    bench.submit(fills);
    cr_assert(eq(sz, bench.worker.starts.size(), 1));
    bench.submit(fills);
    bench.pass(milliseconds(1000));
    cr_assert(not peer.offered);

    fills.urgent = true;
    std::string job = bench.submit(fills);
    bench.pass(milliseconds(1000));

    cr_assert(peer.offered);
    cr_assert(eq(str, bench.view(job).moved_to, peer.owner));
}

Test(scheduler, asks_the_owner_of_what_fills_its_workers_for_urgent_work)
{
    scheduler_bench bench;
    scripted_peer peer;
    // Of another domain: it would get the rack otherwise.
    peer.domain = "b";
    peer.full = true;
    peer.lent = {"w1", {8000, 1 << 20, 0}};
    rpc_server server(bench.loop, bench.peer_address, peer, rpc_timing{});
    bench.list_worker("w1", "a");
    bench.worker.foreign = {7000, 1 << 20, 0};
    bench.begin();
    job_spec job;
    job.need.cpu_millis = 4000;
    bench.submit(job);
    bench.pass(milliseconds(1000));
    cr_assert(peer.rooms.empty());

    job.urgent = true;
    std::string id = bench.submit(job);
    bench.pass(milliseconds(1000));

    cr_assert(eq(sz, peer.rooms.size(), 1));
    cr_assert(eq(str, peer.rooms[0].worker, "w1"));
    cr_assert(eq(i64, peer.rooms[0].missing.cpu_millis, 3000));

    bench.worker.foreign = {};
    bench.pass(milliseconds(1000));
    cr_assert(bench.view(id).state == job_state::running);
}

Test(scheduler, stops_its_batch_work_for_the_controller_of_the_worker)
{
    scheduler_bench bench;
    bench.list_worker("w1", "a");
    bench.begin();
    job_spec job;
    job.need.cpu_millis = 4000;
    bench.submit(job);
    cr_assert(eq(sz, bench.worker.starts.size(), 1));
    cr_assert(bench.state().lent.empty());

    bench.worker.refuses_control = true;
    bench.pass(milliseconds(5000));
    auto lent = bench.state().lent;
    cr_assert(eq(sz, lent.size(), 1));
    cr_assert(eq(str, lent[0].worker, "w1"));
    cr_assert(eq(i64, lent[0].stoppable.cpu_millis, 4000));

    bench.ask(
        message_type::room_request, pack(room_request{"w1", {1000, 0, 0}}));

    cr_assert(not bench.worker.stops.empty());
    cr_assert(eq(str, bench.worker.stops[0], bench.worker.starts[0].id));
    cr_assert(bench.worker.last_stop == stop_kind::at_checkpoint);
}

Test(scheduler, can_stop_what_it_took_over_for_urgent_work)
{
    scheduler_bench bench;
    bench.list_worker("w1", "a");
    journal_entry accepted;
    accepted.job_id = "a.first.1.1";
    accepted.spec.need.cpu_millis = 8000;
    journal_entry seen;
    seen.event = journal_event::worker_seen;
    seen.worker = "w1";
    seen.worker_incarnation = bench.worker.incarnation;
    bench.write_journal("a.first.1", {accepted, seen});
    bench.set_fence("a.first.1", "released");
    bench.worker.foreign = {8000, 1 << 20, 0};
    bench.begin();
    bench.pass(milliseconds(2000));
    task_report report;
    report.id = accepted.job_id + ":1.0:0";
    report.job_id = accepted.job_id;
    report.attempt = 1;
    report.need.cpu_millis = 8000;
    report.state = "running";
    bench.worker.foreign = {};
    bench.worker.answer_fence("w1", {report});
    bench.pass(milliseconds(500));
    cr_assert(bench.view(accepted.job_id).state == job_state::running);

    job_spec urgent;
    urgent.urgent = true;
    urgent.need.cpu_millis = 8000;
    bench.submit(urgent);

    cr_assert(not bench.worker.stops.empty());
    cr_assert(eq(str, bench.worker.stops[0], report.id));
    cr_assert(bench.worker.last_stop == stop_kind::at_checkpoint);
}

Test(scheduler, refuses_what_needs_a_table_service_that_it_knows_to_be_silent)
{
    scheduler_bench bench;
    bench.begin();
    bench.table.silent = true;
    submit_request request;
    request.key = "k";
    request.spec.customer = "c";

    rpc_result job = bench.ask(message_type::submit, pack(request));
    rpc_result claim = bench.ask(
        message_type::claim, pack(claim_request{"c", "k", key_record{}, 0}));

    for (rpc_result const& each : {job, claim})
    {
        try
        {
            each.as<operator_reply>(message_type::ack, "s");
            cr_assert(false);
        }
        catch (error const& problem)
        {
            cr_assert(problem.code == error_code::unavailable);
            cr_assert(problem.ran == run_state::no);
        }
    }
    cr_assert(eq(sz, bench.rows_of("key/"), 0));
}
