// What a controller knows of dependencies from the records alone, whatever it has missed.
#include "builders.hpp"
#include "catalog/job_cache.hpp"
#include "key_value_stand_in.hpp"
#include <gtest/gtest.h>

using namespace spindlecroft;
using namespace std::chrono_literals;
using catalog::dependency_status;
using test::wall_at;

namespace {

struct caching {
    net::asio::io_context io;
    settings::settings conf = test::small_settings();
    test::state_stand_in state{io, conf};
    catalog::job_cache cache{io, state};

    void put_job(const std::string &id, std::vector<std::string> predecessors,
                 bool cancelled = false) {
        wire::job_record r{cancelled, wall_at(1), {}, test::small_job(id)};
        if (cancelled)
            r.cancelled_at = wall_at(2);
        r.spec.predecessors = std::move(predecessors);
        state.apply({}, {{"j/a/" + id, wire::encode_job_record(r), 0}});
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
    caching() = default;
    caching(const caching &) = delete;
    caching &operator=(const caching &) = delete;
    // NOLINTNEXTLINE(bugprone-exception-escape): a throw here may end the test program
    ~caching() {
        cache.stop();
        run(200ms);
    }
};

} // namespace

// Records are read in the order of their names, whatever depends on what.
TEST(job_cache, a_cancelled_predecessor_counts_whichever_record_is_read_first) {
    caching c;
    c.put_job("job-2", {}, true);
    c.put_job("job-1", {"job-2"});
    c.put_job("job-3", {"job-2"});
    c.put_job("job-4", {"job-3"});
    c.load();
    for (auto *id : {"job-1", "job-3", "job-4"})
        EXPECT_EQ(c.cache.dependencies().status_of(id), dependency_status::cancelled) << id;
}

TEST(job_cache, reads_the_ends_that_it_missed) {
    caching c;
    c.put_end("job-1", job_state::done);
    c.put_end("job-2", job_state::cancelled);
    c.put_job("job-3", {"job-1"});
    c.put_job("job-4", {"job-1", "job-2"});
    c.put_job("job-5", {"job-4"});
    c.load();
    EXPECT_EQ(c.cache.dependencies().status_of("job-3"), dependency_status::waiting);
    ASSERT_TRUE(c.resolve("job-3"));
    EXPECT_EQ(c.cache.dependencies().status_of("job-3"), dependency_status::ready);
    ASSERT_TRUE(c.resolve("job-5"));
    EXPECT_EQ(c.cache.dependencies().status_of("job-5"), dependency_status::cancelled);
}

TEST(job_cache, an_end_that_cannot_be_read_resolves_nothing) {
    caching c;
    c.put_job("job-3", {"job-1"});
    c.put_end("job-1", job_state::done);
    c.load();
    c.state.outage = true;
    EXPECT_FALSE(c.resolve("job-3"));
    c.state.outage = false;
    EXPECT_TRUE(c.resolve("job-3"));
}
