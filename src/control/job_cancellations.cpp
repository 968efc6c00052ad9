#include "control/job_cancellations.hpp"
#include "catalog/cancelled_record.hpp"
#include "constants.hpp"
#include "control/error_responses.hpp"
#include "store/keys.hpp"

namespace spindlecroft::control {

namespace c = constants;
using net::awaitable;
using net::response;
using net::steady_now;
using lookup_result = job_lookup::result;

namespace {

bool is_final(job_state state) {
    return state == job_state::done || state == job_state::cancelled;
}

response accepted(const std::string &id, job_state state) {
    return {200, wire::encode_accepted(id, state), 0, false};
}

} // namespace

awaitable<response> job_cancellations::on_cancel(std::string id) {
    if (!wire::valid_job_id(id))
        co_return error_response(404, "no such job");
    if (!jobs_.is_loaded() || writes_.full())
        co_return unavailable_response("starting");
    auto limit = steady_now() + c::user_request_timeout;
    while (steady_now() < limit - c::user_request_reserve) {
        auto found = co_await queries_.find(id);
        if (found.outcome == lookup_result::unavailable)
            break;
        if (found.outcome == lookup_result::never_existed)
            co_return error_response(404, "no such job");
        if (is_final(found.status.state))
            co_return accepted(id, found.status.state);
        const auto *active_job = jobs_.find_active(id);
        if (!active_job)
            continue;
        auto time_limit = std::max(c::min_commit_timeout, limit - steady_now());
        auto outcome = co_await write_cancel(id, *active_job, time_limit);
        if (outcome == store::write_outcome::committed)
            co_return accepted(id, job_state::cancelled);
        if (outcome != store::write_outcome::conflict)
            break;
    }
    co_return queries_.store_unavailable();
}

awaitable<std::optional<store::write_outcome>>
job_cancellations::write_cancel(const std::string &id, const catalog::cached_job &job,
                                seconds time_limit) {
    auto record = catalog::cancelled_record(job.record, net::wall_now(), settings_.value_bytes());
    store::write_unit change;
    change.priority = store::request_priority::cancel;
    change.conditions = {{store::keys::active_job(id), job.revision}};
    change.ops = {{store::keys::active_job(id), wire::encode_job_record(record), 0}};
    // The order is: durable, then in this controller's cancel log, where a leader that renews
    // leases learns of it, then confirmed to the user. The cancellation is also logged if the
    // store's response arrives after the user has disconnected.
    change.on_durable = [this, id, at = record.cancelled_at](std::uint64_t revision) {
        on_durable_({id, revision, at});
    };
    return writes_.commit(std::move(change), time_limit);
}

} // namespace spindlecroft::control
