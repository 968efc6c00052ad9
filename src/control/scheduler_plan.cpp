// Bids, worker queues and starts.
#include "constants.hpp"
#include "control/scheduler.hpp"
#include "fairness/team_order.hpp"
#include <algorithm>
#include <spdlog/spdlog.h>

namespace spindlecroft::control {

using catalog::attempt_phase;
namespace c = constants;

// The job's zone rules, given its other tasks: those presumed anywhere and those queued.
std::vector<char> scheduler::places_for(const job_t &j) const {
    auto &s = j.spec;
    std::map<std::string, std::uint32_t> in_zone;
    std::uint32_t unknown = 0, all = 0;
    if (s.spread || s.same_zone) {
        auto count = [&](const std::string &name) {
            ++all;
            auto i = state_.machines().find(name);
            // Somewhere unknown: it counts against every zone.
            if (i == state_.machines().end() || i->second.zone.empty())
                ++unknown;
            else
                ++in_zone[i->second.zone];
        };
        for (auto &[i, a] : j.live)
            if (a.phase != attempt_phase::exited)
                count(a.machine);
        for (auto &[i, name] : j.queued)
            count(name);
    }
    std::vector<char> out;
    for (auto &p : state_.machine_classes()) {
        bool ok = planning::type_allowed(s, p.type) && (!s.zone || *s.zone == p.zone) &&
                  (!p.spot || s.spot);
        auto here = in_zone.find(p.zone);
        std::uint32_t known = here == in_zone.end() ? 0 : here->second;
        if (s.same_zone && known != all)
            ok = false;
        if (s.spread && known + unknown >= j.zone_cap())
            ok = false;
        out.push_back(static_cast<char>(ok));
    }
    return out;
}

void scheduler::count_usage() {
    teams_.clear_usage();
    stopping_.clear();
    for (auto &[id, j] : state_.jobs()) {
        int n = static_cast<int>(j.queued.size());
        for (auto &[i, a] : j.live)
            if (a.holds_resources()) {
                ++n;
                if (a.stop_wanted)
                    stopping_[j.spec.team] += j.spec.cpus;
            }
        if (n > 0)
            teams_.add(j.spec.team, j.spec, n);
    }
}

// Guards against stopping work for nothing: a job that does not fit its team's guarantee as a whole
// waits for others anyway, and each task that is stopped for it has run in vain.
void scheduler::mark_guaranteed() {
    bool any = false;
    for (auto &t : settings_.teams)
        any = any || t.cpus > 0 || t.gpus > 0;
    if (!any)
        return;
    std::vector<job_t *> by_age;
    for (auto &[id, j] : state_.jobs())
        if (!j.over() && j.ready && !state_.failures().is_suspect(id))
            by_age.push_back(&j);
    std::sort(by_age.begin(), by_age.end(),
              [](auto *a, auto *b) { return a->ready_at < b->ready_at; });
    std::map<std::string, fairness::usage> earlier;
    for (auto *j : by_age) {
        auto &u = earlier[j->spec.team];
        u.cpus += j->spec.tasks * j->spec.cpus;
        u.gpus += j->spec.tasks * j->spec.gpus;
        auto *t = teams_.find(j->spec.team);
        j->guaranteed = t && u.cpus <= t->cpus + 1e-9 && u.gpus <= t->gpus + 1e-9;
    }
}

void scheduler::refresh_bidder(bidder &b, time_point now) {
    auto &m = *b.m;
    m.changed = false;
    b.refreshed_at = now;
    b.type = &m.type;
    b.zone = m.zone;
    b.spot = m.spot;
    b.place = m.place;
    b.free = b.critical = b.above_idle = b.whole = {m.type.cpus, m.type.gpus, m.type.memory_gb};
    b.work = seconds{};
    b.fetches = 0;
    b.cached.clear();
    b.coming.clear();
    for (auto &[image, at] : m.images)
        b.cached.push_back(state_.image_number(image));
    for (auto &ref : m.attempts) {
        auto *j = state_.find_job(ref.job);
        if (!j)
            continue;
        auto i = j->live.find(ref.index);
        if (i == j->live.end() || !i->second.holds_resources())
            continue;
        auto &a = i->second;
        seconds ran = a.ran_for(now);
        // Past its estimate: as much again as a fifth of it, rather than nothing.
        b.hold(j->spec, std::max(a.estimate - ran, 0.2 * a.estimate));
        if (a.phase != attempt_phase::running && a.phase != attempt_phase::checkpointing)
            b.fetch(j->image);
    }
    for (auto &t : m.queue)
        if (auto *j = state_.find_job(t.task.job)) {
            b.hold(j->spec, t.estimate);
            b.fetch(j->image);
        }
}

std::vector<bidder *> scheduler::make_bidders(time_point now) {
    std::vector<bidder *> out;
    out.reserve(state_.machines().size());
    for (auto &[name, m] : state_.machines()) {
        if (!m.usable() || m.silent)
            continue;
        if (m.speed_samples >= c::slow_samples && m.speed < c::slow_machine)
            continue;
        seconds boot_time{};
        if (!m.up) {
            seconds age = model::boot_age(m, state_.term(), settings_, now);
            if (age > c::boot_hedge * m.type.boot_time)
                continue; // late: nothing is promised in its name
            boot_time = std::max(seconds{1}, m.type.boot_time * 1.1 - age);
        }
        auto &b = bidders_[name];
        b.m = &m;
        b.boot_time = boot_time;
        // What nothing has changed on only grows older; that need not be exact.
        if (m.changed || !b.refreshed_at || now - *b.refreshed_at > c::bidder_age)
            refresh_bidder(b, now);
        out.push_back(&b);
    }
    return out;
}

std::optional<round_bid> scheduler::bid_of(const job_t &j, bidder &b,
                                           const std::vector<char> &places, seconds expected,
                                           bool some_failed, time_point now) const {
    auto &s = j.spec;
    if (!places[b.place] || !b.m->takes_work(now))
        return {};
    if (some_failed && state_.failures().failed_on(j.spec.id, b.m->name))
        return {};
    bool critical = s.priority == priority_class::critical;
    bool preempting = false;
    if (s.shape == job_shape::service || critical) {
        // A service leaves only with its user: nobody queues behind it.
        auto &room = critical ? b.critical : b.whole;
        if (!room.fits(s))
            return {};
        preempting = !b.free.fits(s);
    } else if (!b.whole.fits(s)) {
        return {};
    } else {
        // Work of the lowest priority makes room where waiting for it would take longer.
        bool waits = b.boot_time <= seconds{} && !b.free.fits(s) &&
                     b.work > c::preempt_cost * b.whole.slots(s);
        preempting = waits && s.priority != priority_class::low && b.above_idle.fits(s);
    }
    auto offer = bidding::make_bid(
        b.m->speed, b.type->fetch_gb_per_s, s, b.free, b.whole, preempting ? seconds{} : b.work,
        b.boot_time, expected, bidder::holds(b.cached, j.image) || bidder::holds(b.coming, j.image),
        b.fetches);
    if (offer.queue_time > c::queue_limit)
        return {};
    // Guards against a leader that is busy with bids alone: the tasks of a large sweep fill every
    // queue by the thousand, and all of them are bid again each second.
    if (offer.queue_time > b.boot_time && b.m->queue.size() >= c::queue_tasks)
        return {};
    round_bid r{&b, offer.finish_time(), preempting ? seconds{} : offer.queue_time, b.version};
    if (preempting)
        r.finish_time += c::preempt_cost;
    // Between equals, a replica goes where it spoils least room for work that comes and goes.
    if (s.shape == job_shape::service)
        r.finish_time +=
            c::displaced_slot_cost * planning::displaced_slots(b, s, state_.latest_array());
    return r;
}

// The lowest bid among all machines.
std::optional<round_bid> scheduler::best_bid(const job_t &j, bid_round &round, time_point now) {
    auto &s = j.spec;
    seconds expected = state_.expected_run_time(j);
    auto places = places_for(j);
    auto failed = state_.failures().failed_machines(s.id);
    bool some_failed = failed > 0 && failed < round.bidders.size();
    bid_round::need need{s.cpus,
                         s.gpus,
                         s.memory_gb,
                         s.shape == job_shape::service,
                         s.priority == priority_class::critical,
                         places};
    // Whether a machine bids at all depends on nothing else of the job.
    if (!some_failed && round.full.count(need))
        return {};
    std::optional<round_bid> best;
    if (s.shape == job_shape::service || s.same_zone || s.spread) {
        // Where its tasks may be changes with each, and a bid may fall when another holds room.
        for (auto *b : round.bidders)
            if (auto r = bid_of(j, *b, places, expected, some_failed, now))
                if (!best || r->finish_time < best->finish_time)
                    best = r;
    } else {
        auto [i, fresh] = round.books.try_emplace(s.id);
        auto &book = i->second;
        auto &heap = book.heap;
        auto &fetching = round.fetching[j.image];
        if (fresh) {
            for (auto *b : round.bidders)
                if (auto r = bid_of(j, *b, places, expected, some_failed, now))
                    heap.push_back(*r);
            std::make_heap(heap.begin(), heap.end());
            book.fetching_seen = fetching.size();
        }
        auto add = [&](bidder &b) {
            if (auto r = bid_of(j, b, places, expected, some_failed, now)) {
                heap.push_back(*r);
                std::push_heap(heap.begin(), heap.end());
            }
        };
        for (; book.fetching_seen < fetching.size(); ++book.fetching_seen)
            add(*fetching[book.fetching_seen]);
        // Apart from those, bids only rise within a round: an outdated one is worked out anew when
        // it comes to the top.
        while (!heap.empty() && heap.front().version != heap.front().by->version) {
            std::pop_heap(heap.begin(), heap.end());
            auto *b = heap.back().by;
            heap.pop_back();
            add(*b);
        }
        if (!heap.empty())
            best = heap.front();
    }
    if (!best && !some_failed)
        round.full.insert(std::move(need));
    return best;
}

bool scheduler::bid_once(job_t &j, bid_round &round, time_point now) {
    auto &s = j.spec;
    if (j.waiting() == 0)
        return false;
    auto offer = best_bid(j, round, now);
    auto *best = offer ? offer->by : nullptr;
    bool first = false;
    if ((!best || offer->queue_time > c::guarantee_wait) && j.guaranteed &&
        teams_.within_guarantee(s))
        if (auto *b = preempt_for_guarantee(j, round, now)) {
            best = b;
            first = true;
        }
    if (!best)
        return false;
    std::uint32_t index = 0;
    if (!j.pop_waiting(index))
        return false;
    seconds estimate = state_.expected_run_time(j) / std::max(best->m->speed, c::speed_floor);
    workers::queued_task t{{s.id, index}, s.priority, estimate};
    auto &q = best->m->queue;
    // First in, first out among equals; higher priority goes before, and so does work for which
    // others were stopped.
    auto at = std::find_if(q.begin(), q.end(), [&](auto &x) {
        return first ? x.priority >= s.priority : x.priority > s.priority;
    });
    q.insert(at, t);
    best->m->startable = true;
    j.queued[index] = best->m->name;
    best->hold(s, estimate);
    if (best->fetch(j.image))
        round.fetching[j.image].push_back(best);
    ++best->version;
    teams_.add(s.team, s);
    return true;
}

// A team's guaranteed work finds no room soon: the latest work that another team runs beyond its
// own guarantee is stopped for it (PROTOCOL, "Preemption").
bidder *scheduler::preempt_for_guarantee(const job_t &j, bid_round &round, time_point now) {
    auto &s = j.spec;
    // Most of the time nobody is beyond its guarantee; then no machine need be looked at.
    auto beyond = [&](const std::string &team) {
        auto *t = teams_.find(team);
        auto i = stopping_.find(team);
        return teams_.used(team).cpus - (i == stopping_.end() ? 0 : i->second) - (t ? t->cpus : 0);
    };
    bool any = false;
    for (auto &t : settings_.teams)
        any = any || (t.name != s.team && beyond(t.name) >= s.cpus);
    if (!any)
        return nullptr;
    if (!round.victims_known) {
        round.victims_known = true;
        for (auto *b : round.bidders)
            if (b->m->up)
                for (auto &ref : b->m->attempts) {
                    auto *other = state_.find_job(ref.job);
                    if (!other || other->spec.shape != job_shape::array ||
                        beyond(other->spec.team) < other->spec.cpus)
                        continue;
                    if (auto i = other->live.find(ref.index); i != other->live.end())
                        round.victims.emplace_back(i->second.created_at, ref);
                }
        std::stable_sort(round.victims.begin(), round.victims.end(),
                         [](auto &a, auto &b) { return a.first > b.first; });
    }
    auto places = places_for(j);
    for (auto &[created, ref] : round.victims) {
        auto *other = state_.find_job(ref.job);
        if (!other || other->spec.team == s.team)
            continue;
        auto i = other->live.find(ref.index);
        if (i == other->live.end())
            continue;
        auto &a = i->second;
        auto &o = other->spec;
        if (!a.possibly_running() || a.stop_wanted || o.cpus < s.cpus || o.gpus < s.gpus ||
            o.memory_gb < s.memory_gb || beyond(o.team) < o.cpus)
            continue;
        // Guards against work that is stopped twice: idle work that took the room of other work has
        // to make room for the same work in turn.
        if (s.priority == priority_class::low && o.priority != priority_class::low)
            continue;
        auto at = bidders_.find(a.machine);
        if (at == bidders_.end() || !places[at->second.place] || !at->second.m->takes_work(now) ||
            state_.failures().failed_on(s.id, a.machine))
            continue;
        stopping_[o.team] += o.cpus;
        ++preempted_tasks_;
        state_.request_stop(a, grace_of(o));
        return &at->second;
    }
    return nullptr;
}

// A machine has nothing in its queue while tasks wait in queues elsewhere: all of those are bid
// again. Bidding again only as many as the idle room holds left replicas in the queues of machines
// that boot late, and queues out of their team's order (round g5).
void scheduler::rebid(time_point now) {
    if (!elapsed(last_rebid_, c::idle_rebid, now))
        return;
    bool waiting = false, idle = false;
    for (auto &[name, m] : state_.machines()) {
        if (!m.queue.empty())
            waiting = true;
        else if (m.up && m.usable() && !m.silent)
            idle = true;
    }
    if (!waiting || !idle)
        return;
    last_rebid_ = now;
    for (auto &[name, m] : state_.machines())
        if (!m.queue.empty())
            state_.clear_queue(m);
}

fairness::waiting_job scheduler::waiting_job_of(const job_t &j, time_point now) const {
    fairness::waiting_job w;
    seconds expected = state_.expected_run_time(j);
    // The deadline counts from the submission, everything else from when the job was ready.
    auto own = j.spec.deadline.value_or(seconds{});
    seconds waited = now - j.ready_at;
    seconds late_ready = j.ready_at - j.accepted_at;
    auto due = [&](seconds s) {
        if (s > seconds{})
            w.due_in.push_back(s - waited);
    };
    auto deadline = [&](seconds s) {
        if (s > seconds{})
            w.due_in.push_back(s - late_ready - waited);
    };
    deadline(own);
    if (j.inherited_first_due) {
        w.due_in.push_back(*j.inherited_first_due - now);
        w.due_in.push_back(*j.inherited_last_due - now);
    }
    // What is aimed at for its class: a job late for the first aim can be in time for the next.
    for (auto &o : settings_.objectives)
        if (o.job_class == j.spec.job_class) {
            deadline(own * o.times);
            if (o.within > seconds{})
                due(o.kind == "wait" ? o.within + expected : o.within);
        }
    if (w.due_in.empty())
        due(c::default_due);
    std::sort(w.due_in.begin(), w.due_in.end());
    w.waited = waited;
    w.begun = j.done_seen > 0 || !j.live.empty();
    w.longest = expected;
    // Of those that run, half is left on average; those done, but not yet durably, hold nothing.
    w.held = static_cast<double>(j.live.size()) - static_cast<double>(j.done_seen - j.done_count);
    w.work = expected * (j.waiting() + static_cast<double>(j.queued.size()) + 0.5 * w.held);
    return w;
}

void scheduler::plan_bids(time_point now) {
    if (now < hold_until_)
        return;
    rebid(now);
    inherit_along_chains();
    count_usage();
    mark_guaranteed();
    bid_round round;
    round.bidders = make_bidders(now);
    for (std::size_t i = 0; i < round.bidders.size(); ++i)
        round.bidders[i]->number = i;
    int bids = 0;
    struct candidate {
        job_t *job;
        std::uint32_t most; // tasks in this turn
    };
    for (auto priority : {priority_class::critical, priority_class::high, priority_class::normal,
                          priority_class::low}) {
        std::map<std::string, std::vector<candidate>> teams;
        for (auto &[id, j] : state_.jobs())
            if (j.spec.priority == priority && may_place(j, now))
                teams[j.spec.team].push_back({&j, fairness::all_tasks});
        for (auto &[name, list] : teams) {
            if (list.size() < 2)
                continue;
            std::vector<fairness::waiting_job> waiting;
            double slots = 0, limit = 1e9;
            auto &first = list.front().job->spec;
            if (auto *t = teams_.find(name); t && t->cpus_max > 0 && first.cpus > 0)
                limit = t->cpus_max / first.cpus;
            for (auto *b : round.bidders)
                slots += b->whole.slots(first);
            for (auto &x : list)
                waiting.push_back(waiting_job_of(*x.job, now));
            std::vector<candidate> sorted;
            for (auto &t : fairness::serving_order(waiting, std::min(slots, limit)))
                sorted.push_back({list[t.job].job, t.most});
            list.assign(sorted.rbegin(), sorted.rend()); // served from the back
        }
        while (!teams.empty()) {
            if (++bids > c::bids_per_round) {
                state_.request_planning();
                break;
            }
            // Turn by shares: first whoever is within its guarantee, then who uses least for it.
            auto next = teams.end();
            std::pair<bool, double> key;
            for (auto i = teams.begin(); i != teams.end(); ++i) {
                auto &s = i->second.back().job->spec;
                std::pair<bool, double> k{!teams_.within_guarantee(s), teams_.share_used(i->first)};
                if (next == teams.end() || k < key) {
                    next = i;
                    key = k;
                }
            }
            auto &list = next->second;
            auto &turn = list.back();
            auto &j = *turn.job;
            bool placed =
                teams_.within_limit(j.spec) && may_place(j, now) && bid_once(j, round, now);
            if (!placed || j.waiting() == 0 || --turn.most == 0)
                list.pop_back();
            if (list.empty())
                teams.erase(next);
        }
    }
    // At full size most queues wait for the same task to end as in the round before.
    for (auto &[name, m] : state_.machines())
        if (!m.queue.empty() && m.startable)
            start_queued(m, now);
}

void scheduler::start_queued(machine_t &m, time_point now) {
    if (!m.up || !m.usable() || m.silent || !m.takes_work(now))
        return;
    m.startable = false;
    bidding::room room{m.type.cpus, m.type.gpus, m.type.memory_gb};
    std::vector<attempt_t *> lower;
    bool stopping = false;
    for (auto &ref : m.attempts) {
        auto *j = state_.find_job(ref.job);
        if (!j)
            continue;
        auto i = j->live.find(ref.index);
        if (i == j->live.end() || !i->second.holds_resources())
            continue;
        auto &a = i->second;
        room.take(j->spec);
        if (a.stop_wanted)
            stopping = true;
        else if (j->spec.priority > priority_class::critical && a.possibly_running())
            lower.push_back(&a);
    }
    while (!m.queue.empty()) {
        auto t = m.queue.front();
        auto *j = state_.find_job(t.task.job);
        if (!j || j->over()) {
            m.queue.pop_front();
            continue;
        }
        if (!room.fits(j->spec)) {
            // Work of lower priority makes room for critical work, and the lowest priority for all
            // others; the last to begin loses least.
            if (t.priority == priority_class::low || stopping)
                return;
            std::sort(lower.begin(), lower.end(), [&](auto *a, auto *b) {
                auto ra = state_.find_job(a->task.job)->spec.priority,
                     rb = state_.find_job(b->task.job)->spec.priority;
                return ra != rb ? ra > rb : a->created_at > b->created_at;
            });
            auto sum = room;
            std::vector<attempt_t *> victims;
            for (auto *a : lower) {
                if (sum.fits(j->spec))
                    break;
                auto &victim = *state_.find_job(a->task.job);
                if (t.priority != priority_class::critical &&
                    (victim.spec.priority != priority_class::low || victim.live.size() <= 1))
                    continue; // the last task of a job stays: it would not begin anew for long
                sum.give(victim.spec);
                victims.push_back(a);
            }
            if (!sum.fits(j->spec))
                return;
            bool at_once = true;
            for (auto *a : victims) {
                seconds grace = grace_of(state_.find_job(a->task.job)->spec);
                at_once = at_once && grace <= seconds{};
                ++preempted_tasks_;
                state_.request_stop(*a, grace);
            }
            // Its placement is written while the others are being stopped; the start follows the
            // commands to stop, in the same message if need be.
            if (!at_once)
                return;
            std::erase_if(lower, [&](auto *a) { return a->stop_wanted; });
            room = sum;
        }
        m.queue.pop_front();
        m.touch();
        j->queued.erase(t.task.index);
        room.take(j->spec);
        attempt_t a;
        a.task = t.task;
        a.number = state_.next_attempt_number();
        a.machine = m.name;
        a.created_at = now;
        a.estimate = t.estimate;
        m.idle_since = now;
        state_.add_attempt(*j, std::move(a));
        unplaced_[j->spec.shape == job_shape::service].push_back(t.task);
    }
}

// --- time passes ---

void scheduler::check_machines(time_point now) {
    struct tally {
        double up = 0, quiet = 0;
        // Many at once: rather they, or we, are cut off than dead.
        bool doubt(double least, double share) const { return up > least && quiet > share * up; }
    };
    std::map<std::string, tally> zones;
    tally all;
    seconds limit = model::silence_limit(settings_);
    auto silent_for = [&](const machine_t &m) {
        // Listed as running without a word to us counts from then. Guards against feeding a machine
        // that reaches no controller while our commands reach it: its lease ends with all we give.
        auto since =
            m.up ? std::max(m.own_heartbeat_at.value_or(state_.term().began), state_.term().began)
                 : m.running_at;
        return since ? now - *since : seconds{};
    };
    for (auto &[name, m] : state_.machines()) {
        m.silent = silent_for(m) > limit;
        if ((!m.up && !m.running_at) || m.deleting)
            continue;
        for (auto *t : {&all, &zones[m.zone]}) {
            ++t->up;
            // Guards against deleting a large zone that is cut off, machine by machine: they fall
            // silent one after another, and when the first is, the others have been quiet already.
            t->quiet += silent_for(m) > c::quiet_share * limit;
        }
        // Nothing waits in the queue of a machine that may be dead.
        if (m.silent && !m.queue.empty())
            state_.clear_queue(m);
    }
    bool all_doubt = all.doubt(3, c::silent_share);
    // After a cut the machines come back one after another.
    for (auto &[zone, t] : zones)
        if (t.doubt(2, c::silent_zone_share))
            zone_doubt_until_[zone] = now + c::cut_return;
    for (auto &[name, m] : state_.machines()) {
        if (m.deleting)
            continue;
        seconds age = model::boot_age(m, state_.term(), settings_, now);
        // In a zone that is cut off, tasks go on until their leases end, and the machines are of
        // use again after the cut: deleting them at once would end work for nothing.
        bool doubt = all_doubt || zone_doubt_until_[m.zone] > now;
        if (m.silent &&
            (!doubt || silent_for(m) > limit + settings_.lease_duration + c::cut_patience)) {
            state_.request_deletion(m, "silent");
        } else if (!m.up && m.known_type && !m.running_at &&
                   age > c::boot_late * m.type.boot_time + seconds{5}) {
            // Not if it is listed as running: then it is we who don't hear it, as after a failover
            // in a cut, and it counts as silent.
            state_.request_deletion(m, "never came up");
        } else if (m.reclaim_at && (now > *m.reclaim_at || m.attempts.empty())) {
            state_.request_deletion(m, "taken back");
        } else if (m.outbound_partition_since &&
                   now - *m.outbound_partition_since >
                       c::outbound_partition_leases * settings_.lease_duration) {
            // Whatever was there has lost its lease; what an earlier leader sent is proven gone
            // only by this, since the machine never shows our token.
            state_.request_deletion(m, "does not hear us");
        } else if (m.quarantined && m.attempts.empty()) {
            state_.request_deletion(m, "quarantined");
        } else if (m.up && m.speed_samples >= c::slow_samples && m.speed < c::slow_machine &&
                   m.attempts.empty()) {
            state_.request_deletion(m, "slow");
        }
    }
}

void scheduler::tick(time_point now) {
    if (!ready_)
        return;
    if (elapsed(last_check_, c::check_gap, now)) {
        last_check_ = now;
        leases_.release_expired(now);
        leases_.enforce_cancellations(now);
        failure_review_.review();
        check_machines(now);
    }
    if ((state_.planning_wanted() && elapsed(last_plan_, c::plan_gap, now)) ||
        elapsed(last_plan_, c::plan_at_least, now)) {
        state_.clear_planning_request();
        last_plan_ = now;
        plan_bids(now);
    }
    if (elapsed(last_fleet_, c::rent_gap, now)) {
        last_fleet_ = now;
        plan_fleet(now);
    }
}

} // namespace spindlecroft::control
