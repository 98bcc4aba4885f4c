/// Decoding of the Strekbod platform's messages and settings into this
/// project's types.
#include "base64.hpp"
#include "decode.hpp"
#include "json_reader.hpp"
#include "platform_settings.hpp"

#include "toucanlever/core/error.hpp"
#include "toucanlever/core/settings_file.hpp"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>

#include <cstdio>
#include <fstream>

using namespace toucanlever;
using namespace toucanlever::strekbod;

namespace
{

constexpr char job_body[] = R"({"Specification":"text","Steps":[
    {"Count":4,"Cpu":500,"MemoryRequestMb":256,"DataRack":"r1-3"},
    {"Count":2,"Cpu":2000,"After":[0],"GangScheduled":true,"SameRack":true,
     "Checkpointing":true,"AntiAffinity":1,"Requirements":"a"}]})";

std::string problem_of(std::string const& body)
{
    try
    {
        decode_job(body);
    }
    catch (error const& problem)
    {
        return problem.what();
    }
    return "accepted";
}

std::string settings_problem(std::string const& text)
{
    char name[] = "/tmp/settings-XXXXXX";
    int file = mkstemp(name);
    cr_assert(file >= 0);
    std::ofstream(name) << text;
    std::string result = "accepted";
    try
    {
        load_settings(name);
    }
    catch (settings_error const& problem)
    {
        result = problem.what();
    }
    std::remove(name);
    close(file);
    return result;
}

/// A usable entry of a worker with some members replaced; null removes one.
std::string worker_body(std::string const& changes)
{
    json body = json::parse(
        R"({"Service":"s","Address":"10.0.0.1:1","Zone":"z","State":"ready",
            "Capacity":{"Cpu":16000,"MemoryRequestMb":2,"Gpus":1},
            "Labels":["a","r1-3"],"born":77})");
    body.merge_patch(json::parse(changes));
    return body.dump();
}

std::string nested(std::string const& open, std::string const& close)
{
    constexpr int depth = 100000;
    std::string body;
    for (int i = 0; i < depth; ++i)
    {
        body += open;
    }
    body += "1";
    for (int i = 0; i < depth; ++i)
    {
        body += close;
    }
    return body;
}

} // namespace

Test(strekbod, a_job_is_decoded_with_its_steps)
{
    work_record job = decode_job(job_body);
    cr_assert(job.steps.size() == 2U);
    cr_assert(job.steps[0].tasks == 4U);
    cr_assert(job.steps[0].need.cpu_millis == 500);
    cr_assert(job.steps[0].need.memory_bytes == 256 * 1024 * 1024);
    cr_assert(job.steps[0].data_rack == "r1-3");
    cr_assert(job.steps[1].gang);
    cr_assert(job.steps[1].prefers_one_rack);
    cr_assert(job.steps[1].max_per_worker == 1U);
    cr_assert(job.steps[1].after.at(0) == 0U);
    cr_assert(job.payload == "text");
}

Test(strekbod, a_malformed_job_is_refused_with_the_field)
{
    cr_assert(problem_of("{") != "accepted");
    cr_assert(problem_of("[]") != "accepted");
    cr_assert(problem_of(R"({"Steps":[]})").starts_with("Steps"));
    cr_assert(problem_of(R"({"Steps":[{"Count":0}]})").starts_with("Count"));
    // A step cannot wait for itself or for a later one.
    cr_assert(problem_of(R"({"Steps":[{"Count":1,"After":[0]}]})")
                  .starts_with("After"));
}

