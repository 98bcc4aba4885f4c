/// Instances of a cell with links among them, and an in-memory store that each
/// of them can be disconnected from.
#include "toucanlever/cell/cell_node.hpp"

#include "fake_record_store.hpp"
#include "fake_workers.hpp"
#include "loopback.hpp"

#include <array>
#include <criterion/criterion.h>
#include <criterion/new/assert.h>

using namespace toucanlever;

namespace
{

/// The store as one instance sees it; every call fails while `disconnected`.
class disconnectable_store final : public record_store
{
public:
    explicit disconnectable_store(fake_record_store& backend)
        : backend(backend)
    {
    }

    void commit(record_change const& change, milliseconds timeout,
        change_callback done) override
    {
        if (this->withholds_commits)
        {
            return;
        }
        if (this->disconnected || this->refuses_commits)
        {
            done({change_outcome::not_done, 0, {}});
            return;
        }
        this->backend.commit(change, timeout, std::move(done));
    }

    void read(std::string const& table, std::string const& part,
        std::string const& from, std::string const& until,
        read_callback done) override
    {
        if (this->disconnected)
        {
            done({});
            return;
        }
        this->backend.read(table, part, from, until, std::move(done));
    }

    void parts(std::string const& table, parts_callback done) override
    {
        if (this->disconnected)
        {
            done(std::nullopt);
            return;
        }
        this->backend.parts(table, std::move(done));
    }

    void changes(std::string const& table, std::int64_t after,
        milliseconds wait, read_callback done) override
    {
        if (this->disconnected)
        {
            done({});
            return;
        }
        this->backend.changes(table, after, wait, std::move(done));
    }

    bool disconnected = false;
    bool refuses_commits = false;
    /// Commits are lost, and get no answer.
    bool withholds_commits = false;

private:
    fake_record_store& backend;
};

/// Approves nothing; no queue of these tests uses the external placement
/// policy.
class no_policy final : public placement_advice
{
public:
    void request_advice(
        step_id const&, std::vector<std::string> const&, callback done) override
    {
        done({});
    }
};

/// Documents of these tests are just a version number.
std::optional<cell_configuration> decode_version(std::string const& text)
{
    cell_configuration result;
    result.version = std::atoll(text.c_str());
    return result.version > 0 ? std::optional(result) : std::nullopt;
}

/// A cell of three instances; its active scheduler is elected on construction.
class three_instance_cell
{
public:
    explicit three_instance_cell(std::array<double, 3> shares = {1.0, 1.0, 1.0})
        : cpu_shares(shares)
    {
        for (int i = 0; i < count; ++i)
        {
            this->stores.push_back(
                std::make_unique<disconnectable_store>(this->store));
            this->queues.push_back(std::make_unique<queue_directory>());
            this->followers.push_back(std::make_unique<configuration_follower>(
                this->loop, *this->stores.back(),
                configuration_source{"op", "config", &decode_version},
                *this->queues.back()));
            this->nodes.push_back(this->make_node(i));
        }
        this->run_for(milliseconds(3000));
    }

