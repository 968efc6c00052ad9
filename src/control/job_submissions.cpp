#include "control/job_submissions.hpp"
#include "bidding/bid.hpp"
#include "constants.hpp"
#include "control/error_responses.hpp"
#include "fairness/team_queues.hpp"
#include "planning/bidder.hpp"
#include "planning/placement_rules.hpp"
#include "planning/rental_offer.hpp"
#include "store/keys.hpp"
#include <algorithm>
#include <fmt/format.h>

namespace spindlecroft::control {

namespace c = constants;
using net::awaitable;
using net::response;
using lookup_result = job_lookup::result;

namespace {

bool has_zone(const machine_type &type, const std::string &zone) {
    return std::find(type.zones.begin(), type.zones.end(), zone) != type.zones.end();
}

} // namespace

bool job_submissions::fits_a_machine(const job_spec &spec) const {
    return std::any_of(types_.get()->begin(), types_.get()->end(), [&](const machine_type &type) {
        bool is_allowed =
            planning::type_allowed(spec, type.name) && (!spec.zone || has_zone(type, *spec.zone));
        return is_allowed && bidding::resources{type.cpus, type.gpus, type.memory_gb}.fits(spec);
    });
}

std::string job_submissions::rejection(const job_spec &spec) const {
    fairness::team_queues teams(settings_.teams);
    if (!teams.find(spec.team))
        return fmt::format("unknown team {}", spec.team);
    if (!fits_a_machine(spec))
        return "a task fits no allowed machine type";
    if (!teams.can_ever_run(spec))
        return "the job needs more than its team's limit";
    return "";
}

bool job_submissions::is_known(const std::string &id) const {
    return jobs_.find_active(id) || jobs_.find_ended(id);
}

// The cached state of a predecessor was true at some time, which is enough: that it was accepted,
// and that it is done or cancelled, stays true. Only "never accepted" needs a read that began after
// the request; the query reads active and ended records in an order in which a job that ends in
// between can't be missed.
awaitable<job_submissions::predecessor> job_submissions::check_predecessor(std::string id) {
    using standing = predecessor::standing;
    std::optional<job_state> state;
    if (auto ended = jobs_.find_ended(id)) {
        state = ended->state;
    } else if (!jobs_.find_active(id)) {
        auto found = co_await queries_.find(id);
        if (found.outcome == lookup_result::unavailable)
            co_return predecessor{standing::unavailable, ""};
        if (found.outcome == lookup_result::never_existed)
            co_return predecessor{standing::impossible,
                                  fmt::format("awaits: {} was never accepted", id)};
        state = found.status.state;
    }
    if (const auto *active = jobs_.find_active(id))
        co_return check_active(id, *active);
    if (state == job_state::cancelled)
        co_return predecessor{standing::cancelled, ""};
    co_return predecessor{state == job_state::done ? standing::done : standing::pending, ""};
}

job_submissions::predecessor job_submissions::check_active(const std::string &id,
                                                           const catalog::cached_job &job) const {
    using standing = predecessor::standing;
    if (job.record.spec.shape == job_shape::service)
        return {standing::impossible, fmt::format("awaits: {} runs until it is cancelled", id)};
    bool is_cancelled_with_predecessor =
        jobs_.dependencies().status_of(id) == catalog::dependency_status::cancelled;
    bool cancelled = job.record.cancelled || is_cancelled_with_predecessor;
    return {cancelled ? standing::cancelled : standing::pending, ""};
}

awaitable<job_submissions::dependency_check>
job_submissions::check_predecessors(std::vector<std::string> predecessors) {
    using standing = predecessor::standing;
    dependency_check out;
    for (auto &id : predecessors) {
        auto checked = co_await check_predecessor(id);
        switch (checked.state) {
        case standing::unavailable:
            out.outcome = dependency_check::verdict::unavailable;
            co_return out;
        case standing::impossible:
            out.outcome = dependency_check::verdict::impossible;
            out.reason = checked.reason;
            co_return out;
        case standing::cancelled:
            out.cancelled = true;
            break;
        case standing::pending:
            out.unfinished.push_back(id);
            break;
        case standing::done:
            break;
        }
    }
    co_return out;
}

// Done and cancelled are final, so they are resolved once at the submission: a job whose
// predecessors are all done is recorded without predecessors, and one with a cancelled predecessor
// is recorded as cancelled.
awaitable<response> job_submissions::on_submit(std::string body) {
    job_spec spec;
    try {
        spec = wire::parse_submission(body);
    } catch (const wire::malformed_message &malformed) {
        co_return error_response(400, malformed.what());
    }
    if (!jobs_.is_loaded() || !types_.get() || writes_.full())
        co_return unavailable_response("not yet able to decide");
    auto reason = rejection(spec);
    wire::job_record record;
    record.accepted_at = net::wall_now();
    if (reason.empty() && !is_known(spec.id)) {
        auto checked = co_await check_predecessors(spec.predecessors);
        if (checked.outcome == dependency_check::verdict::unavailable)
            co_return queries_.store_unavailable();
        reason = checked.reason;
        record.cancelled = checked.cancelled;
        if (checked.cancelled)
            record.cancelled_at = record.accepted_at;
        spec.predecessors.clear();
        if (!checked.cancelled)
            spec.predecessors = std::move(checked.unfinished);
    }
    record.spec = spec;
    auto value = wire::encode_job_record(record);
    if (reason.empty() && value.size() > settings_.value_bytes())
        reason = fmt::format("awaits, frames: the description takes {} bytes, a record holds {}",
                             value.size(), settings_.value_bytes());
    if (is_known(spec.id) || !reason.empty())
        co_return co_await respond_to_known(spec.id, reason);
    co_return co_await accept(std::move(record), std::move(value));
}

// A job that was accepted before is never rejected afterwards, even if it would not be accepted
// now.
awaitable<response> job_submissions::respond_to_known(std::string id, std::string rejection) {
    auto found = co_await queries_.find(id);
    if (found.outcome == lookup_result::known)
        co_return response{200, wire::encode_accepted(id, found.status.state), 0, false};
    if (found.outcome == lookup_result::unavailable || rejection.empty())
        co_return queries_.store_unavailable();
    co_return error_response(422, rejection);
}

awaitable<response> job_submissions::accept(wire::job_record record, std::string value) {
    auto id = record.spec.id;
    store::write_unit change;
    change.priority = store::request_priority::user_request;
    change.conditions = {{store::keys::active_job(id), 0}, {store::keys::ended_job(id), 0}};
    change.ops = {{store::keys::active_job(id), std::move(value), 0}};
    auto outcome = co_await writes_.commit(std::move(change),
                                           c::user_request_timeout - c::user_request_reserve);
    if (outcome == store::write_outcome::committed) {
        auto state = record.cancelled ? job_state::cancelled : job_state::pending;
        co_return response{201, wire::encode_accepted(id, state), 0, false};
    }
    if (outcome == store::write_outcome::too_large)
        co_return error_response(422, "the description is longer than the state service takes");
    if (outcome == store::write_outcome::conflict) {
        auto found = co_await queries_.find(id);
        if (found.outcome == lookup_result::known)
            co_return response{200, wire::encode_accepted(id, found.status.state), 0, false};
    }
    co_return queries_.store_unavailable();
}

} // namespace spindlecroft::control
