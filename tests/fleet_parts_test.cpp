// Tests of the parts of fleet management in isolation.
#include "builders.hpp"
#include "constants.hpp"
#include "fleet/array_demand.hpp"
#include "fleet/deletion_reason.hpp"
#include "fleet/machine_health.hpp"
#include "fleet/machine_list.hpp"
#include "fleet/offers.hpp"
#include "fleet/rental_requests.hpp"
#include "fleet/scale_in.hpp"
#include "fleet/scale_out.hpp"
#include "model/boot_age.hpp"
#include "test_time.hpp"
#include <fmt/format.h>
#include <gtest/gtest.h>

using namespace spindlecroft;
using namespace std::chrono_literals;
using test::at;
namespace {

class fleet_parts_test : public testing::Test {
  protected:
    fleet_parts_test() { state.begin_term({5, 5, at(0), wall_clock{}}); }

    workers::machine &add_running(const std::string &name, const std::string &zone) {
        auto &machine = state.find_or_add_machine(name, at(0));
        state.update_description(machine, "large", zone, false, "10.0.0.1:9000");
        machine.is_up = true;
        return machine;
    }
    void add_array(const std::string &id, double cpus, std::uint32_t tasks) {
        catalog::job job;
        job.spec = test::small_job(id);
        job.spec.cpus = cpus;
        job.spec.tasks = tasks;
        job.done.assign(tasks, false);
        job.done_durable.assign(tasks, false);
        state.add_job(id, std::move(job));
    }
    planning::rental_offer offer_of_small() const {
        return {state.find_type("small"), "a", true, 1, 0.4};
    }

    settings::settings settings = test::small_settings();
    model::cluster_state state{settings, test::small_types()};
};

using offers_test = fleet_parts_test;
using rental_requests_test = fleet_parts_test;
using machine_health_test = fleet_parts_test;
using machine_list_test = fleet_parts_test;
using scale_in_test = fleet_parts_test;
using scale_out_test = fleet_parts_test;

const fleet::offer_key cheapest_small{"small", "a", true};

// Returns the cheapest offer for a task that may use spot instances.
fleet::offer_key cheapest_key(const fleet::offer_catalog &offers, time_point now) {
    auto offer = offers.cheapest(test::small_job("job-1"), fleet::price_class::spot, nullptr, now);
    return offer ? fleet::key_of(*offer) : fleet::offer_key{};
}

} // namespace

// --- offers ---

TEST_F(offers_test, refused_offer_is_excluded_for_a_limited_time) {
    fleet::offer_catalog offers(state);
    EXPECT_EQ(cheapest_key(offers, at(1)), cheapest_small);
    offers.note_refused(cheapest_small, at(1));
    EXPECT_EQ(cheapest_key(offers, at(1)), (fleet::offer_key{"small", "b", true}));
    EXPECT_NE(cheapest_key(offers, at(0.9) + constants::refused_offer_pause), cheapest_small);
    EXPECT_EQ(cheapest_key(offers, at(1) + constants::refused_offer_pause), cheapest_small);
}

TEST_F(offers_test, sold_out_offer_gets_one_request_at_a_time) {
    fleet::offer_catalog offers(state);
    offers.add_pending(cheapest_small, 3 * constants::max_machines_per_rental_request);
    EXPECT_EQ(cheapest_key(offers, at(1)), cheapest_small) << "it was never refused";

    offers.note_refused(cheapest_small, at(1));
    auto later = at(1) + constants::refused_offer_pause;
    EXPECT_NE(cheapest_key(offers, later), cheapest_small);

    offers.clear_pending();
    offers.add_pending(cheapest_small, constants::max_machines_per_rental_request - 1);
    EXPECT_EQ(cheapest_key(offers, later), cheapest_small) << "the pending request is not full yet";
    offers.add_pending(cheapest_small, 1);
    EXPECT_NE(cheapest_key(offers, later), cheapest_small);

    offers.note_fulfilled(cheapest_small);
    EXPECT_EQ(cheapest_key(offers, later), cheapest_small);
}

TEST_F(offers_test, only_allowed_zones_are_offered) {
    fleet::offer_catalog offers(state);
    std::set<std::string> zones{"b"};
    auto spec = test::small_job("job-1");
    auto offer = offers.cheapest(spec, fleet::price_class::on_demand, &zones, at(1));
    ASSERT_TRUE(offer);
    EXPECT_EQ(fleet::key_of(*offer), (fleet::offer_key{"small", "b", false}));
    spec.zone = "a";
    EXPECT_FALSE(offers.cheapest(spec, fleet::price_class::on_demand, &zones, at(1)));
}

