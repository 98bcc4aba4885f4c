/// One scheduler over faked interfaces and a clock that stands still, and a
/// peer whose answers a test scripts.
#pragma once

#include "toucanlever/control/scheduler.hpp"

#include "fake_table.hpp"
#include "fake_worker.hpp"
#include "loopback.hpp"

namespace toucanlever
{

inline char const* const fixture_config_yaml =
    "customers: [{name: c, token: t}]\n"
    "services: []\n"
    "presets: [{name: ordinary}]\n";

class fixed_instance_list final : public instance_service
{
public:
    void list(list_callback done) override { done(this->instances); }

    instance_list instances = std::make_shared<std::vector<instance> const>();
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
            reply.state.ready = !this->received_offer;
            reply.state.capacity = {8000, 1 << 30, 0};
            reply.state.preemptible = reply.state.capacity;
            if (!this->lent.worker.empty())
            {
                reply.state.capacity = {};
                reply.state.preemptible = {};
                reply.state.borrowed_workers = {this->lent};
            }
            if (!this->has_no_free_capacity)
            {
                reply.state.free = reply.state.capacity;
                reply.state.largest_free = reply.state.capacity;
            }
            respond(message_type::state_reply, pack(reply));
            return;
        }
        if (request.type == message_type::capacity_request)
        {
            this->received_requests.push_back(
                unpack<capacity_request>(request.body, "controller"));
            respond(message_type::ack, pack(operator_reply{}));
            return;
        }
        auto offer = unpack<offer_request>(request.body, "offerer");
        this->received_offer = true;
        if (this->ignores_offers)
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
    bool ignores_offers = false;
    /// Of batch work that it can stop.
    bool has_no_free_capacity = false;
    bool received_offer = false;
    /// What it runs on a worker that it does not control; it controls none.
    borrowed_worker lent;
    std::vector<capacity_request> received_requests;
};

inline task_report make_report(task_start const& task, std::string const& state)
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
class scheduler_fixture
{
public:
    scheduler_fixture()
    {
        nlohmann::json snapshot{{"revision", 1}, {"change_id", "c"},
            {"author", "test"}, {"preset", "ordinary"},
            {"yaml", fixture_config_yaml}};
        this->table.set("config/revision/000000000001", snapshot.dump());
        this->table.set("config/head/revision", "1");
        this->settings.name = "s";
        this->settings.domain = "a";
        this->settings.address = own_ip(1) + ":7300";
        this->settings.peers = {this->peer_address};
    }

    void start()
    {
        this->subject = std::make_unique<scheduler>(this->loop, this->settings,
            scheduler_platform{this->table, this->list, this->worker},
            [this] { ++this->fenced; });
        this->advance(milliseconds(1500));
    }

    void advance(milliseconds span)
    {
        for (auto done = milliseconds(0); done < span; done += milliseconds(50))
        {
            this->time.advance(milliseconds(50));
            this->loop.run_ready();
        }
    }

    /// Sends one request and gives the whole reply.
    rpc_result send_request(message_type type, std::string body)
    {
        rpc_client client(this->loop, this->settings.address, rpc_timing{});
        this->advance(milliseconds(100));
        rpc_result got;
        client.request(type, std::move(body), milliseconds(5000),
            [&got](rpc_result result) { got = std::move(result); });
        this->advance(milliseconds(500));
        return got;
    }

    scheduler_state query_state()
    {
        return this
            ->send_request(message_type::state_request, pack(state_request{}))
            .as<state_reply>(message_type::state_reply, "s")
            .state;
    }

    std::string submit(job_spec const& spec = {})
    {
        submit_request request;
        request.spec = spec;
        request.spec.customer = "c";
        return this->send_request(message_type::submit, pack(request))
            .as<submit_reply>(message_type::submit_reply, "s")
            .job_id;
    }

    job_view query_job(std::string const& job)
    {
        job_request request;
        request.job_id = job;
        return this->send_request(message_type::job_query, pack(request))
            .as<job_view>(message_type::job_reply, "s");
    }

    offer_reply offer_from(std::string const& giver)
    {
        offered_job job;
        job.id = giver + ".1";
        job.spec.customer = "c";
        return this
            ->send_request(
                message_type::offer_jobs, pack(offer_request{giver, {job}}))
            .as<offer_reply>(message_type::offer_reply, "s");
    }

    void set_fence(std::string const& incarnation, std::string const& state,
        std::string const& successor = {})
    {
        this->table.set(journal::fence_row(incarnation),
            nlohmann::json{{"state", state}, {"successor", successor}}.dump());
    }

    std::size_t count_rows(std::string const& prefix) const
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
        this->list.instances =
            std::make_shared<std::vector<instance> const>(1, worker);
    }

    /// The worker's next reports reach the scheduler; what it was asked
    /// before is lost.
    void deliver_reports(std::vector<task_report> const& tasks)
    {
        this->worker.lose_answers();
        this->worker.reports = tasks;
        ++this->worker.version;
        this->advance(milliseconds(1000));
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
    fixed_instance_list list;
    fake_worker worker;
    scheduler_settings settings;
    int fenced = 0;
    std::unique_ptr<scheduler> subject;
};

} // namespace toucanlever
