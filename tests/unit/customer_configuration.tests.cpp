/// Customers in the operator's configuration: what is accepted, and what is
/// rejected with the path of the field.
#include "decode.hpp"

#include "toucanlever/core/error.hpp"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>

using namespace toucanlever;
using namespace toucanlever::strekbod;

namespace
{

cell_configuration decode(std::string const& tenants)
{
    return *decode_configuration(R"({"Version":7,"Tenants":)" + tenants + "}");
}

std::string problem_of(std::string const& tenants)
{
    try
    {
        decode(tenants);
    }
    catch (error const& problem)
    {
        cr_assert(problem.code == error_code::bad_request);
        return problem.what();
    }
    return "accepted";
}

} // namespace

Test(customer_configuration, a_customer_has_terms_and_keys)
{
    cell_configuration configuration = decode(R"([{"Name":"a","Weight":2.5,
        "ApiKeys":["k1","k2","k1"],"Extra":[],
        "Cap":{"Cpu":0.5,"MemoryRequestMb":2,"Gpus":3,"Extra":"x"}},
        {"Name":"b"}])");
    customer const& first = configuration.customers.at(0);
    cr_assert(first.terms.name == "a");
    cr_assert(first.terms.weight == 3);
    // A fraction must not become 0, which means no limit.
    cr_assert(first.terms.cap.cpu_millis == 1);
    cr_assert(first.terms.cap.memory_bytes == 2 * 1024 * 1024);
    cr_assert(first.terms.cap.accelerators == 3);
    std::vector<std::string> const keys{"k1", "k2"};
    cr_assert(first.keys == keys);
    cr_assert(configuration.customers.at(1).keys.empty());
    cr_assert(configuration.customers.at(1).terms.cap == resources{});
}

// Guards against a configuration that is applied in part, and against keys in
// messages.
Test(customer_configuration, invalid_customers_are_rejected_with_the_path)
{
    std::string const long_key(4097, 'k');
    std::vector<std::pair<std::string, std::string>> const cases{
        {"null", "Tenants:"}, {"{}", "Tenants:"}, {"7", "Tenants:"},
        {"[7]", "Tenants[0]:"}, {"[{}]", "Tenants[0].Name:"},
        {R"([{"Name":""}])", "Tenants[0].Name:"},
        {R"([{"Name":7}])", "Tenants[0].Name:"},
        {R"([{"Name":"a"},{"Name":"b"},{"Name":"a"}])", "Tenants[2].Name:"},
        {R"([{"Name":"a","ApiKeys":"secret"}])", "Tenants[0].ApiKeys:"},
        {R"([{"Name":"a","ApiKeys":{}}])", "Tenants[0].ApiKeys:"},
        {R"([{"Name":"a","ApiKeys":["k",""]}])", "Tenants[0].ApiKeys[1]:"},
        {R"([{"Name":"a","ApiKeys":[["secret"]]}])", "Tenants[0].ApiKeys[0]:"},
        {R"([{"Name":"a","ApiKeys":[")" + long_key + R"("]}])",
            "Tenants[0].ApiKeys[0]:"},
        {R"([{"Name":"a","ApiKeys":["x","secret"]},
             {"Name":"b","ApiKeys":["secret"]}])",
            "Tenants[1].ApiKeys[0]:"},
        {R"([{"Name":"a","Weight":-0.1}])", "Tenants[0].Weight:"},
        {R"([{"Name":"a","Weight":"2"}])", "Tenants[0].Weight:"},
        {R"([{"Name":"a","Weight":null}])", "Tenants[0].Weight:"},
        {R"([{"Name":"a","Weight":1e300}])", "Tenants[0].Weight:"},
        {R"([{"Name":"a","Cap":[]}])", "Tenants[0].Cap:"},
        {R"([{"Name":"a","Cap":{"Cpu":-1}}])", "Tenants[0].Cap.Cpu:"},
        {R"([{"Name":"a","Cap":{"MemoryRequestMb":"1"}}])",
            "Tenants[0].Cap.MemoryRequestMb:"},
        {R"([{"Name":"a","Cap":{"Gpus":18446744073709551615}}])",
            "Tenants[0].Cap.Gpus:"}};
    for (auto const& [tenants, path] : cases)
    {
        std::string problem = problem_of(tenants);
        cr_assert(problem.starts_with(path), "%s", problem.c_str());
        cr_assert(problem.find("secret") == std::string::npos);
        cr_assert(problem.find("kkk") == std::string::npos);
    }
}

// Guards against a limit, or a time, that the largest configurations exceed.
Test(customer_configuration, ten_thousand_customers_are_accepted)
{
    std::string tenants = "[";
    for (int i = 0; i < 10000; ++i)
    {
        std::string number = std::to_string(i);
        tenants += i == 0 ? "" : ",";
        tenants += R"({"Name":"c)" + number + R"(","ApiKeys":["k)" + number +
                   R"("],"Weight":5})";
    }
    cr_assert(decode(tenants + "]").customers.size() == 10000U);
}