TEST_F(offers_test, work_waits_longer_if_on_demand_machines_are_more_expensive) {
    auto types = test::small_types();
    fleet::offer_catalog offers(state);
    EXPECT_DOUBLE_EQ(offers.on_demand_wait_ratio(test::small_job("job-1")), 2.5);
    for (auto &type : types)
        type.price = 100 * type.spot_price;
    state.set_types(types);
    EXPECT_DOUBLE_EQ(offers.on_demand_wait_ratio(test::small_job("job-1")),
                     constants::max_on_demand_wait_ratio);
    for (auto &type : types)
        type.spot_price = 0;
    state.set_types(types);
    EXPECT_DOUBLE_EQ(offers.on_demand_wait_ratio(test::small_job("job-1")), 1);
}

// --- rental requests ---

namespace {

// Adds one request, has it written durably and returns it as it is sent to the cloud.
rental_request send_request(fleet::rental_requests &requests, const planning::rental_offer &offer,
                            int count, time_point now) {
    requests.add(offer, count, now);
    for (const auto &change : requests.take_record_changes())
        requests.on_record_written(change.round, fleet::rental_record_outcome::written);
    return requests.take_requests(now).at(0);
}

} // namespace

TEST_F(rental_requests_test, request_is_sent_only_when_its_record_is_durable) {
    fleet::rental_requests requests(state, 4096);
    requests.add(offer_of_small(), 2, at(1));
    EXPECT_TRUE(requests.take_requests(at(1)).empty());
    auto changes = requests.take_record_changes();
    ASSERT_EQ(changes.size(), 1u);
    ASSERT_TRUE(changes[0].record);
    EXPECT_TRUE(requests.take_record_changes().empty()) << "one change at a time";

    requests.on_record_written(changes[0].round, fleet::rental_record_outcome::failed);
    EXPECT_TRUE(requests.take_requests(at(2)).empty());
    ASSERT_EQ(requests.take_record_changes().size(), 1u) << "the write is repeated";

    requests.on_record_written(changes[0].round, fleet::rental_record_outcome::written);
    auto sent = requests.take_requests(at(3));
    ASSERT_EQ(sent.size(), 1u);
    EXPECT_EQ(sent[0].id, changes[0].record->requests.at(0).id);
    EXPECT_EQ(sent[0].count, 2);
    EXPECT_TRUE(requests.take_requests(at(3)).empty()) << "it is in progress";
    requests.on_outcome_unknown(sent[0].id, at(4));
    EXPECT_TRUE(requests.take_requests(at(4)).empty());
    EXPECT_EQ(requests.take_requests(at(4) + constants::rental_retry_delay).size(), 1u);
}

TEST_F(rental_requests_test, record_is_deleted_only_when_every_machine_is_listed_or_gone) {
    fleet::rental_requests requests(state, 4096);
    auto sent = send_request(requests, offer_of_small(), 2, at(1));
    EXPECT_TRUE(requests.take_record_changes().empty()) << "the request is unanswered";
    ASSERT_TRUE(requests.on_rented(sent.id, {"i-1", "i-2"}, at(2)));
    EXPECT_TRUE(requests.take_record_changes().empty());
    state.find_machine("i-1")->listed_at = at(3);
    EXPECT_TRUE(requests.take_record_changes().empty());
    state.remove_machine("i-2", at(4));
    auto changes = requests.take_record_changes();
    ASSERT_EQ(changes.size(), 1u);
    EXPECT_FALSE(changes[0].record);
    requests.on_record_written(changes[0].round, fleet::rental_record_outcome::dropped);
    EXPECT_TRUE(requests.take_record_changes().empty());
    EXPECT_FALSE(requests.on_rented(sent.id, {"i-3"}, at(5))) << "the request is no longer known";
}

TEST_F(rental_requests_test, refused_request_has_no_machines) {
    fleet::rental_requests requests(state, 4096);
    auto sent = send_request(requests, offer_of_small(), 2, at(1));
    ASSERT_TRUE(requests.on_refused(sent.id));
    auto changes = requests.take_record_changes();
    ASSERT_EQ(changes.size(), 1u);
    EXPECT_FALSE(changes[0].record);
}

TEST_F(rental_requests_test, additions_of_a_round_share_requests_and_a_record) {
    fleet::rental_requests requests(state, 4096);
    for (int count = 0; count < constants::max_machines_per_rental_request + 10; ++count)
        requests.add(offer_of_small(), 1, at(1));
    auto changes = requests.take_record_changes();
    ASSERT_EQ(changes.size(), 1u);
    const auto &written = changes[0].record->requests;
    ASSERT_EQ(written.size(), 2u);
    EXPECT_EQ(written[0].count, constants::max_machines_per_rental_request);
    EXPECT_EQ(written[1].count, 10);
}

