#include "toucanlever/control/configuration_controller.hpp"

#include "toucanlever/core/backoff.hpp"
#include "toucanlever/core/log.hpp"
#include "toucanlever/core/settings_file.hpp"
#include "toucanlever/wire/codec.hpp"

#include <cstdio>

namespace toucanlever
{

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(
    config_snapshot, revision, change_id, author, preset, yaml, drained)

namespace
{

constexpr milliseconds poll_period{1000};
constexpr milliseconds retry_min{100};
constexpr milliseconds retry_max{1000};
constexpr int max_write_attempts = 8;
char const* const row_prefix = "config/revision/";
char const* const head_row = "config/head/revision";
// Number of revisions that are retained; writing one deletes the oldest.
constexpr std::int64_t kept_revisions = 100;

/// Zero-padded, so that rows sort by revision.
std::string revision_row(std::int64_t revision)
{
    char text[20];
    std::snprintf(
        text, sizeof text, "%012lld", static_cast<long long>(revision));
    return row_prefix + std::string(text);
}

std::optional<config_snapshot> read_snapshot(std::string const& value)
{
    nlohmann::json json = nlohmann::json::parse(value, nullptr, false);
    if (!json.is_object())
    {
        return std::nullopt;
    }
    return json.get<config_snapshot>();
}

error conflict_error(config_snapshot const& winner)
{
    return error(error_code::conflict,
        "revision " + std::to_string(winner.revision) + " by " + winner.author +
            " is in force (preset " + winner.preset + ")",
        "write-configuration");
}

} // namespace

configuration_controller::configuration_controller(
    event_loop& loop, table_service& table)
    : loop(loop)
    , table(table)
{
    this->timer = loop.every(poll_period, [this] { this->poll(); });
    this->poll();
}

configuration_controller::~configuration_controller()
{
    *this->alive = false;
    this->loop.cancel(this->timer);
}

preset_config const& configuration_controller::preset() const
{
    auto found = this->parsed.presets.find(this->current.preset);
    return found == this->parsed.presets.end() ? this->fallback_preset
                                               : found->second;
}

bool configuration_controller::on_change(std::function<void()> handler)
{
    this->change_handler = std::move(handler);
    return this->is_loaded();
}

void configuration_controller::poll()
{
    if (this->polling)
    {
        return;
    }
    this->polling = true;
    auto still_alive = this->alive;
    this->table.scan(head_row,
        [this, still_alive](std::optional<std::vector<table_row>> rows)
        {
            if (!*still_alive)
            {
                return;
            }
            this->polling = false;
            if (!rows || rows->empty())
            {
                return;
            }
            std::int64_t head = std::atoll(rows->front().value.c_str());
            if (head > this->current.revision)
            {
                this->fetch_revision(head, nullptr);
            }
        });
}

void configuration_controller::fetch_revision(
    std::int64_t revision, change_callback done)
{
    auto still_alive = this->alive;
    this->table.scan(revision_row(revision),
        [this, still_alive, done](std::optional<std::vector<table_row>> rows)
        {
            if (!*still_alive)
            {
                return;
            }
            std::optional<config_snapshot> found;
            if (rows && !rows->empty())
            {
                found = read_snapshot(rows->front().value);
            }
            if (found)
            {
                this->adopt_if_newer(*found);
            }
            if (done)
            {
                done(found ? conflict_error(*found)
                           : error(error_code::unavailable,
                                 "another change was committed first and its "
                                 "revision cannot be read from the table "
                                 "service; this change was not applied",
                                 "read-configuration"),
                    this->current);
            }
        });
}

void configuration_controller::adopt_if_newer(config_snapshot const& snapshot)
{
    if (snapshot.revision <= this->current.revision)
    {
        return;
    }
    try
    {
        this->parsed = parse_cell_config(
            snapshot.yaml, "revision-" + std::to_string(snapshot.revision));
    }
    catch (settings_error const& problem)
    {
        log_line("configuration-refused")
            .with("revision", snapshot.revision)
            .with("reason", problem.what());
        return;
    }
    this->current = snapshot;
    this->packed = pack(snapshot);
    log_line("configuration-in-force")
        .with("revision", snapshot.revision)
        .with("preset", snapshot.preset)
        .with("author", snapshot.author);
    if (this->change_handler)
    {
        this->change_handler();
    }
}

void configuration_controller::change(
    config_change const& request, change_callback done)
{
    if (request.base_revision != this->current.revision)
    {
        done(conflict_error(this->current), this->current);
        return;
    }
    config_snapshot next = this->current;
    ++next.revision;
    next.change_id = request.change_id;
    next.author = request.author;
    if (!request.preset.empty())
    {
        next.preset = request.preset;
    }
    if (!request.yaml.empty())
    {
        next.yaml = request.yaml;
    }
    std::erase(next.drained, request.undrain);
    if (!request.drain.empty())
    {
        std::erase(next.drained, request.drain);
        next.drained.push_back(request.drain);
    }
    try
    {
        cell_config checked = parse_cell_config(next.yaml, "configuration");
        if (checked.presets.count(next.preset) == 0)
        {
            throw settings_error("no preset is named " + next.preset);
        }
    }
    catch (settings_error const& problem)
    {
        done(error(error_code::bad_request, problem.what(),
                 "check-configuration"),
            this->current);
        return;
    }
    this->write_revision(next, 0, std::move(done));
}

void configuration_controller::write_revision(
    config_snapshot const& next, int failures, change_callback done)
{
    std::string row = revision_row(next.revision);
    transaction work;
    // Checked first, so that a retry of a committed write is recognised.
    work.checks.push_back({row, 0});
    // The head row is written once per revision, so its version is the
    // revision.
    work.checks.push_back({head_row, next.revision - 1});
    work.writes.push_back({row, nlohmann::json(next).dump()});
    work.writes.push_back({head_row, std::to_string(next.revision)});
    if (next.revision > kept_revisions)
    {
        work.deletes.push_back(revision_row(next.revision - kept_revisions));
    }
    auto still_alive = this->alive;
    this->table.commit(work,
        [this, still_alive, next, failures, done, row](
            commit_result const& result)
        {
            if (!*still_alive)
            {
                return;
            }
            auto existing = read_snapshot(result.conflict.value);
            bool ours = result.outcome == commit_outcome::committed ||
                        (result.conflict.key == row && existing &&
                            existing->change_id == next.change_id);
            if (ours)
            {
                this->adopt_if_newer(next);
                done(std::nullopt, next);
                return;
            }
            if (result.outcome == commit_outcome::conflict)
            {
                this->fetch_revision(next.revision, done);
                return;
            }
            if (failures + 1 >= max_write_attempts)
            {
                done(error(error_code::unavailable,
                         "the table service does not answer; the change may "
                         "still take effect, retry with the same change id",
                         "write-configuration", "platform", run_state::unknown),
                    this->current);
                return;
            }
            auto delay = backoff_delay(failures, retry_min, retry_max);
            this->loop.after(delay,
                [this, still_alive, next, failures, done]
                {
                    if (*still_alive)
                    {
                        this->write_revision(next, failures + 1, done);
                    }
                });
        });
}

} // namespace toucanlever
