/// The copy of the operator's configuration that an instance follows in the
/// store.
#include "toucanlever/cell/configuration_follower.hpp"

#include "toucanlever/core/error.hpp"

#include "fake_record_store.hpp"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>

using namespace toucanlever;

namespace
{

/// Documents of this test are just a version number, or "invalid".
std::optional<cell_configuration> decode_version(std::string const& text)
{
    if (text == "invalid")
    {
        throw error(error_code::bad_request, "a field", "test");
    }
    cell_configuration result;
    result.version = std::atoll(text.c_str());
    return result.version > 0 ? std::optional(result) : std::nullopt;
}

/// The wait of the last answered call and of the next one, and two steps of the
/// clock.
constexpr std::int64_t undisturbed_age_ms = 2100;

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

    /// How old the confirmation of the version in force is; -1 for none.
    std::int64_t age_ms()
    {
        auto confirmed = this->follower.confirmed_time();
        return confirmed ? std::chrono::duration_cast<milliseconds>(
                               this->loop.now() - *confirmed)
                               .count()
                         : -1;
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

// Guards against keys that a rejected version removes and that are served for
// as long as the store answers.
Test(configuration_follower, a_rejected_version_is_no_confirmation)
{
    for (char const* rejected : {"invalid", "text"})
    {
        following_instance instance;
        instance.write("4");
        instance.run_for(milliseconds(3000));
        cr_assert(instance.age_ms() <= undisturbed_age_ms);
        instance.write(rejected);
        instance.run_for(milliseconds(6000));
        cr_assert(instance.age_ms() >= 6000);
        cr_assert(instance.queues.version() == 4);
        // The snapshot has the rejected version, too.
        instance.store.history_lost = true;
        instance.run_for(milliseconds(2000));
        cr_assert(instance.age_ms() >= 8000);
        instance.write("6");
        instance.run_for(milliseconds(100));
        cr_assert(instance.queues.version() == 6);
        cr_assert(instance.age_ms() <= undisturbed_age_ms);
    }
}

// Guards against an instance that takes the time of its start, or of the
// answer, for the time as of which it knows all versions.
Test(configuration_follower, a_confirmation_counts_from_the_sending_of_a_call)
{
    following_instance instance;
    instance.store.unavailable = true;
    queue_directory queues;
    configuration_follower restarted(instance.loop, instance.store,
        configuration_source{"op", "config", &decode_version}, queues);
    restarted.adopt("4", "peer");
    cr_assert_not(restarted.confirmed_time().has_value());
    instance.store.unavailable = false;
    instance.run_for(milliseconds(4000));
    // The process is frozen while a call is in flight.
    instance.time.advance(milliseconds(20000));
    cr_assert(instance.age_ms() >= 20000);
    instance.loop.run_ready();
    cr_assert(instance.age_ms() >= 20000);
    instance.run_for(milliseconds(2100));
    cr_assert(instance.age_ms() <= undisturbed_age_ms);
}

// Guards against an older version that is confirmed by a peer that has a newer
// one, or by a late message.
Test(configuration_follower, an_attestation_confirms_no_older_version)
{
    following_instance instance;
    instance.write("4");
    instance.run_for(milliseconds(200));
    instance.store.unavailable = true;
    instance.run_for(milliseconds(8000));
    instance.follower.attest(5, instance.loop.now());
    cr_assert(instance.age_ms() >= 7000);
    instance.follower.attest(4, instance.loop.now() - milliseconds(300));
    cr_assert(instance.age_ms() == 300);
    instance.follower.attest(4, instance.loop.now() - milliseconds(2000));
    cr_assert(instance.age_ms() == 300);
}
