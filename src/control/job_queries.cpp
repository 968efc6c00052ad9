#include "control/job_queries.hpp"
#include "constants.hpp"
#include "control/error_responses.hpp"

namespace spindlecroft::control {

namespace c = constants;
using net::awaitable;
using net::response;
using net::steady_now;
using lookup = job_lookup::outcome;

namespace {

job_lookup ended_status(const std::string &id, const wire::ended_record &record) {
    job_status status;
    status.id = id;
    status.state = record.state;
    status.done = record.done;
    return {lookup::known, status};
}

} // namespace

// Guards against a user who stays with a node that can't read: the load balancer moves no open
// connection, so every question on it would fail while other nodes answer.
response job_queries::store_unavailable() const {
    auto answer = unavailable_response("the state service does not answer");
    answer.close_connection = store_.time_since_last_reply(steady_now()) > c::key_value_timeout;
    return answer;
}

awaitable<job_lookup> job_queries::find(std::string id) {
    // What has ended stays as it ended: no read is needed.
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
    job_lookup found{lookup::known, {}};
    auto &status = found.status;
    status.id = id;
    bool with_predecessor =
        jobs_.dependencies().status_of(id) == catalog::dependency_status::cancelled;
    if (job.record.cancelled || with_predecessor) {
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

// The job is not active as of the shared read.
awaitable<job_lookup> job_queries::find_ended(std::string id) {
    if (auto ended = jobs_.find_ended(id))
        co_return ended_status(id, *ended);
    if (jobs_.is_known_absent(id))
        co_return job_lookup{lookup::never_existed, {}};
    auto read = co_await jobs_.read_ended(id);
    if (read.outcome == catalog::lookup_outcome::unavailable)
        co_return job_lookup{};
    if (read.outcome == catalog::lookup_outcome::found)
        co_return ended_status(id, read.record);
    // Neither active at the shared read nor ended after it: never accepted then. Unless the watch
    // has it by now.
    if (jobs_.find_active(id))
        co_return job_lookup{};
    co_return job_lookup{lookup::never_existed, {}};
}

awaitable<response> job_queries::on_poll(std::string id) {
    if (!wire::valid_job_id(id))
        co_return error_response(404, "no such job");
    if (!jobs_.is_loaded())
        co_return unavailable_response("starting");
    auto found = co_await find(id);
    switch (found.how) {
    case lookup::known:
        co_return response{200, wire::encode_status(found.status), 0, false};
    case lookup::never_existed:
        co_return error_response(404, "no such job");
    case lookup::unavailable:
        break;
    }
    co_return store_unavailable();
}

} // namespace spindlecroft::control
