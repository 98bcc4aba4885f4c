/// toucan-scheduler: membership, configuration, ownership, jobs and placing.
#include "programs/command_line.hpp"

#include "toucanlever/control/scheduler.hpp"
#include "toucanlever/platform/http_platform.hpp"
#include "toucanlever/platform/http_workers.hpp"

namespace
{

using namespace toucanlever;

/// Keeps one incarnation alive and replaces it when it was succeeded.
class scheduler_process
{
public:
    explicit scheduler_process(scheduler_settings const& settings)
        : settings(settings)
        , loop(this->time)
        , client(this->loop)
        , platform(this->client, settings.platform, settings.platform_timeout)
        , workers(this->client, settings.worker_timeout)
    {
    }

    void run()
    {
        this->loop.on_stop_signal([this] { this->stop(); });
        this->start_incarnation();
        this->loop.run();
    }

private:
    void start_incarnation()
    {
        this->current = std::make_unique<scheduler>(this->loop, this->settings,
            scheduler_platform{this->platform, this->platform, this->workers},
            [this] { this->loop.post([this] { this->restart(); }); });
    }

    void restart()
    {
        this->current.reset();
        this->start_incarnation();
    }

    void stop()
    {
        this->current->shut_down([this] { this->loop.stop(); });
    }

    scheduler_settings const& settings;
    steady_clock time;
    event_loop loop;
    http_client client;
    http_platform platform;
    http_workers workers;
    std::unique_ptr<scheduler> current;
};

} // namespace

int main(int argc, char** argv)
{
    return run_daemon(argc, argv, "toucan-scheduler", &load_scheduler_settings,
        [](scheduler_settings const& settings)
        { scheduler_process(settings).run(); });
}
