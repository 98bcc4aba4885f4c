/// Callers' requests with keys of customers, at one instance with an in-memory
/// store.
#include "caller_api.hpp"
#include "decode.hpp"

#include "toucanlever/core/log.hpp"

#include "fake_record_store.hpp"
#include "fake_workers.hpp"
#include "loopback.hpp"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <cstdio>
#include <fstream>
#include <sstream>
#include <unistd.h>

using namespace toucanlever;
using namespace toucanlever::strekbod;

namespace
{

constexpr char job_path[] = "/p/00000000000000aa";

class no_policy final : public placement_advice
{
public:
    void request_advice(
        step_id const&, std::vector<std::string> const&, callback done) override
    {
        done({});
    }
};

/// Keeps the answer.
class kept_exchange final : public http_exchange
{
public:
    void answer(http_response response) override
    {
        this->answered = std::move(response);
    }

    http_response answered{0, {}, {}};
};

class single_instance
{
public:
    single_instance() { this->run_for(milliseconds(3000)); }

    /// Writes a version of the configuration and waits until it is in force.
    void configure(std::string const& tenants)
    {
        std::string version = std::to_string(this->queues.version() + 1);
        this->store.set({"op", "", "config"},
            R"({"Version":)" + version +
                R"(,"Routes":[{"Host":"h","Prefix":"/p/","Name":"r",)"
                R"("Service":"s"},{"Host":"h","Prefix":"/open/",)"
                R"("Name":"o","Service":"s","Public":true}])" +
                tenants + "}");
        this->run_for(milliseconds(200));
    }

    /// Sends a request, whose answer the exchange keeps.
    std::shared_ptr<kept_exchange> begin_call(std::string const& method,
        std::string const& path, std::string const& key = {})
    {
        http_request request;
        request.method = method;
        request.path = path;
        request.headers = {{"Host", "h"}};
        if (!key.empty())
        {
            request.headers.push_back({"Credential", key});
        }
        request.body = R"({"Steps":[{"Count":1}]})";
        auto exchange = std::make_shared<kept_exchange>();
        this->callers.on_request(std::move(request), exchange);
        return exchange;
    }

    http_response call(std::string const& method, std::string const& path,
        std::string const& key = {})
    {
        auto exchange = this->begin_call(method, path, key);
        if (exchange->answered.status == 0)
        {
            this->run_for(milliseconds(3000));
        }
        return exchange->answered;
    }

    int status(std::string const& method, std::string const& path,
        std::string const& key = {})
    {
        return this->call(method, path, key).status;
    }

    void run_for(milliseconds duration)
    {
        constexpr milliseconds step{20};
        for (milliseconds elapsed{0}; elapsed < duration; elapsed += step)
        {
            this->time.advance(step);
            this->loop.run_ready();
        }
    }

    static cell_settings make_settings()
    {
        cell_settings settings;
        settings.name = "node";
        settings.failure_domain = "d";
        settings.peer_address = own_ip(10) + ":7500";
        return settings;
    }

    manual_clock time;
    event_loop loop{this->time};
    fake_record_store store{this->loop};
    fake_workers workers{this->loop};
    no_policy policy;
    queue_directory queues;
    configuration_follower configuration{this->loop, this->store,
        configuration_source{"op", "config", &decode_configuration},
        this->queues};
    cell_node node{
        cell_node_dependencies{this->loop, this->store, this->workers,
            this->policy, this->configuration, "servers", &decode_worker},
        make_settings()};
    caller_authenticator authenticator{this->queues, milliseconds(5000)};
    caller_api callers{this->loop, this->node, this->queues, "node",
        this->authenticator, this->configuration, milliseconds(300)};
};

constexpr char one_tenant[] =
    R"(,"Tenants":[{"Name":"acme","ApiKeys":["top-secret"],"Weight":4}])";

/// Runs `action` and returns what was logged meanwhile.
std::string log_of(std::function<void()> const& action)
{
    std::fflush(stdout);
    char name[] = "/tmp/log-XXXXXX";
    int file = mkstemp(name);
    int original = ::dup(STDOUT_FILENO);
    ::dup2(file, STDOUT_FILENO);
    start_log("test", "node");
    action();
    stop_log();
    std::fflush(stdout);
    ::dup2(original, STDOUT_FILENO);
    ::close(original);
    ::close(file);
    std::ostringstream text;
    text << std::ifstream(name).rdbuf();
    std::remove(name);
    return text.str();
}

} // namespace

// Guards against keys that are asked for where none are configured, and against
// a route that can be probed without a key.
Test(caller_api, the_route_is_found_before_the_key_is_checked)
{
    single_instance cell;
    cell.configure("");
    cr_assert(cell.status("POST", job_path) == 200);
    cell.configure(one_tenant);
    cr_assert(cell.status("POST", "/other/00000000000000aa") == 404);
    for (char const* method : {"POST", "GET", "DELETE", "PUT"})
    {
        cr_assert(cell.status(method, job_path) == 401);
        cr_assert(cell.status(method, "/p/not-an-id", "other") == 401);
    }
    cr_assert(cell.status("GET", "/p/") == 401);
    http_response answer = cell.call("GET", job_path, "other");
    cr_assert(nlohmann::json::parse(answer.body).contains("Error"));
    cr_assert(cell.status("GET", "/p/not-an-id", "top-secret") == 404);
    cr_assert(cell.status("POST", "/open/00000000000000ab") == 200);
}

