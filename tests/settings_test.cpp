// Parsing and checking of the settings files.
#include "replace_first.hpp"
#include "settings/settings.hpp"
#include <gtest/gtest.h>

using namespace spindlecroft;
using test::replace_first;

static const std::string good_settings = R"(
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

TEST(settings, are_checked_and_errors_name_the_key) {
    auto s = settings::parse(good_settings, "f");
    EXPECT_EQ(s.peers.size(), 1u);
    EXPECT_EQ(s.txn_ops, 8);
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
    for (auto &x : cases) {
        try {
            settings::parse(replace_first(good_settings, x.from, x.to), "f");
            ADD_FAILURE() << "accepted: " << x.to;
        } catch (const settings::settings_error &e) {
            EXPECT_EQ(std::string(e.what()).rfind(x.key + ":", 0), 0u) << e.what();
        }
    }
}

TEST(settings, coming_limits_are_kept_from_the_start) {
    auto s = settings::parse(good_settings, "f");
    EXPECT_EQ(s.next_key_value_write_rps, std::nullopt);
    auto next = [](const std::string &fields) {
        return settings::parse(
            replace_first(good_settings, "[cluster.cloud]",
                          "[cluster.state.next]\n" + fields + "\n[cluster.cloud]"),
            "f");
    };
    s = next("write_rps = 15.0\nvalue_kb = 2.0\ntxn_ops = 4");
    EXPECT_EQ(s.value_kb, 2);
    EXPECT_EQ(s.txn_ops, 4);
    EXPECT_EQ(s.key_value_write_rps, 20);
    EXPECT_EQ(s.next_key_value_write_rps, 15);
    s = next("write_rps = 30.0\nvalue_kb = 64.0");
    EXPECT_EQ(s.value_kb, 4) << "the smaller of both";
    EXPECT_EQ(s.txn_ops, 8);
    EXPECT_EQ(s.next_key_value_write_rps, std::nullopt);
    for (auto *field : {"value_kb = 1.0", "txn_ops = 0", "write_rps = \"x\""})
        try {
            next(field);
            ADD_FAILURE() << "accepted: " << field;
        } catch (const settings::settings_error &e) {
            EXPECT_TRUE(std::string(e.what()).starts_with("cluster.state.next.")) << e.what();
        }
}

TEST(settings, operators_file_is_strict) {
    auto o = settings::parse_operator_options("(spindlecroft (spare-replicas 3) (spot no))", "f");
    EXPECT_EQ(o.spare_replicas, 3);
    EXPECT_FALSE(o.may_rent_spot);
    for (auto *bad : {"(spindlecroft (spare 3))", "(other)", "(spindlecroft (spot maybe))",
                      "(spindlecroft (spare-replicas x))", "(spindlecroft (spot yes) (spot no))"})
        EXPECT_THROW((void)settings::parse_operator_options(bad, "f"), settings::settings_error)
            << bad;
}
