// Which machines are rented.
#include "builders.hpp"
#include "control/scheduler.hpp"
#include <algorithm>
#include <gtest/gtest.h>

using namespace spindlecroft;
using namespace std::chrono_literals;
using test::at;

namespace {

wire::job_record array_of(std::uint32_t tasks) {
    wire::job_record r;
    r.spec = test::small_job("job-1");
    r.spec.tasks = tasks;
    r.spec.estimate = 100s;
    return r;
}

} // namespace

// Thousands of machines are wished for and none is to be had: the first wish may come as many
// requests for an offer, each later one as a single request.
TEST(fleet, one_request_asks_for_what_is_sold_out) {
    control::scheduler core(test::small_settings(), test::small_types());
    core.begin(at(0), 5, wall_clock{});
    core.finish_loading(at(0));
    core.on_job_record("job-1", array_of(1000), 7, at(0));
    std::map<std::string, int> asked; // times that an offer was asked for
    int at_first = 0, later = 0;
    for (auto now = at(1); now < at(200); now += seconds{0.5}) {
        core.tick(now);
        for (auto &w : core.take_writes(now))
            core.on_write_completed(w, true, now);
        std::map<std::string, int> now_asked;
        for (auto &q : core.take_rental_requests(now)) {
            ++now_asked[q.type + q.zone + (q.spot ? "spot" : "")];
            core.on_rent_refused(q.id, now);
        }
        for (auto &[offer, n] : now_asked) {
            auto &most = asked[offer]++ == 0 ? at_first : later;
            most = std::max(most, n);
        }
    }
    EXPECT_GE(at_first, 5);
    EXPECT_EQ(later, 1);
    EXPECT_GE(asked.at("smallaspot"), 5) << "it is asked for again";
}

// A machine is paid for while it boots, and what is rented for it waits: of two offers at the same
// price per task the one that is up sooner is taken.
TEST(fleet, boot_time_is_part_of_an_offers_price) {
    for (seconds slow_boot : {30s, 50s}) {
        auto types = test::small_types();
        types[0].boot_time = slow_boot; // one slot
        types[1].boot_time = 40s;       // four slots for four times the price
        control::scheduler core(test::small_settings(), types);
        core.begin(at(0), 5, wall_clock{});
        core.finish_loading(at(0));
        core.on_job_record("job-1", array_of(1), 7, at(0));
        core.tick(at(3));
        for (auto &w : core.take_writes(at(3)))
            core.on_write_completed(w, true, at(3));
        auto rentals = core.take_rental_requests(at(3));
        ASSERT_EQ(rentals.size(), 1u);
        EXPECT_EQ(rentals[0].type, slow_boot < 40s ? "small" : "large");
    }
}
