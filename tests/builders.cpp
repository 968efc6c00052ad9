#include "builders.hpp"

namespace spindlecroft::test {

settings::settings small_settings() {
    settings::settings conf;
    conf.node = "n0";
    // An assigned string literal triggers a false warning of GCC 12 (GCC bug 105651).
    conf.zone = std::string("a");
    conf.teams = {{"red", 8, 16, 0, 0}, {"blue", 0, 0, 0, 0}};
    conf.heartbeat_interval = 3s;
    conf.lease_duration = 20s;
    conf.cancel_deadline = 40s;
    conf.key_value_rps = 100;
    conf.key_value_write_rps = 25;
    conf.value_kb = 8;
    conf.txn_ops = 16;
    conf.cloud_rps = 5;
    conf.machine_list_lag = 8s;
    conf.max_connections = 1000;
    conf.options.spare_replicas = 0;
    return conf;
}

std::vector<machine_type> small_types() {
    return {{"small", 4, 0, 16, 40, 0.5, 1.0, 0.4, 20s, {"a", "b"}},
            {"large", 16, 0, 64, 40, 1.0, 4.0, 1.6, 30s, {"a", "b"}}};
}

job_spec small_job(const std::string &id) {
    job_spec spec;
    spec.id = id;
    spec.job_class = "batch";
    spec.team = "blue";
    spec.tasks = 1;
    spec.cpus = 4;
    spec.memory_gb = 8;
    spec.image = "img";
    spec.image_gb = 1;
    spec.estimate = 30s;
    spec.may_use_spot = true;
    return spec;
}

} // namespace spindlecroft::test