TEST_F(rental_requests_test, round_has_as_many_records_as_its_requests_need) {
    std::size_t bytes =
        wire::rental_bytes({}) + wire::rental_bytes({"r-5-1", "small", "a", true,
                                                     constants::max_machines_per_rental_request});
    fleet::rental_requests requests(state, bytes);
    requests.add(offer_of_small(), constants::max_machines_per_rental_request, at(1));
    requests.add(offer_of_small(), constants::max_machines_per_rental_request, at(1));
    EXPECT_EQ(requests.take_record_changes().size(), 2u);
}

TEST_F(rental_requests_test, new_leader_repeats_the_request_under_the_same_name) {
    fleet::rental_requests requests(state, 4096);
    wire::rental_record record;
    record.requests.push_back({"r-4-1", "small", "a", true, 3});
    record.requested_at = test::wall_at(0);
    requests.load("4-1", record, at(10));
    auto sent = requests.take_requests(at(10));
    ASSERT_EQ(sent.size(), 1u);
    EXPECT_EQ(sent[0].id, "r-4-1");
    ASSERT_TRUE(requests.on_rented("r-4-1", {"i-1"}, at(11)));
    EXPECT_EQ(state.find_machine("i-1")->rented_at, at(0)) << "counted from the time in the record";
}

// --- machine health ---

TEST_F(machine_health_test, silent_machine_is_deleted) {
    fleet::machine_health health(settings, state);
    for (int index = 0; index < 5; ++index)
        add_running(fmt::format("i-{}", index), "a").last_heartbeat_at = at(20);
    auto &silent = add_running("i-9", "a");
    silent.last_heartbeat_at = at(1);
    health.check(at(20));
    EXPECT_TRUE(silent.is_silent);
    EXPECT_TRUE(silent.is_deleting);
    EXPECT_FALSE(state.find_machine("i-0")->is_deleting);
}

TEST_F(machine_health_test, zone_that_becomes_silent_as_a_whole_is_kept_for_a_limited_time) {
    fleet::machine_health health(settings, state);
    for (int index = 0; index < 3; ++index)
        add_running(fmt::format("cut-{}", index), "a").last_heartbeat_at = at(0);
    auto receive_from_others = [&](time_point now) {
        for (int index = 0; index < 6; ++index)
            add_running(fmt::format("i-{}", index), "b").last_heartbeat_at = now;
    };
    auto now = at(20);
    receive_from_others(now);
    health.check(now);
    EXPECT_TRUE(state.find_machine("cut-0")->is_silent);
    EXPECT_FALSE(state.find_machine("cut-0")->is_deleting);

    // The machines return one after another.
    state.find_machine("cut-1")->last_heartbeat_at = now;
    state.find_machine("cut-2")->last_heartbeat_at = now;
    health.check(now + 1s);
    EXPECT_FALSE(state.find_machine("cut-0")->is_deleting);
    now += constants::zone_reconnect_grace + 1s;
    receive_from_others(now);
    state.find_machine("cut-1")->last_heartbeat_at = now;
    state.find_machine("cut-2")->last_heartbeat_at = now;
    health.check(now);
    EXPECT_TRUE(state.find_machine("cut-0")->is_deleting) << "it did not return";
    EXPECT_FALSE(state.find_machine("cut-1")->is_deleting);
}

TEST_F(machine_health_test, zone_that_stays_silent_is_deleted) {
    fleet::machine_health health(settings, state);
    for (int index = 0; index < 3; ++index)
        add_running(fmt::format("cut-{}", index), "a").last_heartbeat_at = at(0);
    auto last =
        model::silence_limit(settings) + settings.lease_duration + constants::zone_cut_off_grace;
    for (auto now = at(0); now <= at(0) + last; now += 5s)
        health.check(now);
    EXPECT_FALSE(state.find_machine("cut-0")->is_deleting);
    health.check(at(1) + last);
    EXPECT_TRUE(state.find_machine("cut-0")->is_deleting);
}

TEST_F(machine_health_test, machine_that_does_not_come_up_is_deleted) {
    fleet::machine_health health(settings, state);
    auto &machine = state.find_or_add_machine("i-1", at(0));
    state.update_description(machine, "large", "a", false, "");
    auto late = at(5) + constants::late_boot_ratio * machine.type.boot_time;
    health.check(late);
    EXPECT_FALSE(machine.is_deleting);
    health.check(late + 1s);
    EXPECT_TRUE(machine.is_deleting);
}

