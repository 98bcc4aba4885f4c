#include "cell_reader.hpp"

#include "yaml_get.hpp"

namespace scenario
{

cell_options read_cell(YAML::Node const& node, std::string const& folder)
{
    cell_options made;
    made.domains = get(node, "domains", made.domains);
    made.entries = get(node, "entries_per_domain", made.entries);
    made.workers = get(node, "workers", made.workers);
    made.rack_size = get(node, "rack_size", made.rack_size);
    made.runners = get(node, "runners", made.runners);
    made.slots = get(node, "slots", made.slots);
    made.cpu_millis = get(node, "cpu_millis", made.cpu_millis);
    made.memory_bytes = get(node, "memory_bytes", made.memory_bytes);
    made.accelerators = get(node, "accelerators", made.accelerators);
    made.list_lag_ms = get(node, "list_lag_ms", made.list_lag_ms);
    made.writes_per_s = get(node, "writes_per_s", made.writes_per_s);
    made.reads_per_s = get(node, "reads_per_s", made.reads_per_s);
    made.task_lease_ms = get(node, "task_lease_ms", made.task_lease_ms);
    made.control_lease_ms =
        get(node, "control_lease_ms", made.control_lease_ms);
    made.peer_timeout_ms = get(node, "peer_timeout_ms", made.peer_timeout_ms);
    made.keep_ended_s = get(node, "keep_ended_s", made.keep_ended_s);
    made.service = get(node, "service", made.service);
    made.heartbeat_ms = get(node, "heartbeat_ms", made.heartbeat_ms);
    made.relays = get(node, "relays", made.relays);
    made.preset = get(node, "preset", made.preset);
    made.config =
        folder + "/" +
        get(node, "config", std::string("../../examples/strekbod.yaml"));
    return made;
}

} // namespace scenario