Test(strekbod, malformed_entries_yield_no_worker)
{
    for (char const* body : {"", "{", "[]", "7", R"({"State":"ready"})",
             R"({"Service":"s","Address":"a","State":"gone","Capacity":{}})",
             R"({"Service":7,"Address":"a","State":"ready","Capacity":{}})"})
    {
        cr_assert_not(decode_worker("id", body).has_value());
    }
    auto worker = decode_worker("id",
        R"({"Service":"s","Address":"10.0.0.1:1","Zone":"z","State":"draining",
            "Capacity":{"Cpu":16000,"MemoryRequestMb":2},
            "Labels":["a","r1-3"],"born":77})");
    cr_assert(worker.has_value());
    cr_assert(worker->leaving);
    cr_assert(worker->rack == "r1-3");
    cr_assert(worker->started_ms == 77);
}

Test(strekbod, deeply_nested_entries_yield_no_worker)
{
    for (std::string const& body : {nested("[", "]"), nested("{\"a\":", "}"),
             nested("[{\"a\":", "}]"), std::string(100000, '[')})
    {
        cr_assert_not(decode_worker("id", body).has_value());
    }
    std::string body = worker_body("{}");
    body.insert(1, "\"Capacity\":" + nested("[", "]") + ",");
    body.replace(body.rfind("\"Capacity\""), 10, "\"Capacitx\"");
    cr_assert_not(decode_worker("id", body).has_value());
}

Test(strekbod, a_capacity_that_is_out_of_range_yields_no_worker)
{
    cr_assert(decode_worker("id", worker_body("{}")).has_value());
    for (char const* field : {"Cpu", "MemoryRequestMb", "Gpus"})
    {
        for (char const* value :
            {"1e300", "-1e300", "-1", "-0.5", "1e10", "9223372036854775807",
                "18446744073709551615", "\"NaN\"", "\"16000\"", "[]", "true"})
        {
            std::string changes =
                std::string(R"({"Capacity":{")") + field + "\":" + value + "}}";
            cr_assert_not(decode_worker("id", worker_body(changes)).has_value(),
                "%s", changes.c_str());
        }
    }
    for (char const* capacity : {"[]", "7", "\"\""})
    {
        std::string changes = std::string(R"({"Capacity":)") + capacity + "}";
        cr_assert_not(decode_worker("id", worker_body(changes)).has_value());
    }
    auto worker = decode_worker("id",
        worker_body(R"({"Capacity":{"Cpu":8e3,"MemoryRequestMb":null}})"));
    cr_assert(worker->capacity.cpu_millis == 8000);
    cr_assert(worker->capacity.memory_bytes == 0);
}

Test(strekbod, an_address_that_no_worker_can_have_yields_no_worker)
{
    for (char const* address :
        {"10.0.0.1", "10.0.0.1:", "10.0.0.1:0", "10.0.0.1:70000", "10.0.0.1:-1",
            "10.0.0.1:+1", "10.0.0.1:1e3", "10.0.0.1:80/path", "10.0.0.1:80#",
            "10.0.0.1:80?a=b", "u@10.0.0.1:80", "10.0.0.1:80\\r\\nX: y",
            "10.0.0.1 :80", "10.0.0.1\\u0000x:80", "10.0.0.1:80\\u0000",
            "[::1]:80", "host:80", "10.0.0.256:80", ":80", ""})
    {
        std::string changes = std::string(R"({"Address":")") + address + "\"}";
        cr_assert_not(decode_worker("id", worker_body(changes)).has_value(),
            "%s", address);
    }
}

Test(strekbod, an_entry_with_fields_of_another_type_yields_no_worker)
{
    for (char const* changes : {R"({"Zone":7})", R"({"Labels":"a"})",
             R"({"Labels":{"a":1}})", R"({"Labels":["a",7]})",
             R"({"Labels":[["a"]]})", R"({"born":"77"})", R"({"born":-1})",
             R"({"born":1e300})", R"({"born":18446744073709551615})"})
    {
        cr_assert_not(decode_worker("id", worker_body(changes)).has_value(),
            "%s", changes);
    }
    cr_assert(decode_worker("id", worker_body(R"({"Zone":null,"Labels":null,
            "born":null,"Slots":"x","Extra":[[1e300]]})"))
                  .has_value());
}

