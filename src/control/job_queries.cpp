#include "control/job_queries.hpp"
#include "constants.hpp"
#include "control/error_responses.hpp"

namespace spindlecroft::control {

namespace c = constants;
using net::awaitable;
using net::response;
using net::steady_now;
using lookup_result = job_lookup::result;

namespace {

job_lookup ended_status(const std::string &id, const wire::ended_record &record) {
    job_status status;
    status.id = id;
    status.state = record.state;
    status.done = record.done;
    return {lookup_result::known, status};
}

} // namespace

// Closes the user's connection if the store has been silent for long: the load balancer does not
// move open connections, so every request on it would fail while other controllers respond.
response job_queries::store_unavailable() const {
    auto answer = unavailable_response("the state service does not answer");
    answer.close_connection = store_.time_since_last_reply(steady_now()) > c::key_value_timeout;
    return answer;
}

awaitable<job_lookup> job_queries::find(std::string id) {
    // An ended job does not change any more, so no read is needed.
    if (auto ended = jobs_.find_ended(id))
        co_return ended_status(id, *ended);
    if (!co_await jobs_.catch_up(c::job_query_read_timeout))
        co_return job_lookup{};
    if (!co_await jobs_.resolve_predecessors(id))
        co_return job_lookup{};
    if (const auto *active = jobs_.find_active(id))
        co_return active_status(id, *active);
    co_return co_await find_ended(id);
}

job_lookup job_queries::active_status(const std::string &id, const catalog::cached_job &job) {
    job_lookup found{lookup_result::known, {}};
    auto &status = found.status;
    status.id = id;
    bool is_cancelled_with_predecessor =
        jobs_.dependencies().status_of(id) == catalog::dependency_status::cancelled;
    if (job.record.cancelled || is_cancelled_with_predecessor) {
        status.state = job_state::cancelled;
        return found;
    }
    if (auto counts = progress_.find(id)) {
        status.done = counts->done;
        status.running = counts->running;
    }
    status.state = status.running > 0 ? job_state::running : job_state::pending;
    return found;
}

// The job was not active as of the shared read.
awaitable<job_lookup> job_queries::find_ended(std::string id) {
    if (auto ended = jobs_.find_ended(id))
        co_return ended_status(id, *ended);
    if (jobs_.is_known_absent(id))
        co_return job_lookup{lookup_result::never_existed, {}};
    auto read = co_await jobs_.read_ended(id);
    if (read.outcome == catalog::lookup_outcome::unavailable)
        co_return job_lookup{};
    if (read.outcome == catalog::lookup_outcome::found)
        co_return ended_status(id, read.record);
    // Neither active at the shared read nor ended after it, so it was never accepted, unless the
    // watch has delivered it in the meantime.
    if (jobs_.find_active(id))
        co_return job_lookup{};
    co_return job_lookup{lookup_result::never_existed, {}};
}

awaitable<response> job_queries::on_poll(std::string id) {
    if (!wire::valid_job_id(id))
        co_return error_response(404, "no such job");
    if (!jobs_.is_loaded())
        co_return unavailable_response("starting");
    auto found = co_await find(id);
    switch (found.outcome) {
    case lookup_result::known:
        co_return response{200, wire::encode_status(found.status), 0, false};
    case lookup_result::never_existed:
        co_return error_response(404, "no such job");
    case lookup_result::unavailable:
        break;
    }
    co_return store_unavailable();
}

} // namespace spindlecroft::control
