// Submissions: what may be accepted, and how it is recorded.
#include "constants.hpp"
#include "control/answers.hpp"
#include "control/controller.hpp"
#include "store/keys.hpp"
#include <algorithm>
#include <fmt/format.h>

namespace spindlecroft::control {

namespace c = constants;
using net::awaitable;
using net::response;

std::string controller::rejection(const job_spec &s) const {
    fairness::team_queues teams(settings_.teams);
    if (!teams.find(s.team))
        return fmt::format("unknown team {}", s.team);
    bool fits = false;
    for (auto &t : *types_) {
        if (s.types && std::find(s.types->begin(), s.types->end(), t.name) == s.types->end())
            continue;
        if (s.zone && std::find(t.zones.begin(), t.zones.end(), *s.zone) == t.zones.end())
            continue;
        fits = fits || bidding::room{t.cpus, t.gpus, t.memory_gb}.fits(s);
    }
    if (!fits)
        return "a task fits no allowed machine type";
    if (!teams.can_ever_run(s))
        return "the job needs more than its team's limit";
    return "";
}

// What is at hand of a predecessor was true at some time, which is enough: that it was accepted,
// and that it is done or cancelled, stays true. Only "never accepted" needs a read that began after
// the request; current() covers active and ended records in an order that a job which ends in
// between can't slip through.
awaitable<controller::dependency_check>
controller::check_predecessors(std::vector<std::string> predecessors) {
    using verdict = dependency_check::verdict;
    dependency_check out;
    for (auto &id : predecessors) {
        std::optional<job_state> state;
        if (auto e = cache_.ended(id)) {
            state = e->state;
        } else if (!cache_.active(id)) {
            auto now = co_await current(id);
            if (!now) {
                out.how = verdict::unsure;
                co_return out;
            }
            if (!*now) {
                out.how = verdict::impossible;
                out.why = fmt::format("awaits: {} was never accepted", id);
                co_return out;
            }
            state = (*now)->state;
        }
        if (auto *j = cache_.active(id)) {
            if (j->record.spec.shape == job_shape::service) {
                out.how = verdict::impossible;
                out.why = fmt::format("awaits: {} runs until it is cancelled", id);
                co_return out;
            }
            state =
                j->record.cancelled || cache_.dependencies().of(id) == catalog::standing::cancelled
                    ? job_state::cancelled
                    : job_state::pending;
        }
        if (state == job_state::cancelled)
            out.cancelled = true;
        else if (state != job_state::done)
            out.unfinished.push_back(id);
    }
    co_return out;
}

// Done and cancelled are final, so they are settled here for good: a job that waits for nobody has
// an ordinary record, and one with a cancelled predecessor is recorded as cancelled.
awaitable<response> controller::on_submit(std::string body) {
    job_spec spec;
    try {
        spec = wire::parse_submission(body);
    } catch (const wire::malformed_message &e) {
        co_return error(400, e.what());
    }
    if (!cache_.loaded() || !types_ || user_commits_.full())
        co_return unsure("not yet able to decide");
    auto why = rejection(spec);
    wire::job_record record;
    record.accepted_at = net::wall_now();
    if (why.empty() && !cache_.active(spec.id) && !cache_.ended(spec.id)) {
        auto checked = co_await check_predecessors(spec.predecessors);
        if (checked.how == dependency_check::verdict::unsure)
            co_return cut_off();
        why = checked.why;
        record.cancelled = checked.cancelled;
        record.cancelled_at = checked.cancelled ? std::optional(record.accepted_at) : std::nullopt;
        spec.predecessors.clear();
        if (!checked.cancelled)
            spec.predecessors = std::move(checked.unfinished);
    }
    record.spec = spec;
    auto value = wire::encode_job_record(record);
    if (why.empty() && value.size() > settings_.value_bytes())
        why = fmt::format("awaits, frames: the description takes {} bytes, a record holds {}",
                          value.size(), settings_.value_bytes());
    // Guards against forgotten: a job that was accepted is never refused afterwards.
    if (cache_.active(spec.id) || cache_.ended(spec.id) || !why.empty()) {
        auto now = co_await current(spec.id);
        if (!now)
            co_return cut_off();
        if (*now)
            co_return response{200, wire::encode_accepted(spec.id, (*now)->state), 0, false};
        co_return why.empty() ? cut_off() : error(422, why);
    }
    auto state = record.cancelled ? job_state::cancelled : job_state::pending;
    store::write_unit u;
    u.priority = store::request_priority::accept;
    u.conditions = {{store::keys::active_job(spec.id), 0}, {store::keys::ended_job(spec.id), 0}};
    u.ops = {{store::keys::active_job(spec.id), value, 0}};
    auto how = co_await commit(std::move(u), c::user_request - c::cancel_round);
    if (how == store::write_outcome::committed)
        co_return response{201, wire::encode_accepted(spec.id, state), 0, false};
    if (how == store::write_outcome::too_large)
        co_return error(422, "the description is longer than the state service takes");
    if (how == store::write_outcome::conflict) {
        auto now = co_await current(spec.id);
        if (now && *now)
            co_return response{200, wire::encode_accepted(spec.id, (*now)->state), 0, false};
    }
    co_return cut_off();
}

} // namespace spindlecroft::control
