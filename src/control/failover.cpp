#include "control/failover.hpp"
#include "constants.hpp"
#include "store/keys.hpp"

namespace spindlecroft::control {

namespace c = constants;
using net::awaitable;
using net::steady_now;
using store::request_priority;

namespace {

// Loads each record. An unreadable record is skipped and grants no permission; if it failed the
// whole load, the cluster would be left without a leader permanently. load(name, value) may throw
// wire::malformed_message; on_unreadable() is called then.
template <class Load, class Unreadable>
void load_each(const wire::range_answer &records, store::committer &writer, std::string_view prefix,
               Load load, Unreadable on_unreadable) {
    for (const auto &record : records.items) {
        writer.set_revision(record.key, record.revision);
        try {
            load(record.key.substr(prefix.size()), record.value);
        } catch (const wire::malformed_message &error) {
            spdlog::error("skipped unreadable record {}: {}", record.key, error.what());
            on_unreadable();
        }
    }
}

constexpr auto ignore_unreadable = [] {};

} // namespace

awaitable<bool> failover::run() {
    auto started_at = steady_now();
    co_await read_types();
    co_await read_records();
    co_await read_jobs();
    if (!term_->may_act())
        co_return false;
    auto new_scheduler = std::make_unique<scheduler>(settings_, types_);
    auto now = steady_now();
    new_scheduler->begin(now, member_.token(), wall_clock{now, net::wall_now()});
    load(*new_scheduler, now);
    term_->drop_cancels_through(jobs_.revision());
    store_types();
    term_->activate(std::move(new_scheduler), now);
    spdlog::info("failover completed in {:.2f} s: {}", (steady_now() - started_at).count(),
                 term_->active_scheduler()->summary());
    co_return true;
}

awaitable<void> failover::read_types() {
    while (term_->may_act() && types_.empty()) {
        co_await read_stored_types();
        if (types_.empty())
            co_await net::sleep_for(c::key_value_retry_delay);
    }
}

awaitable<void> failover::read_stored_types() {
    auto stored = co_await store_.get(store::keys::machine_types, request_priority::leadership);
    if (!stored)
        co_return;
    if (stored->found) {
        types_revision_ = stored->item.revision;
        try {
            types_ = wire::parse_machine_types(stored->item.value);
        } catch (const wire::malformed_message &error) {
            spdlog::error("ignored unreadable machine types in record {}: {}",
                          store::keys::machine_types, error.what());
            types_unreadable_ = true;
        }
    }
    if (types_.empty())
        co_await read_types_from_cloud();
}

awaitable<void> failover::read_types_from_cloud() {
    auto reply = co_await cloud_.call(term_, "GET", wire::path_machine_types, "");
    if (!reply.ok())
        co_return;
    try {
        types_ = wire::parse_machine_types(reply.body);
    } catch (const wire::malformed_message &error) {
        spdlog::error("malformed machine types from the cloud: {}", error.what());
    }
}

awaitable<void> failover::read_records() {
    while (term_->may_act() && !records_.complete()) {
        if (!records_.suspects)
            records_.suspects =
                co_await store_.list(store::keys::suspect_jobs, request_priority::leadership);
        if (!records_.placements)
            records_.placements =
                co_await store_.list(store::keys::placements_prefix, request_priority::leadership);
        if (!records_.done)
            records_.done =
                co_await store_.list(store::keys::done_tasks_prefix, request_priority::leadership);
        if (!records_.rentals)
            records_.rentals =
                co_await store_.list(store::keys::rentals_prefix, request_priority::leadership);
        if (!records_.complete())
            co_await net::sleep_for(c::key_value_retry_delay);
    }
}

awaitable<void> failover::read_jobs() {
    bool read = false;
    while (term_->may_act() && !read)
        read = co_await jobs_.catch_up(c::failover_read_timeout);
}

void failover::load(scheduler &target, time_point now) {
    for (const auto &[id, job] : jobs_.active_jobs())
        target.load_job(id, job.record, job.revision, now);
    load_records(target, now);
    apply_predecessor_ends(target, jobs_, now);
    target.finish_loading(now);
}

void failover::load_records(scheduler &target, time_point now) {
    auto load_done = [&](const std::string &name, const std::string &value) {
        target.load_done(name, wire::parse_done_parts(value));
    };
    auto load_placements = [&](const std::string &name, const std::string &value) {
        target.load_placements(name, wire::parse_placements(value), now);
    };
    auto load_rentals = [&](const std::string &name, const std::string &value) {
        target.load_rental(name, wire::parse_rental_record(value), now);
    };
    auto load_suspects = [&](const std::string &, const std::string &value) {
        target.load_suspects(wire::parse_suspects(value), now);
    };
    auto on_placements_unreadable = [&] { target.load_unreadable_placements(now); };
    // Tasks of an unreadable done record run again. Machines of an unreadable rental record are
    // used or returned as they appear in the machine list. Suspect jobs are detected again.
    load_each(*records_.done, term_->completion_writer, store::keys::done_tasks_prefix, load_done,
              ignore_unreadable);
    load_each(*records_.placements, term_->placement_writer, store::keys::placements_prefix,
              load_placements, on_placements_unreadable);
    load_each(*records_.rentals, term_->placement_writer, store::keys::rentals_prefix, load_rentals,
              ignore_unreadable);
    load_each(*records_.suspects, term_->completion_writer, "", load_suspects, ignore_unreadable);
}

void failover::store_types() {
    term_->placement_writer.set_revision(store::keys::machine_types, types_revision_);
    if (types_revision_ != 0 && !types_unreadable_)
        return;
    store::write_unit change;
    change.owns_keys = true;
    change.ops = {{store::keys::machine_types, wire::encode_machine_types(types_), 0}};
    change.priority = request_priority::user_request;
    term_->placement_writer.submit(std::move(change));
}

void apply_predecessor_ends(scheduler &scheduler, const catalog::job_cache &jobs, time_point now) {
    for (const auto &id : scheduler.unresolved_predecessors())
        if (const auto *end = jobs.dependencies().end_of(id))
            scheduler.on_predecessor_end(id, *end, now);
}

} // namespace spindlecroft::control
