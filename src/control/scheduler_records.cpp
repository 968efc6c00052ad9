// The scheduler's durable records: in what order they are handed out, and whom their outcome
// concerns.
#include "control/scheduler.hpp"
#include "store/keys.hpp"

namespace spindlecroft::control {

void scheduler::write_rentals(std::vector<durable_write> &out) {
    for (auto &change : fleet_.take_record_changes()) {
        durable_write write;
        write.kind = write_kind::rental;
        write.rental_round = change.round;
        auto value = change.record ? wire::encode_rental_record(*change.record) : "";
        write.ops.push_back({store::keys::rentals(change.round), std::move(value), 0});
        out.push_back(std::move(write));
    }
}

std::vector<durable_write> scheduler::take_writes(time_point now, std::size_t room) {
    std::vector<durable_write> out;
    if (!ready_)
        return out;
    placements_.take_writes(out, now);
    cleanup_.sweep(placements_, done_records_, now);
    job_ends_.take_writes(out, now);
    done_records_.take_writes(out, now, room);
    write_rentals(out);
    suspect_record_.take_writes(out, now);
    cleanup_.take_writes(out, room);
    return out;
}

void scheduler::on_rental_written(const durable_write &write, bool committed) {
    using fleet::rental_record_outcome;
    bool dropped = write.ops.front().value.empty();
    auto outcome = rental_record_outcome::failed;
    if (committed)
        outcome = dropped ? rental_record_outcome::dropped : rental_record_outcome::written;
    fleet_.on_record_written(write.rental_round, outcome);
}

void scheduler::on_written(const durable_write &write, bool committed, time_point now) {
    state_.request_planning();
    switch (write.kind) {
    case write_kind::placed:
        placements_.on_written(write, committed, now);
        break;
    case write_kind::suspects:
        suspect_record_.on_written(write, committed);
        break;
    case write_kind::done:
        done_records_.on_written(write, committed, now);
        break;
    case write_kind::job_end:
        if (auto end = job_ends_.on_written(write, committed, now))
            dependencies_.on_job_ended(write.job, *end, now);
        break;
    case write_kind::rental:
        on_rental_written(write, committed);
        break;
    case write_kind::cleanup:
        break;
    }
}

} // namespace spindlecroft::control
