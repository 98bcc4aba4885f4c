/// Tests that claims of calls in flight add up and leave nothing behind.
#include "toucanlever/cell/advice_claims.hpp"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>

using namespace toucanlever;

namespace
{

std::vector<std::string> const both{"a", "b"};
std::vector<std::string> const one{"a"};
resources const small{100, 10, 0};
resources const large{300, 20, 1};

} // namespace

Test(advice_claims, add_up_and_end_with_their_calls)
{
    advice_claims claims;
    claims.add(both, small);
    claims.add(one, large);
    cr_assert(claims.on("a") == small + large);
    cr_assert(claims.on("b") == small);
    claims.remove(both, small);
    cr_assert(claims.on("a") == large);
    claims.remove(one, large);
    cr_assert(claims.on("a") == resources{});
    cr_assert(claims.on("b") == resources{});
}

Test(advice_claims, a_call_without_expected_use_outlives_another_one)
{
    advice_claims claims;
    claims.add(one, small);
    claims.add(one, {});
    claims.remove(one, small);
    claims.remove(one, {});
    cr_assert(claims.on("a") == resources{});
}
