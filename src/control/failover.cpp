#include "control/failover.hpp"
#include "constants.hpp"
#include "store/keys.hpp"

namespace spindlecroft::control {

namespace c = constants;
using net::awaitable;
using net::steady_now;
using store::request_priority;

namespace {

// Guards against a record that can't be read and would leave the cluster without a leader's
// decisions for good: it is passed over and gives no permission. load(name, value) may throw
// wire::malformed_message; unreadable() is called then.
template <class Load, class Unreadable>
void load_each(const wire::range_answer &records, store::committer &writer, std::string_view prefix,
               Load load, Unreadable unreadable) {
    for (const auto &record : records.items) {
        writer.set_revision(record.key, record.revision);
        try {
            load(record.key.substr(prefix.size()), record.value);
        } catch (const wire::malformed_message &error) {
            spdlog::error("{}: can't be read: {}", record.key, error.what());
            unreadable();
        }
    }
}

constexpr auto nothing_lost = [] {};

} // namespace

awaitable<bool> failover::run() {
    auto began = steady_now();
    co_await read_types();
    co_await read_records();
    co_await read_jobs();
    if (!term_->may_act())
        co_return false;
    auto made = std::make_unique<scheduler>(settings_, types_);
    auto now = steady_now();
    made->begin(now, member_.token(), wall_clock{now, net::wall_now()});
    load(*made, now);
    term_->drop_cancels_through(jobs_.revision());
    store_types();
    term_->activate(std::move(made), now);
    spdlog::info("took over in {:.2f} s: {}", (steady_now() - began).count(),
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
            spdlog::error("{}: can't be read: {}", store::keys::machine_types, error.what());
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
        spdlog::error("machine types: {}", error.what());
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

void failover::load(scheduler &into, time_point now) {
    for (const auto &[id, job] : jobs_.active_jobs())
        into.load_job(id, job.record, job.revision, now);
    load_records(into, now);
    apply_predecessor_ends(into, jobs_, now);
    into.finish_loading(now);
}

void failover::load_records(scheduler &into, time_point now) {
    auto load_done = [&](const std::string &name, const std::string &value) {
        into.load_done(name, wire::parse_done_parts(value));
    };
    auto load_placements = [&](const std::string &name, const std::string &value) {
        into.load_placements(name, wire::parse_placements(value), now);
    };
    auto load_rentals = [&](const std::string &name, const std::string &value) {
        into.load_rental(name, wire::parse_rental_record(value), now);
    };
    auto load_suspects = [&](const std::string &, const std::string &value) {
        into.load_suspects(wire::parse_suspects(value), now);
    };
    auto placements_unreadable = [&] { into.load_unreadable_placements(now); };
    // Tasks of an unreadable done record run again; machines of an unreadable rental record are
    // used or returned as they appear; suspect jobs are found out again.
    load_each(*records_.done, term_->end_writer, store::keys::done_tasks_prefix, load_done,
              nothing_lost);
    load_each(*records_.placements, term_->placement_writer, store::keys::placements_prefix,
              load_placements, placements_unreadable);
    load_each(*records_.rentals, term_->placement_writer, store::keys::rentals_prefix, load_rentals,
              nothing_lost);
    load_each(*records_.suspects, term_->end_writer, "", load_suspects, nothing_lost);
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

void apply_predecessor_ends(scheduler &to, const catalog::job_cache &jobs, time_point now) {
    for (const auto &id : to.unresolved_predecessors())
        if (const auto *end = jobs.dependencies().end_of(id))
            to.on_predecessor_end(id, *end, now);
}

} // namespace spindlecroft::control
