// Tests of the rental decisions of the whole scheduler.
#include "builders.hpp"
#include "control/scheduler.hpp"
#include <algorithm>
#include <gtest/gtest.h>

using namespace spindlecroft;
using namespace std::chrono_literals;
using test::at;

namespace {

wire::job_record array_record(std::uint32_t tasks) {
    wire::job_record record;
    record.spec = test::small_job("job-1");
    record.spec.tasks = tasks;
    record.spec.estimate = 100s;
    return record;
}

} // namespace

// Guards against many simultaneous requests for a sold-out offer when thousands of machines are
// needed and none is available. The first round may send many requests for an offer; once it was
// refused, each later round sends a single one.
TEST(fleet, sold_out_offer_is_requested_once_per_round) {
    control::scheduler core(test::small_settings(), test::small_types());
    core.begin(at(0), 5, wall_clock{});
    core.finish_loading(at(0));
    core.on_job_record("job-1", array_record(1000), 7, at(0));
    std::map<std::string, int> rounds_by_offer; // rounds in which an offer was requested
    int max_first = 0, max_later = 0;           // most requests for an offer in one round
    for (auto now = at(1); now < at(200); now += seconds{0.5}) {
        core.tick(now);
        for (auto &write : core.take_writes(now))
            core.on_write_completed(write, true, now);
        std::map<std::string, int> requests_by_offer;
        for (auto &request : core.take_rental_requests(now)) {
            ++requests_by_offer[request.type + request.zone + (request.spot ? "spot" : "")];
            core.on_rent_refused(request.id, now);
        }
        for (auto &[offer, count] : requests_by_offer) {
            auto &most = rounds_by_offer[offer]++ == 0 ? max_first : max_later;
            most = std::max(most, count);
        }
    }
    EXPECT_GE(max_first, 5);
    EXPECT_EQ(max_later, 1);
    EXPECT_GE(rounds_by_offer.at("smallaspot"), 5) << "it is requested again";
}

// A machine is paid for while it boots, and work waits for it. Of two offers at the same price per
// task, the one that boots faster must be chosen.
TEST(fleet, boot_time_is_part_of_the_price_of_an_offer) {
    for (seconds slow_boot : {30s, 50s}) {
        auto types = test::small_types();
        types[0].boot_time = slow_boot; // one slot
        types[1].boot_time = 40s;       // four slots for four times the price
        control::scheduler core(test::small_settings(), types);
        core.begin(at(0), 5, wall_clock{});
        core.finish_loading(at(0));
        core.on_job_record("job-1", array_record(1), 7, at(0));
        core.tick(at(3));
        for (auto &write : core.take_writes(at(3)))
            core.on_write_completed(write, true, at(3));
        auto rentals = core.take_rental_requests(at(3));
        ASSERT_EQ(rentals.size(), 1u);
        EXPECT_EQ(rentals[0].type, slow_boot < 40s ? "small" : "large");
    }
}
