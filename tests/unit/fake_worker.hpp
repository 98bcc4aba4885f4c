/// A worker service whose answers are set by the test.
#pragma once

#include "toucanlever/platform/worker_service.hpp"

#include <map>
#include <string>
#include <vector>

namespace toucanlever
{

class fake_worker final : public worker_service
{
public:
    void acquire(std::string const&, std::string const&, std::int64_t,
        std::function<void(control_grant)> done) override
    {
        done(this->refuses_control ? refusal() : this->grant());
    }

    void renew(std::string const&, std::string const&, std::int64_t,
        std::int64_t, std::int64_t,
        std::function<void(control_grant)> done) override
    {
        done(this->refuses_control ? refusal() : this->grant());
    }

    void release(std::string const&, std::string const&, std::int64_t) override
    {
        ++this->releases;
    }

    void start(std::string const&, task_start const& task,
        std::function<void(start_result)> done) override
    {
        this->starts.push_back(task);
        done(start_result{this->start_answer, "refused"});
    }

    void stop(std::string const&, std::string const& task, std::string const&,
        stop_kind how) override
    {
        this->stops.push_back(task);
        this->last_stop = how;
    }

    void follow(std::string const&, follow_request const& request,
        std::function<void(follow_result)> done) override
    {
        this->last_follow = request;
        if (this->answers)
        {
            follow_result result;
            result.answer = worker_answer::accepted;
            result.incarnation = this->incarnation;
            result.tasks = this->reports;
            result.version = this->version;
            result.changes_only = this->changes_only;
            // `deliver` calls back later, as over a network.
            this->waiting.push_back({done, result});
            return;
        }
        this->waiting.push_back({done, follow_result{}});
    }

    void fence(std::string const& address, std::vector<std::string> const&,
        std::string const&, std::function<void(follow_result)> done) override
    {
        this->fences[address] = std::move(done);
    }

    /// Answers the fence call at that address.
    void answer_fence(
        std::string const& address, std::vector<task_report> const& tasks)
    {
        follow_result result;
        result.answer = worker_answer::accepted;
        result.incarnation = this->incarnation;
        result.tasks = tasks;
        this->fences.at(address)(result);
    }

    /// Delivers the answers of follow calls.
    void deliver()
    {
        auto batch = std::move(this->waiting);
        this->waiting.clear();
        for (follow_answer const& each : batch)
        {
            each.done(each.result);
        }
    }

    /// Loses the pending answers: each call ends without a known outcome.
    void lose_answers()
    {
        for (follow_answer& each : this->waiting)
        {
            each.result = follow_result{};
        }
        this->deliver();
    }

    bool answers = true;
    /// Refuses `acquire` and `renew`, as when another scheduler holds control.
    bool refuses_control = false;
    /// Allocated to tasks of other schedulers.
    resources foreign;
    std::string incarnation = "w-1";
    worker_answer start_answer = worker_answer::accepted;
    std::vector<task_start> starts;
    std::vector<task_report> reports;
    std::int64_t version = 0;
    bool changes_only = false;
    std::vector<std::string> stops;
    stop_kind last_stop = stop_kind::at_once;
    follow_request last_follow;
    int releases = 0;
    /// Fence calls that were not answered yet, by address.
    std::map<std::string, std::function<void(follow_result)>> fences;

private:
    control_grant grant() const
    {
        control_grant made;
        made.answer =
            this->answers ? worker_answer::accepted : worker_answer::in_doubt;
        made.epoch = 1;
        made.token = 1;
        made.incarnation = this->incarnation;
        made.capacity = {8000, 1 << 30, 0};
        made.used_by_others = this->foreign;
        return made;
    }

    static control_grant refusal()
    {
        control_grant made;
        made.answer = worker_answer::refused;
        return made;
    }

    struct follow_answer
    {
        std::function<void(follow_result)> done;
        follow_result result;
    };

    std::vector<follow_answer> waiting;
};

} // namespace toucanlever
