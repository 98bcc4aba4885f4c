/// Invalid input from callers and operators gives clear errors, not crashes.
#include "toucanlever/control/cell_config.hpp"
#include "toucanlever/control/scheduler_settings.hpp"
#include "toucanlever/core/error.hpp"
#include "toucanlever/core/job.hpp"
#include "toucanlever/core/log.hpp"
#include "toucanlever/core/settings_file.hpp"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>

using namespace toucanlever;

namespace
{

std::string refusal_of(std::string const& body)
{
    try
    {
        parse_job_spec(body);
        return {};
    }
    catch (error const& problem)
    {
        cr_assert(problem.ran == run_state::no);
        return problem.what();
    }
}

std::string problem_of(std::string const& yaml)
{
    try
    {
        parse_cell_config(yaml, "cell.yaml");
        return {};
    }
    catch (settings_error const& problem)
    {
        return problem.what();
    }
}

bool has(std::string const& text, std::string const& part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

Test(job_input, a_full_job_is_read_as_written)
{
    job_spec spec = parse_job_spec(
        R"({"kind":"gang","tasks":3,"cpu_millis":500,"urgent":true})");
    cr_assert(spec.kind == job_kind::gang);
    cr_assert(spec.tasks == 3U);
    cr_assert(spec.need.cpu_millis == 500);
    cr_assert(spec.urgent);
}

Test(job_input, what_is_not_json_is_refused)
{
    for (char const* body : {"", "{", "[1,2", "{\"a\":}", "nul",
             "{\"name\":\"\xff\xfe\"}", "\"text\"", "7", "[]"})
    {
        cr_assert(not refusal_of(body).empty(), "%s", body);
    }
}

Test(job_input, deep_json_is_refused)
{
    std::string deep(100000, '[');
    cr_assert(has(refusal_of(deep), "nested deeper"));
}

Test(job_input, amounts_out_of_range_name_the_field)
{
    cr_assert(has(refusal_of(R"({"cpu_millis":0})"), "cpu_millis"));
    cr_assert(has(refusal_of(R"({"cpu_millis":-5})"), "cpu_millis"));
    cr_assert(has(refusal_of(R"({"memory_bytes":1e30})"), "memory_bytes"));
    cr_assert(has(refusal_of(R"({"memory_bytes":18446744073709551615})"),
        "memory_bytes"));
    cr_assert(has(refusal_of(R"({"accelerators":-1})"), "accelerators"));
    cr_assert(has(refusal_of(R"({"tasks":0,"kind":"gang"})"), "tasks"));
    cr_assert(has(refusal_of(R"({"tasks":2})"), "gang"));
    cr_assert(has(refusal_of(R"({"cpu_millis":1.5})"), "cpu_millis"));
}

Test(job_input, unknown_fields_kinds_and_wrong_types_are_refused)
{
    cr_assert(has(refusal_of(R"({"cpus":4})"), "cpus"));
    cr_assert(has(refusal_of(R"({"kind":"cron"})"), "kind"));
    cr_assert(has(refusal_of(R"({"urgent":"yes"})"), "urgent"));
    cr_assert(has(refusal_of(R"({"name":7})"), "name"));
    cr_assert(
        has(refusal_of(R"({"input":")" + std::string(70000, 'x') + R"("})"),
            "input"));
}

Test(configuration, problems_name_line_column_key_and_what_was_expected)
{
    std::string text = problem_of("customers:\n"
                                  "  - name: a\n"
                                  "    token: t\n"
                                  "    max_open_jobs: many\n"
                                  "presets:\n  - name: p\n");
    cr_assert(has(text, "cell.yaml:4:20"), "%s", text.c_str());
    cr_assert(has(text, "max_open_jobs"));
    cr_assert(has(text, "integer"));
}

Test(configuration, unknown_keys_and_names_are_refused)
{
    std::string customers = "customers:\n  - {name: a, token: t}\n";
    std::string presets = "presets:\n  - {name: p}\n";
    cr_assert(problem_of(customers + presets).empty());
    cr_assert(has(problem_of(customers + presets + "colour: red\n"), "colour"));
    cr_assert(
        has(problem_of(customers +
                       "presets:\n  - {name: p, entitlements: {nobody: 1}}\n"),
            "nobody"));
    cr_assert(has(problem_of("customers:\n  - {name: a, token: t}\n"
                             "  - {name: b, token: t}\n" +
                             presets),
        "twice"));
    cr_assert(has(problem_of(presets), "customers"));
    cr_assert(has(problem_of("a: [1"), "not YAML"));
    cr_assert(has(problem_of("just text"), "mapping"));
}

Test(settings, addresses_are_ip_numbers_with_a_port)
{
    cr_assert(is_address("127.0.0.1:80"));
    for (char const* wrong : {"localhost:80", "127.0.0.1", "127.0.0.1:0",
             "127.0.0.1:65536", "127.0.0.1:x", ":80", ""})
    {
        cr_assert(not is_address(wrong), "%s", wrong);
    }
}

Test(log, values_are_escaped_so_that_a_line_stays_one_line)
{
    cr_assert(escape_log_value("plain-1.2") == "plain-1.2");
    cr_assert(escape_log_value("two words") == "\"two words\"");
    cr_assert(escape_log_value("a\nb") == "\"a\\x0ab\"");
    cr_assert(escape_log_value("q\"=") == "\"q\\\"=\"");
    cr_assert(escape_log_value("") == "\"\"");
}
