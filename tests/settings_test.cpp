// Parsing and validation of the settings files.
#include "replace_first.hpp"
#include "settings/settings.hpp"
#include <gtest/gtest.h>

using namespace spindlecroft;
using test::replace_first;

static const std::string valid_settings = R"(
member = "n0"
location = "a"
api_addr = "10.0.0.1:8080"
back = "10.0.0.1:8081"
unknown = 1
[[members]]
member = "n1"
location = "b"
addr = "10.0.0.2:8081"
[services]
cloud = "10.2.0.2:8443"
state = "10.2.0.1:2379"
[cluster]
time_bound_ms = 25.0
[[cluster.teams]]
name = "red"
cpus = 4.0
cpus_max = 8.0
[cluster.workers]
report_s = 3.0
lease_s = 44.0
cancel_s = 74.0
[cluster.state]
rps = 200.0
write_rps = 20.0
value_kb = 4.0
txn_ops = 8
[cluster.cloud]
rps = 10.0
list_lag_s = 10.0
[cluster.machine_limits]
core_share = 0.2
ram_mb = 200.0
max_connections = 5000
)";

TEST(settings, errors_of_invalid_settings_name_the_key) {
    auto parsed = settings::parse(valid_settings, "f");
    EXPECT_EQ(parsed.peers.size(), 1u);
    EXPECT_EQ(parsed.txn_ops, 8);
    struct {
        std::string from, to, key;
    } cases[] = {
        {"lease_s = 44.0", "", "cluster.workers.lease_s"},
        {"lease_s = 44.0", "lease_s = \"x\"", "cluster.workers.lease_s"},
        {"rps = 200.0", "rps = -1.0", "cluster.state.rps"},
        {"10.2.0.1:2379", "state:2379", "services.state"},
        {"member = \"n0\"", "member = 3", "member"},
        {"cpus = 4.0", "cpus = 9.0", "cluster.teams.cpus"},
        {"member = \"n1\"", "member = \"n0\"", "members.member"},
    };
    for (auto &invalid : cases) {
        try {
            settings::parse(replace_first(valid_settings, invalid.from, invalid.to), "f");
            ADD_FAILURE() << "accepted: " << invalid.to;
        } catch (const settings::settings_error &error) {
            EXPECT_EQ(std::string(error.what()).rfind(invalid.key + ":", 0), 0u) << error.what();
        }
    }
}

TEST(settings, announced_limits_on_size_are_kept_from_the_start) {
    auto parsed = settings::parse(valid_settings, "f");
    EXPECT_EQ(parsed.next_key_value_write_rps, std::nullopt);
    auto with_next_limits = [](const std::string &fields) {
        return settings::parse(
            replace_first(valid_settings, "[cluster.cloud]",
                          "[cluster.state.next]\n" + fields + "\n[cluster.cloud]"),
            "f");
    };
    parsed = with_next_limits("write_rps = 15.0\nvalue_kb = 2.0\ntxn_ops = 4");
    EXPECT_EQ(parsed.value_kb, 2);
    EXPECT_EQ(parsed.txn_ops, 4);
    EXPECT_EQ(parsed.key_value_write_rps, 20);
    EXPECT_EQ(parsed.next_key_value_write_rps, 15);
    parsed = with_next_limits("write_rps = 30.0\nvalue_kb = 64.0");
    EXPECT_EQ(parsed.value_kb, 4) << "the smaller of both";
    EXPECT_EQ(parsed.txn_ops, 8);
    EXPECT_EQ(parsed.next_key_value_write_rps, std::nullopt);
    for (auto *field : {"value_kb = 1.0", "txn_ops = 0", "write_rps = \"x\""})
        try {
            with_next_limits(field);
            ADD_FAILURE() << "accepted: " << field;
        } catch (const settings::settings_error &error) {
            EXPECT_TRUE(std::string(error.what()).starts_with("cluster.state.next."))
                << error.what();
        }
}

TEST(settings, invalid_operators_files_are_rejected) {
    auto options =
        settings::parse_operator_options("(spindlecroft (spare-replicas 3) (spot no))", "f");
    EXPECT_EQ(options.spare_replicas, 3);
    EXPECT_FALSE(options.may_rent_spot);
    for (auto *invalid :
         {"(spindlecroft (spare 3))", "(other)", "(spindlecroft (spot maybe))",
          "(spindlecroft (spare-replicas x))", "(spindlecroft (spot yes) (spot no))"})
        EXPECT_THROW((void)settings::parse_operator_options(invalid, "f"), settings::settings_error)
            << invalid;
}
