#include "cell_reader.hpp"

#include "yaml_get.hpp"

namespace scenario
{

cell_options read_cell(YAML::Node const& node, std::string const& folder)
{
    cell_options options;
    options.domains = get(node, "domains", options.domains);
    options.entries = get(node, "entries_per_domain", options.entries);
    options.workers = get(node, "workers", options.workers);
    options.rack_size = get(node, "rack_size", options.rack_size);
    options.runners = get(node, "runners", options.runners);
    options.slots = get(node, "slots", options.slots);
    options.cpu_millis = get(node, "cpu_millis", options.cpu_millis);
    options.memory_bytes = get(node, "memory_bytes", options.memory_bytes);
    options.accelerators = get(node, "accelerators", options.accelerators);
    options.list_lag_ms = get(node, "list_lag_ms", options.list_lag_ms);
    options.writes_per_s = get(node, "writes_per_s", options.writes_per_s);
    options.reads_per_s = get(node, "reads_per_s", options.reads_per_s);
    options.task_lease_ms = get(node, "task_lease_ms", options.task_lease_ms);
    options.control_lease_ms =
        get(node, "control_lease_ms", options.control_lease_ms);
    options.peer_timeout_ms =
        get(node, "peer_timeout_ms", options.peer_timeout_ms);
    options.keep_ended_s = get(node, "keep_ended_s", options.keep_ended_s);
    options.service = get(node, "service", options.service);
    options.heartbeat_ms = get(node, "heartbeat_ms", options.heartbeat_ms);
    options.relays = get(node, "relays", options.relays);
    options.preset = get(node, "preset", options.preset);
    options.config =
        folder + "/" +
        get(node, "config", std::string("../../examples/strekbod.yaml"));
    return options;
}

} // namespace scenario
