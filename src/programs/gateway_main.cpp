/// toucan-gateway: callers' and operators' HTTP.
#include "programs/command_line.hpp"

#include "toucanlever/gateway/gateway.hpp"

namespace
{

using namespace toucanlever;

void run(gateway_settings const& settings)
{
    steady_clock time;
    event_loop loop(time);
    http_client client(loop);
    gateway front(loop, client, settings);
    loop.on_stop_signal(
        [&front, &loop] { front.shut_down([&loop] { loop.stop(); }); });
    loop.run();
}

} // namespace

int main(int argc, char** argv)
{
    return run_daemon(
        argc, argv, "toucan-gateway", &load_gateway_settings, &run);
}