Test(strekbod, an_id_that_cannot_be_sent_in_a_header_yields_no_worker)
{
    for (std::string const& id : {std::string(), std::string("a\r\nX: y"),
             std::string("a b"), std::string("a\0b", 3),
             std::string("\xc3\xa9"), std::string(300, 'a')})
    {
        cr_assert_not(decode_worker(id, worker_body("{}")).has_value());
    }
}

Test(strekbod, an_entry_too_large_to_be_recorded_yields_no_worker)
{
    std::string const text(60000, 'a');
    for (std::string const& changes : {R"({"Labels":[")" + text + "\"]}",
             R"({"Zone":")" + text + "\"}", R"({"Service":")" + text + "\"}",
             json{{"Labels", std::vector<std::string>(10000, "a")}}.dump()})
    {
        cr_assert_not(decode_worker("id", worker_body(changes)).has_value());
    }
}

Test(strekbod, a_job_with_an_amount_out_of_range_is_refused)
{
    for (char const* field : {"Cpu", "MemoryRequestMb", "Gpus", "Count"})
    {
        for (char const* value :
            {"-1", "1e300", "9223372036854775807", "18446744073709551615"})
        {
            std::string body =
                std::string(R"({"Steps":[{")") + field + "\":" + value + "}]}";
            cr_assert(problem_of(body).starts_with(field), "%s", body.c_str());
        }
    }
}

Test(strekbod, numbers_out_of_range_in_a_report_are_limited_to_the_range)
{
    watch_result result = decode_watch(
        R"({"ClockMs":1e300,"born":1e300,
            "Running":[["a.0.1.17",1e300,"cp",1e300]],
            "Finished":[[1e300,"a.0.1.9",-1e300,"done",""]]})");
    constexpr std::int64_t max = std::numeric_limits<std::int64_t>::max();
    cr_assert(result.clock_ms == max);
    cr_assert(result.running.at(0).run == static_cast<std::uint64_t>(max));
    cr_assert(result.running.at(0).progress == 100);
    cr_assert(result.completions.at(0).number == max);
    cr_assert(result.completions.at(0).run == 0U);
}

Test(strekbod, a_configuration_gives_routes_and_terms)
{
    auto configuration = decode_configuration(
        R"({"Version":7,"Routes":[{"Name":"r","Host":"h","Prefix":"/p/",
            "Priority":1,"Service":"s","MaxAttempts":4,"SlackFactor":2.2,
            "TargetLatencyMs":1000,
            "Advice":{"DecisionMs":390.0,"PerWorkerMs":5.5}}]})");
    cr_assert(configuration.has_value());
    queue_terms const& terms = configuration->routes.at(0).terms;
    cr_assert(terms.slack_permille == 2200);
    cr_assert(terms.advice.required);
    cr_assert(terms.advice.decision_us == 390000);
    cr_assert(terms.advice.per_worker_us == 5500);
    cr_assert(configuration->worker_connections == 0U);
    cr_assert_not(decode_configuration("{}").has_value());
    cr_assert_not(decode_configuration("nonsense").has_value());
}

// Guards against a job that takes more memory than each instance has.
Test(strekbod, a_job_of_too_many_tasks_is_refused)
{
    auto job_of = [](int steps)
    {
        std::string text = R"({"Specification":"x","Steps":[)";
        for (int i = 0; i < steps; ++i)
        {
            text += std::string(i > 0 ? "," : "") + R"({"Count":10000})";
        }
        return text + "]}";
    };
    cr_assert(problem_of(job_of(5)) == "accepted");
    cr_assert(problem_of(job_of(6)).find("50000 tasks") != std::string::npos);
}

Test(strekbod, the_lowest_connection_limit_of_all_services_is_used)
{
    auto configuration = decode_configuration(
        R"({"Version":3,"Services":[{"Name":"a","ConnectionLimit":64},
            {"Name":"b","ConnectionLimit":48},{"Name":"c"},
            {"Name":"d","ConnectionLimit":-1}]})");
    cr_assert(configuration->worker_connections == 48U);
}

