#include "callers.hpp"

#include <algorithm>
#include <atomic>
#include <chrono>

namespace scenario
{
namespace
{

constexpr int retry_pause_ms = 100;
constexpr int follow_threads = 16;
// The longest wait that users accept for urgent work.
constexpr std::int64_t urgent_limit_ms = 4800;

using steady = std::chrono::steady_clock;

double ms_since(steady::time_point begin)
{
    return std::chrono::duration<double, std::milli>(steady::now() - begin)
        .count();
}

bool is_final(std::string const& state)
{
    return !state.empty() && state != "queued" && state != "running";
}

} // namespace

char const* const operator_token = "operator-example-token";

callers::callers(cell& target, std::uint64_t seed)
    : target(target)
    , seed(seed)
{
}

callers::~callers()
{
    this->join();
}

std::size_t callers::add_record(call_group const& group)
{
    std::lock_guard lock(this->mutex);
    std::size_t index = this->call_records.size();
    call_record record;
    record.label = group.label;
    record.kind = group.kind;
    record.mark = group.label + "-" + std::to_string(this->seed) + "-" +
                  std::to_string(index);
    record.idempotent =
        group.kind == "job" && group.job.value("idempotent", true);
    record.keyed = group.keyed;
    this->call_records.push_back(record);
    return index;
}

void callers::store_record(std::size_t index, call_record const& record)
{
    std::lock_guard lock(this->mutex);
    this->call_records[index] = record;
}

call_record callers::record(std::size_t index) const
{
    std::lock_guard lock(this->mutex);
    return this->call_records[index];
}

std::vector<call_record> callers::records() const
{
    std::lock_guard lock(this->mutex);
    return this->call_records;
}

void callers::run_parallel(std::vector<std::size_t> const& indexes, int threads,
    std::function<void(std::size_t)> const& work)
{
    std::atomic<std::size_t> next{0};
    std::vector<std::thread> pool;
    for (int i = 0; i < threads; ++i)
    {
        pool.emplace_back(
            [&]
            {
                for (;;)
                {
                    std::size_t at = next++;
                    if (at >= indexes.size())
                    {
                        return;
                    }
                    work(indexes[at]);
                }
            });
    }
    for (std::thread& each : pool)
    {
        each.join();
    }
}

void callers::run(call_group const& group)
{
    std::vector<std::size_t> indexes;
    for (int i = 0; i < group.count; ++i)
    {
        indexes.push_back(this->add_record(group));
    }
    auto begin = steady::now();
    this->run_parallel(indexes, group.threads,
        [this, &group, &indexes, begin](std::size_t index)
        {
            auto due = begin;
            if (group.rate_per_s > 0.0)
            {
                // Groups that run concurrently add records too, so the indexes
                // of one group have gaps.
                auto before =
                    std::lower_bound(indexes.begin(), indexes.end(), index) -
                    indexes.begin();
                std::chrono::duration<double> after(
                    static_cast<double>(before) / group.rate_per_s);
                due += std::chrono::duration_cast<steady::duration>(after);
                std::this_thread::sleep_until(due);
            }
            else
            {
                due = steady::now();
            }
            this->make_call(group, index, due);
        });
}

void callers::run_in_background(call_group const& group)
{
    this->background_threads.emplace_back([this, group] { this->run(group); });
}

void callers::join()
{
    for (std::thread& each : this->background_threads)
    {
        each.join();
    }
    this->background_threads.clear();
}

std::string callers::gateway_for(
    call_group const& group, int attempt, std::size_t index) const
{
    auto const& list = this->target.gateways();
    if (attempt == 0 && !group.first_gateway.empty())
    {
        return this->target.gateway(group.first_gateway);
    }
    return list[(index + static_cast<std::size_t>(attempt)) % list.size()];
}

void callers::make_call(
    call_group const& group, std::size_t index, steady::time_point begin)
{
    call_record record = this->record(index);
    for (int attempt = 0;; ++attempt)
    {
        std::string gateway = this->gateway_for(group, attempt, index);
        if (group.kind == "job")
        {
            this->submit(group, record, gateway);
        }
        else
        {
            this->request(group, record, gateway);
        }
        ++record.attempts;
        record.ever_unknown = record.ever_unknown || record.ran == "unknown";
        bool answered = record.last_status >= 200 && record.last_status < 300;
        bool not_retryable = record.last_status >= 400 &&
                             record.last_status < 500 &&
                             record.last_status != 429;
        // Without a key a repeated call might run twice, so only a call that
        // did not run is retried.
        bool may_retry = record.keyed || record.ran == "no";
        // 502: the gateway cannot tell whether the call ran; this is final.
        bool final_unknown = record.last_status == 502;
        if (answered || not_retryable || !may_retry || final_unknown ||
            ms_since(begin) > group.retry_timeout_ms)
        {
            break;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(retry_pause_ms));
    }
    record.duration_ms = ms_since(begin);
    this->store_record(index, record);
}

void callers::submit(
    call_group const& group, call_record& record, std::string const& gateway)
{
    json body = group.job;
    body["name"] = group.label;
    body["input"] = body.value("input", "") + ";mark=" + record.mark;
    std::vector<std::pair<std::string, std::string>> headers{
        {"Authorization", "Bearer " + group.token}};
    if (group.keyed)
    {
        headers.emplace_back("Idempotency-Key", record.mark);
    }
    reply answer = call("POST", "http://" + gateway + "/v1/jobs", body.dump(),
        headers, group.call_timeout_ms);
    record.last_status = answer.status;
    record.response = answer.body;
    json parsed = answer.json_body();
    if (answer.status == 202)
    {
        record.job_id = parsed.value("id", "");
        record.ran = "yes";
        return;
    }
    record.ran = answer.status == 0 ? (answer.refused ? "no" : "unknown")
                                    : parsed.value("ran", "unknown");
}

void callers::request(
    call_group const& group, call_record& record, std::string const& gateway)
{
    std::vector<std::pair<std::string, std::string>> headers{
        {"Authorization", "Bearer " + group.token},
        {"X-Run-Ms", std::to_string(group.run_ms)}};
    if (group.keyed)
    {
        headers.emplace_back("Idempotency-Key", record.mark);
    }
    reply answer = call("POST",
        "http://" + gateway + "/v1/services/" + group.service + "/slots",
        record.mark, headers, group.call_timeout_ms);
    record.last_status = answer.status;
    record.response = answer.body;
    if (answer.status >= 200 && answer.status < 300)
    {
        record.ran = "yes";
        return;
    }
    record.ran = answer.status == 0
                     ? (answer.refused ? "no" : "unknown")
                     : answer.json_body().value("ran", "unknown");
}

bool callers::wait_for_jobs(std::string const& label, int ms)
{
    auto begin = steady::now();
    std::vector<std::size_t> open;
    auto before = this->records();
    for (std::size_t i = 0; i < before.size(); ++i)
    {
        bool wanted = label.empty() || before[i].label == label;
        if (wanted && !before[i].job_id.empty() && !is_final(before[i].state))
        {
            open.push_back(i);
        }
    }
    this->run_parallel(open, follow_threads,
        [this, begin, ms](std::size_t index)
        {
            call_record record = this->record(index);
            for (int attempt = 0; ms_since(begin) < ms; ++attempt)
            {
                auto const& list = this->target.gateways();
                std::string gateway =
                    list[(index + static_cast<std::size_t>(attempt)) %
                         list.size()];
                reply answer = call("GET",
                    "http://" + gateway + "/v1/jobs/" + record.job_id +
                        "?wait=2",
                    "",
                    {{"Authorization",
                        std::string("Bearer ") + operator_token}},
                    6000);
                if (answer.status == 200)
                {
                    json view = answer.json_body();
                    record.state = view.value("state", "");
                    record.waited_ms =
                        view.value("waited_ms", std::int64_t(-1));
                    this->store_record(index, record);
                }
                if (is_final(record.state))
                {
                    return;
                }
                std::this_thread::sleep_for(
                    std::chrono::milliseconds(answer.status == 200 ? 10 : 100));
            }
        });
    auto after = this->records();
    for (std::size_t index : open)
    {
        if (!is_final(after[index].state))
        {
            return false;
        }
    }
    return true;
}

void callers::cancel(std::string const& label, std::string const& token)
{
    std::vector<std::size_t> indexes;
    auto before = this->records();
    for (std::size_t i = 0; i < before.size(); ++i)
    {
        if (before[i].label == label && !before[i].job_id.empty())
        {
            indexes.push_back(i);
        }
    }
    this->run_parallel(indexes, follow_threads,
        [this, &before, &token](std::size_t index)
        {
            auto const& list = this->target.gateways();
            call("DELETE",
                "http://" + list[index % list.size()] + "/v1/jobs/" +
                    before[index].job_id,
                "", {{"Authorization", "Bearer " + token}}, 6000);
        });
}

std::map<std::string, int> callers::count_outcomes(
    std::string const& label) const
{
    std::map<std::string, int> counts;
    for (call_record const& each : this->records())
    {
        if (each.label != label)
        {
            continue;
        }
        ++counts["all"];
        ++counts["status-" + std::to_string(each.last_status)];
        counts["within-4800"] +=
            each.waited_ms >= 0 && each.waited_ms <= urgent_limit_ms;
        if (!each.state.empty())
        {
            ++counts[each.state];
        }
    }
    return counts;
}

} // namespace scenario
