/// Tests that the active scheduler learns of each stored cancellation.
#include "toucanlever/cell/cancellation_notices.hpp"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <vector>

using namespace toucanlever;

namespace
{

struct notice_fixture
{
    manual_clock time;
    event_loop loop{this->time};
    bool acknowledges = false;
    std::vector<std::string> sent;
    cancellation_notices notices{this->loop,
        [this](std::string const& job, std::function<void(bool)> const& done)
        {
            this->sent.push_back(job);
            done(this->acknowledges);
        }};
};

} // namespace

Test(cancellation_notices, are_repeated_until_a_scheduler_acknowledges_them)
{
    notice_fixture fixture;
    fixture.notices.add("a");
    fixture.notices.resend();
    cr_assert(fixture.sent.size() == 2U);
    fixture.acknowledges = true;
    fixture.notices.resend();
    fixture.notices.resend();
    cr_assert(fixture.sent.size() == 3U);
    cr_assert(fixture.notices.size() == 0U);
}

Test(cancellation_notices, are_given_up_when_no_scheduler_acknowledges_them)
{
    notice_fixture fixture;
    fixture.notices.add("a");
    fixture.time.advance(std::chrono::seconds(31));
    fixture.notices.resend();
    cr_assert(fixture.sent.size() == 1U);
    cr_assert(fixture.notices.size() == 0U);
}

Test(cancellation_notices, are_bounded_in_number)
{
    notice_fixture fixture;
    for (int i = 0; i < 5000; ++i)
    {
        fixture.notices.add(std::to_string(i));
    }
    // Each is sent once, whether or not it can be repeated.
    cr_assert(fixture.sent.size() == 5000U);
    cr_assert(fixture.notices.size() <= 2000U);
}