Test(strekbod, task_names_round_trip)
{
    task_id const task{{"5c0e7a21d94b36f8", 2, 1}, 17};
    cr_assert(to_string(task) == "5c0e7a21d94b36f8.2.1.17");
    cr_assert(decode_task(to_string(task)) == task);
    for (char const* name : {"", "a", "a.1", "a.1.2", "a.1.2.x", "a.1.2.3.4"})
    {
        cr_assert_not(decode_task(name).has_value());
    }
}

Test(strekbod, a_watch_answer_is_decoded_and_malformed_rows_are_skipped)
{
    watch_result result = decode_watch(
        R"({"ClockMs":482113,"born":5,"Running":[["a.0.1.17",2,"cp",41,3],[1]],
            "Finished":[[58,"a.0.1.9",1,"done",""],
                        [59,"a.0.1.9",1,"unheard-of",""]]})");
    cr_assert(result.outcome == order_outcome::done);
    cr_assert(result.clock_ms == 482113);
    cr_assert(result.running.size() == 1U);
    cr_assert(result.completions.size() == 1U);
    cr_assert(result.completions[0].outcome == run_outcome::succeeded);
    cr_assert(decode_watch("garbage").outcome == order_outcome::in_doubt);
}

Test(strekbod, refusals_map_to_outcomes)
{
    cr_assert(decode_refusal(409, R"({"Reason":"fence"})") ==
              order_outcome::refused_fenced);
    cr_assert(decode_refusal(409, R"({"Reason":"ticket"})") ==
              order_outcome::refused_ticket);
    cr_assert(decode_refusal(421, "") == order_outcome::other_incarnation);
    cr_assert(decode_refusal(503, "") == order_outcome::not_done);
    cr_assert(decode_refusal(429, "") == order_outcome::not_done);
}

Test(strekbod, base64_round_trips)
{
    for (std::string const& bytes : {std::string(), std::string("a"),
             std::string("ab"), std::string("abc"), std::string("\0\xff\n", 3)})
    {
        cr_assert(decode_base64(encode_base64(bytes)) == bytes);
    }
    cr_assert_not(decode_base64("****").has_value());
}

Test(strekbod, base64_with_misplaced_padding_or_spaces_is_refused)
{
    for (char const* text :
        {"=", "==", "===", "====", "========", "Y===", "YQ=", "YQ", "YQ==\n",
            "YQ==YQ==", " YQ==", "YQ= ", "Y=Q=", "=YQ="})
    {
        cr_assert_not(decode_base64(text).has_value(), "%s", text);
    }
}

Test(strekbod, settings_are_checked_with_file_line_and_key)
{
    std::string const good = "name: n\nfailure_domain: z\n"
                             "caller_address: 127.0.0.1:1\n"
                             "readiness_address: 127.0.0.1:2\n"
                             "peer_address: 127.0.0.1:3\n"
                             "store_address: 127.0.0.1:4\n";
    cr_assert(settings_problem(good) == "accepted");
    std::string const bound = good + "revocation_bound_ms: ";
    cr_assert(settings_problem(bound + "5000\n") == "accepted");
    cr_assert(
        settings_problem(bound + "-1\n").find(":7:") != std::string::npos);
    std::string bad = settings_problem(good + "store_adress: 127.0.0.1:4\n");
    cr_assert(bad.find(":7:") != std::string::npos);
    cr_assert(bad.find("store_adress") != std::string::npos);
    cr_assert(settings_problem("name: n\n").find("failure_domain") !=
              std::string::npos);
}

// Guards against an order that was carried out and is taken for refused.
Test(strekbod, an_error_that_promises_nothing_leaves_an_order_in_doubt)
{
    for (int status : {204, 302, 500, 502, 504})
    {
        cr_assert(decode_refusal(status, "") == order_outcome::in_doubt);
    }
}
