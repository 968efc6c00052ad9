// The scheduler's durable records: what is written, in what order, and what follows once it is.
#include "control/scheduler.hpp"

namespace spindlecroft::control {

// One record for all requests of a round, written before the cloud is asked. It is dropped when
// every machine is in a list, or gone: until then the next leader has to ask again for the names,
// or it would rent as many once more.
void scheduler::write_rentals(std::vector<durable_write> &out) {
    std::map<std::string, std::vector<tracked_rental *>> rounds;
    for (auto &[request, s] : rentals_)
        rounds[s.round].push_back(&s);
    for (auto &[name, list] : rounds) {
        auto &round = rental_rounds_[name];
        if (round.busy)
            continue;
        durable_write w;
        w.kind = write_kind::rental_request;
        w.rental_request = name;
        if (!round.written) {
            wire::rental_record r;
            r.at = state_.term().clock.to_wall(list.front()->asked_at);
            for (auto *s : list)
                r.requests.push_back(s->what);
            w.ops.push_back({rental_key(name), wire::encode_rental_record(r), 0});
        } else {
            bool open = false;
            for (auto *s : list) {
                std::erase_if(s->machines, [&](auto &n) {
                    auto m = state_.machines().find(n);
                    return m == state_.machines().end() || m->second.listed_at;
                });
                open = open || !s->answered || !s->machines.empty();
            }
            if (open)
                continue;
            w.ops.push_back({rental_key(name), "", 0});
        }
        round.busy = true;
        out.push_back(std::move(w));
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

void scheduler::on_written(const durable_write &w, bool ok, std::uint64_t, time_point now) {
    state_.request_planning();
    if (w.kind == write_kind::rental_request) {
        auto i = rental_rounds_.find(w.rental_request);
        if (i == rental_rounds_.end())
            return;
        i->second.busy = false;
        if (!ok)
            return; // written again
        bool dropped = w.ops.front().value.empty();
        i->second.written = true;
        for (auto r = rentals_.begin(); r != rentals_.end();) {
            if (r->second.round != w.rental_request) {
                ++r;
                continue;
            }
            r->second.durable = true;
            r = dropped ? rentals_.erase(r) : std::next(r);
        }
        if (dropped)
            rental_rounds_.erase(i);
        return;
    }
    switch (w.kind) {
    case write_kind::placed:
        placements_.on_written(w, ok, now);
        break;
    case write_kind::suspects:
        suspect_record_.on_written(w, ok);
        break;
    case write_kind::done:
        done_records_.on_written(w, ok, now);
        break;
    case write_kind::job_end:
        if (auto end = job_ends_.on_written(w, ok, now))
            dependencies_.on_job_ended(w.job, *end, now);
        break;
    case write_kind::cleanup:
    case write_kind::rental_request:
        break;
    }
}

} // namespace spindlecroft::control
