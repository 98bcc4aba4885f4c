/// Instances of a cell with links among them, and a store in memory that can
/// turn each of them away.
#include "toucanlever/cell/cell_node.hpp"

#include "fake_record_store.hpp"
#include "fake_workers.hpp"
#include "loopback.hpp"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>

using namespace toucanlever;

namespace
{

/// One instance's way to the store.
class cuttable_store final : public record_store
{
public:
    explicit cuttable_store(fake_record_store& behind)
        : behind(behind)
    {
    }

    void commit(record_change const& change, milliseconds timeout,
        change_callback done) override
    {
        if (this->cut)
        {
            done({change_outcome::not_done, 0, {}});
            return;
        }
        this->behind.commit(change, timeout, std::move(done));
    }

    void read(std::string const& table, std::string const& part,
        std::string const& from, std::string const& until,
        read_callback done) override
    {
        if (this->cut)
        {
            done({});
            return;
        }
        this->behind.read(table, part, from, until, std::move(done));
    }

    void parts(std::string const& table, parts_callback done) override
    {
        if (this->cut)
        {
            done(std::nullopt);
            return;
        }
        this->behind.parts(table, std::move(done));
    }

    void changes(std::string const& table, std::int64_t after,
        milliseconds wait, read_callback done) override
    {
        if (this->cut)
        {
            done({});
            return;
        }
        this->behind.changes(table, after, wait, std::move(done));
    }

    bool cut = false;

private:
    fake_record_store& behind;
};

/// Approves nothing; no queue here has a policy.
class no_policy final : public placement_advice
{
public:
    void request_advice(
        step_id const&, std::vector<std::string> const&, callback done) override
    {
        done({});
    }
};

/// Three instances.
class cell_of_three
{
public:
    cell_of_three()
    {
        for (int i = 0; i < count; ++i)
        {
            this->stores.push_back(
                std::make_unique<cuttable_store>(this->store));
            this->nodes.push_back(this->make_node(i));
        }
        this->pass(milliseconds(3000));
    }

    std::unique_ptr<cell_node> make_node(int index)
    {
        cell_settings settings;
        settings.name = "node-" + std::to_string(index);
        settings.failure_domain = "d";
        settings.peer_address = own_ip(index + 10) + ":7500";
        settings.log_decisions = false;
        cell_node_dependencies parts{this->loop,
            *this->stores[static_cast<std::size_t>(index)], this->workers,
            this->policy, this->queues, "workers-listed",
            [](std::string const&, std::string const&)
            { return std::optional<worker_entry>(); }};
        return std::make_unique<cell_node>(std::move(parts), settings);
    }

    void pass(milliseconds span)
    {
        constexpr milliseconds step{20};
        for (milliseconds done{0}; done < span; done += step)
        {
            this->time.advance(step);
            this->loop.run_ready();
        }
    }

    /// The active scheduler answers for the waiting jobs at once.
    std::size_t find_leader()
    {
        auto row = unpack<leader_row>(
            this->store.find(tables_holder())->value, "test");
        return static_cast<std::size_t>(row.name.back() - '0');
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
        this->pass(milliseconds(1000));
        return outcome;
    }

    static record_key tables_holder() { return {"leader", "main", "holder"}; }

    static constexpr int count = 3;
    manual_clock time;
    event_loop loop{this->time};
    fake_record_store store{this->loop};
    fake_workers workers{this->loop};
    no_policy policy;
    queue_directory queues;
    std::vector<std::unique_ptr<cuttable_store>> stores;
    std::vector<std::unique_ptr<cell_node>> nodes;
};

} // namespace

Test(cell_node, an_instance_without_the_store_accepts_through_the_leader)
{
    cell_of_three cell;
    std::size_t cut = (cell.find_leader() + 1) % 3;
    cell.stores[cut]->cut = true;
    // The first one finds out.
    cell.submit(cut, "first");
    cr_assert(cell.submit(cut, "second") == accept_outcome::stored);
    cr_assert(cell.nodes[cut]->can_accept());
}

Test(cell_node, a_later_leader_is_found_through_other_instances)
{
    cell_of_three cell;
    std::size_t leader = cell.find_leader();
    std::size_t cut = (leader + 1) % 3;
    cell.stores[cut]->cut = true;
    cell.submit(cut, "first");
    cell.nodes[leader].reset();
    cell.pass(milliseconds(4000));
    cr_assert(cell.find_leader() == (leader + 2) % 3);
    cr_assert(cell.submit(cut, "second") == accept_outcome::stored);
    cr_assert(cell.nodes[cut]->can_accept());
}

Test(cell_node, a_leader_that_lost_the_store_finds_the_one_that_followed)
{
    cell_of_three cell;
    std::size_t former = cell.find_leader();
    cell.stores[former]->cut = true;
    cell.submit(former, "first");
    cell.pass(milliseconds(6000));
    cr_assert(cell.find_leader() != former);
    cr_assert(cell.submit(former, "second") == accept_outcome::stored);
}

Test(cell_node, is_not_ready_while_nobody_can_store_and_ready_again_after)
{
    cell_of_three cell;
    for (auto const& store : cell.stores)
    {
        store->cut = true;
    }
    cell.submit(0, "first");
    cell.pass(milliseconds(3000));
    cr_assert_not(cell.nodes[0]->can_accept());
    for (auto const& store : cell.stores)
    {
        store->cut = false;
    }
    cell.pass(milliseconds(500));
    cell.nodes[0]->can_accept();
    cell.pass(milliseconds(500));
    cr_assert(cell.nodes[0]->can_accept());
    cr_assert(cell.submit(0, "second") == accept_outcome::stored);
}