    std::unique_ptr<cell_node> make_node(int index)
    {
        cell_settings settings;
        settings.name = "node-" + std::to_string(index);
        settings.failure_domain = "d";
        settings.peer_address = own_ip(index + 10) + ":7500";
        settings.log_decisions = false;
        auto own = static_cast<std::size_t>(index);
        settings.cpu_share = this->cpu_shares.at(own);
        cell_node_dependencies parts{this->loop, *this->stores[own],
            this->workers, this->policy, *this->followers[own],
            "workers-listed", [](std::string const&, std::string const&) {
                return std::optional<worker_entry>();
            }};
        return std::make_unique<cell_node>(std::move(parts), settings);
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

    /// The index of the instance that the store names as the leader.
    std::size_t find_leader()
    {
        auto row = unpack<leader_row>(
            this->store.find(leader_row_key())->value, "test");
        return static_cast<std::size_t>(row.name.back() - '0');
    }

    /// Another instance, where nothing listens, becomes the leader.
    void replace_leader()
    {
        auto row = unpack<leader_row>(
            this->store.find(leader_row_key())->value, "test");
        row.name = "other";
        row.address = own_ip(30) + ":7500";
        ++row.fencing_token;
        this->store.set(leader_row_key(), pack(row));
    }

    accept_outcome submit(std::size_t node, std::string const& id)
    {
        work_record record;
        record.id = id;
        record.queue.service = "s";
        record.steps.resize(1);
        accept_outcome outcome = accept_outcome::unknown;
        this->nodes[node]->submit(record, milliseconds(800),
            [&outcome](accept_result const& result)
            { outcome = result.outcome; });
        this->run_for(milliseconds(1000));
        return outcome;
    }

    lookup_result look_up(std::size_t node, std::string const& job)
    {
        lookup_result found;
        this->nodes[node]->look_up(
            job, [&found](lookup_result const& result) { found = result; });
        this->run_for(milliseconds(100));
        return found;
    }

    /// Writes a version of the configuration, as the operator does.
    void configure(int version)
    {
        this->store.set({"op", "", "config"}, std::to_string(version));
    }

    /// How old the confirmation of an instance's configuration is.
    milliseconds confirmed_age(std::size_t node)
    {
        auto confirmed = this->followers[node]->confirmed_time();
        return std::chrono::duration_cast<milliseconds>(
            this->loop.now() - confirmed.value_or(time_point{}));
    }

    static record_key leader_row_key() { return {"leader", "main", "holder"}; }

    static constexpr int count = 3;
    std::array<double, 3> cpu_shares;
    manual_clock time;
    event_loop loop{this->time};
    fake_record_store store{this->loop};
    fake_workers workers{this->loop};
    no_policy policy;
    std::vector<std::unique_ptr<disconnectable_store>> stores;
    std::vector<std::unique_ptr<queue_directory>> queues;
    std::vector<std::unique_ptr<configuration_follower>> followers;
    std::vector<std::unique_ptr<cell_node>> nodes;
};

} // namespace

Test(cell_node, an_instance_without_the_store_accepts_through_the_leader)
{
    three_instance_cell cell;
    std::size_t isolated = (cell.find_leader() + 1) % 3;
    cell.stores[isolated]->disconnected = true;
    // The first submission detects that the store is unavailable.
    cell.submit(isolated, "first");
    cr_assert(cell.submit(isolated, "second") == accept_outcome::stored);
    cr_assert(cell.nodes[isolated]->can_accept());
}

Test(cell_node, a_small_leader_hands_over_to_a_large_instance)
{
    three_instance_cell cell({0.12, 0.12, 0.5});
    cr_assert(cell.find_leader() == 2U);
    cell.nodes[2].reset();
    cell.run_for(milliseconds(4000));
    cr_assert(cell.find_leader() != 2U);
    cell.nodes[2] = cell.make_node(2);
    cell.run_for(milliseconds(3000));
    cr_assert(cell.find_leader() == 2U);
    cr_assert(cell.submit(0, "first") == accept_outcome::stored);
}

Test(cell_node, a_small_leader_stays_while_large_instances_lack_the_store)
{
    three_instance_cell cell({0.12, 0.12, 0.5});
    cell.stores[2]->disconnected = true;
    cell.run_for(milliseconds(4000));
    cr_assert(cell.find_leader() != 2U);
    std::int64_t version =
        cell.store.find(three_instance_cell::leader_row_key())->version;
    cell.run_for(milliseconds(6000));
    cr_assert(cell.store.find(three_instance_cell::leader_row_key())->version ==
              version);
}

Test(cell_node, a_later_leader_is_found_through_other_instances)
{
    three_instance_cell cell;
    std::size_t leader = cell.find_leader();
    std::size_t isolated = (leader + 1) % 3;
    cell.stores[isolated]->disconnected = true;
    cell.submit(isolated, "first");
    cell.nodes[leader].reset();
    cell.run_for(milliseconds(4000));
    cr_assert(cell.find_leader() == (leader + 2) % 3);
    cr_assert(cell.submit(isolated, "second") == accept_outcome::stored);
    cr_assert(cell.nodes[isolated]->can_accept());
}

Test(cell_node, a_leader_that_lost_the_store_finds_its_successor)
{
    three_instance_cell cell;
    std::size_t former = cell.find_leader();
    cell.stores[former]->disconnected = true;
    cell.submit(former, "first");
    cell.run_for(milliseconds(6000));
    cr_assert(cell.find_leader() != former);
    cr_assert(cell.submit(former, "second") == accept_outcome::stored);
}

Test(cell_node, is_not_ready_while_nobody_can_store_and_ready_again_after)
{
    three_instance_cell cell;
    for (auto const& store : cell.stores)
    {
        store->disconnected = true;
    }
    cell.submit(0, "first");
    cell.run_for(milliseconds(3000));
    cr_assert_not(cell.nodes[0]->can_accept());
    for (auto const& store : cell.stores)
    {
        store->disconnected = false;
    }
    cell.run_for(milliseconds(500));
    cell.nodes[0]->can_accept();
    cell.run_for(milliseconds(500));
    cr_assert(cell.nodes[0]->can_accept());
    cr_assert(cell.submit(0, "second") == accept_outcome::stored);
}

Test(cell_node, a_lookup_says_why_the_state_of_a_job_cannot_be_read)
{
    three_instance_cell cell;
    std::size_t leader = cell.find_leader();
    std::size_t asked = (leader + 1) % 3;
    cr_assert(
        cell.look_up(asked, "none").outcome == lookup_outcome::no_such_job);
    for (auto const& store : cell.stores)
    {
        store->disconnected = true;
    }
    cell.run_for(milliseconds(3000));
    cr_assert(
        cell.look_up(asked, "none").problem == lookup_problem::leader_outdated);
    cell.nodes[leader].reset();
    cell.run_for(milliseconds(100));
    cr_assert(cell.look_up(asked, "none").problem ==
              lookup_problem::store_not_answering);
    cr_assert(cell.look_up(asked, "none").problem == lookup_problem::no_leader);
}

// Guards against a caller that reads `running` just before the outcome and asks
// again only after its next poll, and against a former leader that leaves its
// waiting queries without an answer.
Test(cell_node, a_query_waits_for_a_cancellation_or_the_end_of_the_term)
{
    three_instance_cell cell;
    std::size_t leader = cell.find_leader();
    cell.submit(leader, "a");
    cell.submit(leader, "b");
    std::vector<work_state> states;
    auto query = [&](std::size_t node, std::string const& job)
    {
        cell.nodes[node]->look_up(
            job,
            [&states](lookup_result const& found)
            { states.push_back(found.state); },
            milliseconds(1000));
    };
    query(leader, "a");
    query((leader + 1) % 3, "a");
    query((leader + 1) % 3, "b");
    cell.run_for(milliseconds(200));
    cr_assert(states.empty());
    cell.nodes[leader]->cancel("a", [](lookup_result const&) {});
    cell.run_for(milliseconds(100));
    cr_assert(states == std::vector(2, work_state::cancelled));
    query(leader, "b");
    cell.nodes[leader]->shut_down([] {});
    cell.run_for(milliseconds(100));
    cr_assert(states.size() == 4U);
    cr_assert(states.back() == work_state::queued);
}

// Guards against callers whose query stays without an answer because the link
// to the former leader is replaced while they wait.
Test(cell_node, a_query_to_a_replaced_leader_fails_and_is_answered)
{
    three_instance_cell cell;
    std::size_t leader = cell.find_leader();
    std::size_t asked = (leader + 1) % 3;
    cell.submit(asked, "a");
    // Longer than the store may keep a call for changes open, so that the
    // leader does not learn of its successor.
    cell.stores[leader]->disconnected = true;
    cell.run_for(milliseconds(1200));
    std::optional<lookup_result> answer;
    cell.nodes[asked]->look_up(
        "a", [&answer](lookup_result const& found) { answer = found; },
        milliseconds(1000));
    cell.replace_leader();
    cell.run_for(milliseconds(300));
    cr_assert(answer.has_value());
    cr_assert(answer->problem == lookup_problem::leader_not_answering);
}

// Guards against callers whose submission was forwarded and stays without an
// answer, because the link to the former leader is replaced.
Test(cell_node, a_submission_to_a_replaced_leader_is_in_doubt_and_answered)
{
    three_instance_cell cell;
    std::size_t leader = cell.find_leader();
    std::size_t asked = (leader + 1) % 3;
    cell.stores[leader]->disconnected = true;
    cell.stores[leader]->withholds_commits = true;
    cell.stores[asked]->refuses_commits = true;
    work_record record;
    record.id = "a";
    record.queue.service = "s";
    record.steps.resize(1);
    std::optional<accept_outcome> answer;
    cell.nodes[asked]->submit(record, milliseconds(60000),
        [&answer](accept_result const& result) { answer = result.outcome; });
    cell.run_for(milliseconds(200));
    cr_assert_not(answer.has_value());
    cell.replace_leader();
    cell.run_for(milliseconds(1500));
    cr_assert(answer == accept_outcome::unknown);
    cr_assert(cell.nodes[asked]->is_in_doubt("a"));
}

Test(cell_node, an_instance_without_the_store_learns_versions_from_the_leader)
{
    three_instance_cell cell;
    std::size_t isolated = (cell.find_leader() + 1) % 3;
    cell.configure(4);
    cell.run_for(milliseconds(300));
    cell.stores[isolated]->disconnected = true;
    // Longer than the store may keep a call for changes open.
    cell.run_for(milliseconds(2000));
    cell.configure(9);
    cell.run_for(milliseconds(200));
    cr_assert(cell.queues[isolated]->version() == 9);
}

Test(cell_node, a_leader_has_the_version_under_which_a_job_was_accepted)
{
    three_instance_cell cell;
    std::size_t leader = cell.find_leader();
    cell.configure(4);
    cell.run_for(milliseconds(300));
    cell.stores[leader]->disconnected = true;
    cell.run_for(milliseconds(1200));
    for (int version = 9; version < 14; ++version)
    {
        cell.configure(version);
        // Less than the time between two hellos.
        cell.run_for(milliseconds(100));
        cr_assert(cell.queues[leader]->version() == version);
    }
}

Test(cell_node, a_leader_without_the_store_learns_versions_from_its_members)
{
    three_instance_cell cell;
    std::size_t leader = cell.find_leader();
    cell.configure(4);
    cell.run_for(milliseconds(300));
    cell.stores[leader]->disconnected = true;
    cell.run_for(milliseconds(1200));
    cell.configure(9);
    cell.run_for(milliseconds(800));
    cr_assert(cell.queues[leader]->version() == 9);
}

Test(
    cell_node, an_instance_without_the_store_learns_versions_after_a_succession)
{
    three_instance_cell cell;
    std::size_t leader = cell.find_leader();
    std::size_t isolated = (leader + 1) % 3;
    cell.configure(4);
    cell.run_for(milliseconds(300));
    cell.stores[isolated]->disconnected = true;
    cell.run_for(milliseconds(1200));
    cell.nodes[leader].reset();
    cell.configure(9);
    // No caller submits anything here: the failing reads alone make the
    // instance look for the new leader.
    cell.run_for(milliseconds(4500));
    cr_assert(cell.queues[isolated]->version() == 9);
}

Test(cell_node, an_older_version_of_a_peer_replaces_nothing)
{
    three_instance_cell cell;
    std::size_t leader = cell.find_leader();
    cell.configure(4);
    cell.run_for(milliseconds(300));
    cell.stores[leader]->disconnected = true;
    cell.run_for(milliseconds(1200));
    cell.configure(9);
    for (int i = 0; i < 100; ++i)
    {
        cell.run_for(milliseconds(20));
        for (std::size_t other : {(leader + 1) % 3, (leader + 2) % 3})
        {
            cr_assert(cell.queues[other]->version() == 9);
        }
    }
}

// Guards against keys that end, or stay, at an instance without the store.
Test(cell_node, the_leader_confirms_the_configuration_of_a_member)
{
    // Two waits of the leader's calls for changes, and two hello periods.
    milliseconds const undisturbed_age{3000};
    three_instance_cell cell;
    std::size_t leader = cell.find_leader();
    std::size_t isolated = (leader + 1) % 3;
    cell.configure(4);
    cell.run_for(milliseconds(300));
    cell.stores[isolated]->disconnected = true;
    for (int i = 0; i < 20; ++i)
    {
        cell.run_for(milliseconds(500));
        cr_assert(cell.confirmed_age(isolated) < undisturbed_age);
    }
    // The process is frozen between a hello and its reply.
    cell.time.advance(milliseconds(10000));
    cr_assert(cell.confirmed_age(isolated) >= milliseconds(10000));
    cell.run_for(milliseconds(3000));
    cr_assert(cell.confirmed_age(isolated) < undisturbed_age);
    // Without the store, nobody can confirm anything.
    for (auto& store : cell.stores)
    {
        store->disconnected = true;
    }
    cell.run_for(milliseconds(7000));
    for (std::size_t i = 0; i < 3; ++i)
    {
        cr_assert(cell.confirmed_age(i) > milliseconds(4900));
    }
}

// Guards against an answer that denies a job that the leader may have stored.
Test(cell_node, a_forwarded_submission_without_an_answer_is_in_doubt)
{
    three_instance_cell cell;
    std::size_t isolated = (cell.find_leader() + 1) % 3;
    cell.stores[isolated]->disconnected = true;
    cell.submit(isolated, "first");
    cr_assert_not(cell.nodes[isolated]->is_in_doubt("first"));
    cell.store.lose_answers = 100;
    cr_assert(cell.submit(isolated, "second") == accept_outcome::unknown);
    cr_assert(cell.nodes[isolated]->is_in_doubt("second"));
}