// Guards against keys that outlive the version that removes them.
Test(caller_api, a_key_is_added_and_removed_by_a_version)
{
    single_instance cell;
    cell.configure(R"(,"Tenants":[])");
    cr_assert(cell.status("POST", job_path, "top-secret") == 401);
    cell.configure(one_tenant);
    cr_assert(cell.status("POST", job_path, "top-secret") == 200);
    auto row = cell.store.find({"jobs", "node", "00000000000000aa"});
    cr_assert(row != nullptr);
    auto record = unpack<work_record>(row->value, "test");
    cr_assert(record.customer.name == "acme");
    cr_assert(record.customer.weight == 4);
    cell.configure(R"(,"Tenants":[])");
    cr_assert(cell.status("GET", job_path, "top-secret") == 401);
}

// Guards against a removed key that an instance serves without the store, and
// against an answer that denies a job that may run.
Test(caller_api, keys_that_cannot_be_verified_are_not_served)
{
    single_instance cell;
    cell.configure(one_tenant);
    cell.store.unavailable = true;
    // The store does not answer this one.
    cr_assert(cell.status("POST", job_path, "top-secret") == 504);
    cell.run_for(milliseconds(6000));
    cr_assert_not(cell.callers.can_verify_keys());
    http_response answer = cell.call("GET", job_path, "top-secret");
    cr_assert(answer.status == 503);
    cr_assert(find_field(answer.headers, "Retry-After") == "1");
    cr_assert(cell.status("GET", job_path, "other") == 503);
    cr_assert(cell.status("GET", job_path) == 401);
    cr_assert(cell.status("POST", "/p/00000000000000ac", "top-secret") == 503);
    for (char const* key : {"top-secret", "other", ""})
    {
        cr_assert(cell.status("POST", job_path, key) == 504);
    }
    cell.store.unavailable = false;
    cell.run_for(milliseconds(1000));
    // Probes the store, as the readiness check does.
    cell.node.can_accept();
    cell.run_for(milliseconds(1000));
    cr_assert(cell.callers.can_verify_keys());
    cr_assert(cell.status("POST", "/p/00000000000000ac", "top-secret") == 200);
}

// Guards against keys that operators, or readers of collected logs, can see.
Test(caller_api, no_log_line_contains_a_key)
{
    single_instance cell;
    std::string log = log_of(
        [&cell]
        {
            cell.configure(one_tenant);
            cell.status("POST", job_path, "top-secret");
            cell.status("POST", job_path, "wrong-secret");
            cell.configure(
                R"(,"Tenants":[{"Name":"a","ApiKeys":["new-secret"]},
                    {"Name":"b","ApiKeys":["new-secret"]}])");
            cell.run_for(milliseconds(6000));
            cell.status("POST", job_path, "top-secret");
        });
    for (char const* part : {"customer=acme", "status=401 reason=unknown-key",
             "status=503 reason=keys-unverified", "event=config-refused",
             "Tenants[1].ApiKeys[0]", "event=keys-unverified"})
    {
        cr_assert(log.find(part) != std::string::npos, "%s", part);
    }
    cr_assert(log.find("secret") == std::string::npos);
}

// Guards against queries that still wait for the outcome of their job when the
// instance ends.
Test(caller_api, no_query_waits_until_the_instance_ends)
{
    single_instance cell;
    cell.configure("");
    cr_assert(cell.status("POST", job_path) == 200);
    auto answered_within = [&cell](milliseconds limit)
    {
        auto exchange = cell.begin_call("GET", job_path);
        cell.run_for(limit);
        return exchange->answered.status == 200;
    };
    cr_assert_not(answered_within(milliseconds(200)));
    cr_assert(answered_within(milliseconds(400)));
    // Long before the end, queries wait as always.
    cell.callers.begin_shutdown(cell.loop.now() + milliseconds(1200));
    auto early = cell.begin_call("GET", job_path);
    cell.run_for(milliseconds(200));
    cr_assert(early->answered.status == 0);
    cell.run_for(milliseconds(600));
    cr_assert(early->answered.status == 200);
    auto shorter = cell.begin_call("GET", job_path);
    cell.run_for(milliseconds(240));
    cr_assert(shorter->answered.status == 200);
    cr_assert(cell.begin_call("GET", job_path)->answered.status == 200);
}

// Guards against submissions that an instance takes and cannot finish.
Test(caller_api, a_job_is_refused_shortly_before_the_instance_ends)
{
    single_instance cell;
    cell.configure("");
    cell.callers.begin_shutdown(cell.loop.now() + milliseconds(600));
    cr_assert(cell.begin_call("POST", job_path)->answered.status == 200);
    cell.run_for(milliseconds(440));
    auto refused = cell.begin_call("POST", "/p/00000000000000ab");
    cr_assert(refused->answered.status == 503);
    cr_assert(find_field(refused->answered.headers, "Retry-After").has_value());
    cr_assert(find_field(refused->answered.headers, "Connection") == "close");
    cr_assert(cell.begin_call("GET", job_path)->answered.status == 200);
}
