// Dependencies in a controller's job cache, derived from durable records also when changes were
// missed.
#include "builders.hpp"
#include "catalog/job_cache.hpp"
#include "key_value_stand_in.hpp"
#include <gtest/gtest.h>

using namespace spindlecroft;
using namespace std::chrono_literals;
using catalog::dependency_status;
using test::wall_at;

namespace {

struct cache_fixture {
    net::asio::io_context io;
    settings::settings conf = test::small_settings();
    test::state_stand_in state{io, conf};
    catalog::job_cache cache{io, state};

    void put_job(const std::string &id, std::vector<std::string> predecessors,
                 bool cancelled = false) {
        wire::job_record record{cancelled, wall_at(1), {}, test::small_job(id)};
        if (cancelled)
            record.cancelled_at = wall_at(2);
        record.spec.predecessors = std::move(predecessors);
        state.apply({}, {{"j/a/" + id, wire::encode_job_record(record), 0}});
    }
    void put_end(const std::string &id, job_state ended_as) {
        state.apply({}, {{"j/e/" + id, wire::encode_ended_record({ended_as, 0, wall_at(5)}), 0}});
    }
    void run(seconds length) { io.run_for(net::timer_ticks(length)); }
    bool resolve(const std::string &id) {
        bool done = false, ok = false;
        auto ask = [&]() -> net::awaitable<void> {
            ok = co_await cache.resolve_predecessors(id);
            done = true;
        };
        net::spawn(io, ask(), "resolve");
        for (int i = 0; i < 100 && !done; ++i)
            run(10ms);
        return done && ok;
    }
    void load() {
        net::spawn(io, cache.run_watch(), "watch");
        for (int i = 0; i < 100 && !cache.is_loaded(); ++i)
            run(10ms);
    }
    cache_fixture() = default;
    cache_fixture(const cache_fixture &) = delete;
    cache_fixture &operator=(const cache_fixture &) = delete;
    // NOLINTNEXTLINE(bugprone-exception-escape): a throw here may end the test program
    ~cache_fixture() {
        cache.stop();
        run(200ms);
    }
};

} // namespace

// Records are listed in the order of their keys, so a dependent may come before its predecessor.
TEST(job_cache, a_cancelled_predecessor_counts_in_any_order_of_reads) {
    cache_fixture fixture;
    fixture.put_job("job-2", {}, true);
    fixture.put_job("job-1", {"job-2"});
    fixture.put_job("job-3", {"job-2"});
    fixture.put_job("job-4", {"job-3"});
    fixture.load();
    for (auto *id : {"job-1", "job-3", "job-4"})
        EXPECT_EQ(fixture.cache.dependencies().status_of(id), dependency_status::cancelled) << id;
}

TEST(job_cache, resolves_missed_ends_by_reading_them) {
    cache_fixture fixture;
    fixture.put_end("job-1", job_state::done);
    fixture.put_end("job-2", job_state::cancelled);
    fixture.put_job("job-3", {"job-1"});
    fixture.put_job("job-4", {"job-1", "job-2"});
    fixture.put_job("job-5", {"job-4"});
    fixture.load();
    EXPECT_EQ(fixture.cache.dependencies().status_of("job-3"), dependency_status::waiting);
    ASSERT_TRUE(fixture.resolve("job-3"));
    EXPECT_EQ(fixture.cache.dependencies().status_of("job-3"), dependency_status::ready);
    ASSERT_TRUE(fixture.resolve("job-5"));
    EXPECT_EQ(fixture.cache.dependencies().status_of("job-5"), dependency_status::cancelled);
}

TEST(job_cache, a_failed_read_leaves_the_predecessors_unresolved) {
    cache_fixture fixture;
    fixture.put_job("job-3", {"job-1"});
    fixture.put_end("job-1", job_state::done);
    fixture.load();
    fixture.state.outage = true;
    EXPECT_FALSE(fixture.resolve("job-3"));
    fixture.state.outage = false;
    EXPECT_TRUE(fixture.resolve("job-3"));
}
