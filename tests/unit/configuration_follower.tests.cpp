/// The copy of the operator's configuration that an instance follows in the
/// store.
#include "toucanlever/cell/configuration_follower.hpp"

#include "fake_record_store.hpp"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>

using namespace toucanlever;

namespace
{

/// Documents of this test are just a version number.
std::optional<cell_configuration> decode_version(std::string const& text)
{
    cell_configuration result;
    result.version = std::atoll(text.c_str());
    return result.version > 0 ? std::optional(result) : std::nullopt;
}

/// An instance that follows the document on a manual clock.
class following_instance
{
public:
    void write(std::string const& text)
    {
        this->store.set({"op", "", "config"}, text);
    }

    void run_for(milliseconds duration)
    {
        constexpr milliseconds step{50};
        for (milliseconds elapsed{0}; elapsed < duration; elapsed += step)
        {
            this->time.advance(step);
            this->loop.run_ready();
        }
    }

    manual_clock time;
    event_loop loop{this->time};
    fake_record_store store{this->loop};
    queue_directory queues;
    configuration_follower follower{this->loop, this->store,
        configuration_source{"op", "config", &decode_version}, this->queues};
};

} // namespace

Test(configuration_follower, a_version_is_in_force_once_the_store_reports_it)
{
    following_instance instance;
    instance.run_for(milliseconds(200));
    cr_assert(instance.queues.empty());
    instance.write("4");
    instance.run_for(milliseconds(100));
    cr_assert(instance.queues.version() == 4);
    instance.write("9");
    instance.run_for(milliseconds(100));
    cr_assert(instance.queues.version() == 9);
}

Test(configuration_follower, an_older_or_unreadable_version_changes_nothing)
{
    following_instance instance;
    instance.write("9");
    instance.run_for(milliseconds(100));
    for (char const* text : {"8", "9", "", "text", "-1"})
    {
        instance.write(text);
        instance.run_for(milliseconds(100));
        cr_assert(instance.queues.version() == 9);
    }
}

Test(configuration_follower, a_version_behind_a_lost_history_is_read_anew)
{
    following_instance instance;
    instance.write("4");
    instance.run_for(milliseconds(100));
    instance.store.unavailable = true;
    instance.run_for(milliseconds(2000));
    instance.write("5");
    instance.store.history_lost = true;
    instance.store.unavailable = false;
    instance.run_for(milliseconds(1000));
    cr_assert(instance.queues.version() == 5);
}

Test(configuration_follower, the_end_of_another_read_does_not_stop_its_retries)
{
    following_instance instance;
    // The reactor hands out its ids in turn; each round shifts them by one
    // more, so that in one of them the follower's timer gets the id of the
    // read's.
    constexpr int rounds = 1100;
    for (int round = 1; round <= rounds; ++round)
    {
        instance.store.rejecting = true;
        auto read = std::make_unique<record_scan>(instance.loop, instance.store,
            "jobs", "", [](std::vector<record> const&, std::int64_t) {});
        instance.store.rejecting = false;
        instance.run_for(milliseconds(250));
        for (int i = 0; i < round; ++i)
        {
            instance.loop.cancel(
                instance.loop.after(milliseconds(1000), [] {}));
        }
        instance.store.rejecting = true;
        instance.run_for(milliseconds(1000));
        read.reset();
        instance.store.rejecting = false;
        instance.write(std::to_string(round));
        instance.run_for(milliseconds(550));
        cr_assert(instance.queues.version() == round);
    }
}
