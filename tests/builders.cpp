#include "builders.hpp"

namespace spindlecroft::test {

settings::settings small_settings() {
    settings::settings s;
    s.node = "n0";
    s.zone = std::string("a"); // GCC 12 warns falsely on an assigned literal (its bug 105651)
    s.teams = {{"red", 8, 16, 0, 0}, {"blue", 0, 0, 0, 0}};
    s.heartbeat_interval = 3s;
    s.lease_duration = 20s;
    s.cancel_deadline = 40s;
    s.key_value_rps = 100;
    s.key_value_write_rps = 25;
    s.value_kb = 8;
    s.txn_ops = 16;
    s.cloud_rps = 5;
    s.machine_list_lag = 8s;
    s.max_connections = 1000;
    s.options.spare_replicas = 0;
    return s;
}

std::vector<machine_type> small_types() {
    return {{"small", 4, 0, 16, 40, 0.5, 1.0, 0.4, 20s, {"a", "b"}},
            {"large", 16, 0, 64, 40, 1.0, 4.0, 1.6, 30s, {"a", "b"}}};
}

job_spec small_job(const std::string &id) {
    job_spec s;
    s.id = id;
    s.job_class = "batch";
    s.team = "blue";
    s.tasks = 1;
    s.cpus = 4;
    s.memory_gb = 8;
    s.image = "img";
    s.image_gb = 1;
    s.estimate = 30s;
    s.may_use_spot = true;
    return s;
}

} // namespace spindlecroft::test
