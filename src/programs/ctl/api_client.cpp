#include "programs/ctl/api_client.hpp"

#include "toucanlever/http/client.hpp"

namespace toucanlever
{

api_answer call_api(api_target const& target, std::string const& method,
    std::string const& path, std::string const& body,
    std::string const& idempotency_key, int timeout_s)
{
    steady_clock time;
    event_loop loop(time);
    http_client client(loop);
    http_command call;
    call.method = method;
    call.url = "http://" + target.gateway + path;
    call.body = body;
    call.timeout = std::chrono::seconds(timeout_s);
    call.headers.push_back({"Authorization", "Bearer " + target.token});
    if (!idempotency_key.empty())
    {
        call.headers.push_back({"Idempotency-Key", idempotency_key});
    }
    api_answer answer;
    client.send(std::move(call),
        [&answer, &loop](command_result const& result)
        {
            if (result.delivery == http_delivery::answered)
            {
                answer.status = result.response.status;
                answer.text = result.response.body;
                answer.body =
                    nlohmann::json::parse(answer.text, nullptr, false);
            }
            else
            {
                answer.text = result.problem;
            }
            loop.stop();
        });
    loop.run();
    return answer;
}

} // namespace toucanlever