TEST(deletion_reasons, have_texts_for_log_messages) {
    EXPECT_STREQ(fleet::to_text(fleet::deletion_reason::never_came_up), "never came up");
    EXPECT_STREQ(fleet::to_text(fleet::deletion_reason::reclaimed), "reclaimed by the cloud");
    EXPECT_STREQ(fleet::to_text(fleet::deletion_reason::outbound_partition), "outbound partition");
}

// --- machine list ---

TEST_F(machine_list_test, machine_missing_from_the_list_is_removed) {
    state.find_or_add_machine("i-old", at(1));
    state.find_or_add_machine("i-new", at(95));
    listed_machine listed{"i-1", "10.0.0.1:9000", "large", "a", false, machine_state::running, 40s};
    fleet::apply_machine_list(state, settings, {listed}, at(100), at(101));
    EXPECT_EQ(state.find_machine("i-old"), nullptr);
    EXPECT_TRUE(state.was_removed("i-old"));
    EXPECT_NE(state.find_machine("i-new"), nullptr) << "the list may be older than the machine";
    auto *known = state.find_machine("i-1");
    ASSERT_NE(known, nullptr);
    EXPECT_EQ(known->running_at, at(101));
    EXPECT_EQ(known->rented_at, at(61));
}

TEST_F(machine_list_test, failed_machine_is_deleted_and_removed_one_stays_removed) {
    add_running("i-gone", "a");
    state.remove_machine("i-gone", at(99));
    std::vector<listed_machine> listed{
        {"i-bad", "", "large", "a", false, machine_state::failed, 40s},
        {"i-gone", "", "large", "a", false, machine_state::running, 40s}};
    fleet::apply_machine_list(state, settings, listed, at(100), at(101));
    EXPECT_TRUE(state.find_machine("i-bad")->is_deleting);
    EXPECT_EQ(state.find_machine("i-gone"), nullptr);
}

// --- scale in and scale out ---

TEST_F(scale_in_test, idle_machines_are_deleted_except_spare_ones) {
    fleet::scale_in scale_in(state);
    add_running("i-idle", "a");
    add_running("i-spare", "a");
    scale_in.delete_idle({"i-spare"}, at(36)); // 1.2 boot times
    EXPECT_TRUE(scale_in.take_deletions(at(36)).empty());
    scale_in.delete_idle({"i-spare"}, at(37));
    EXPECT_EQ(scale_in.take_deletions(at(37)), std::vector<std::string>{"i-idle"});
    EXPECT_TRUE(scale_in.take_deletions(at(38)).empty()) << "it is in progress";
    scale_in.on_delete_failed({"i-idle"});
    EXPECT_EQ(scale_in.take_deletions(at(39)).size(), 1u);
    scale_in.on_deleted({"i-idle"}, at(40));
    EXPECT_EQ(state.find_machine("i-idle"), nullptr);
}

TEST_F(scale_out_test, demand_is_grouped_by_resources_with_the_largest_tasks_first) {
    add_array("job-1", 1, 10);
    add_array("job-2", 8, 2);
    add_array("job-3", 1, 5);
    auto demand = fleet::collect_array_demand(state, settings, at(1));
    ASSERT_EQ(demand.size(), 2u);
    EXPECT_EQ(demand[0].spec->cpus, 8);
    EXPECT_EQ(demand[0].tasks, 2);
    EXPECT_EQ(demand[1].tasks, 15);
}

TEST_F(scale_out_test, spare_replicas_are_spread_over_zones_and_their_machines_named) {
    auto spec = test::small_job("service-1");
    spec.shape = job_shape::service;
    spec.spread_across_zones = true;
    spec.may_use_spot = false;
    spec.tasks = 2;
    state.note_accepted_job(spec, at(0));
    settings.options.spare_replicas = 2;
    fleet::offer_catalog offers(state);
    fleet::rental_requests requests(state, 4096);
    fleet::scale_out scale_out(settings, state, offers, requests);
    auto &machine = add_running("i-1", "a");
    auto planned_machine = fleet::make_unnamed_machine(machine.type, "a", false);
    planned_machine.machine = &machine;
    fleet::planned_machines planned{planned_machine,
                                    fleet::make_unnamed_machine(machine.type, "b", false)};
    EXPECT_EQ(scale_out.plan_spare_capacity(planned, at(1)), std::set<std::string>{"i-1"});
    EXPECT_EQ(planned.size(), 2u) << "nothing is rented";
    EXPECT_LT(planned[1].free.cpus, machine.type.cpus) << "the second replica is in zone b";
}
