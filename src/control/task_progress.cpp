#include "control/task_progress.hpp"
#include "constants.hpp"

namespace spindlecroft::control {

namespace c = constants;
using net::awaitable;
using net::steady_now;

namespace {

// The message has one number for each job: done tasks in the upper 32 bits, running tasks in the
// lower. No job id has the form of this key.
constexpr const char *leading_key = ":leading";
constexpr unsigned done_shift = 32;
constexpr std::uint64_t running_mask = 0xffffffff;

std::uint64_t pack(std::uint32_t done, std::uint32_t running) {
    return (static_cast<std::uint64_t>(done) << done_shift) | running;
}

scheduler::progress unpack(std::uint64_t counts) {
    return {static_cast<std::uint32_t>(counts >> done_shift),
            static_cast<std::uint32_t>(counts & running_mask)};
}

} // namespace

std::optional<scheduler::progress> task_progress::find(const std::string &job) {
    auto current_leadership = get_leadership_();
    if (current_leadership && current_leadership->active_scheduler())
        return current_leadership->active_scheduler()->find_progress(job);
    if (!query_pending_ &&
        (!last_query_at_ || steady_now() - *last_query_at_ > c::progress_query_interval))
        net::spawn(io_, query_leader(), "progress query");
    auto found = leader_counts_.find(job);
    return found == leader_counts_.end() ? std::nullopt : std::optional(found->second);
}

wire::peer_message task_progress::make_response() const {
    wire::peer_message out;
    auto current_leadership = get_leadership_();
    if (!current_leadership || !current_leadership->active_scheduler() || !member_.is_leading())
        return out;
    out.numbers[leading_key] = 1;
    for (const auto &[id, job] : current_leadership->active_scheduler()->jobs())
        out.numbers[id] = pack(job.durable_done_count, job.running_tasks());
    return out;
}

awaitable<void> task_progress::query_leader() {
    query_pending_ = true;
    auto *leader = member_.peer_client(member_.leader_hint());
    if (leader) {
        wire::peer_message request;
        request.texts["kind"] = "progress";
        auto reply = co_await leader->call("POST", "/member", wire::encode_peer_message(request),
                                           c::peer_timeout, true);
        if (reply.ok())
            handle_response(reply.body);
    }
    last_query_at_ = steady_now();
    query_pending_ = false;
}

void task_progress::handle_response(const std::string &body) {
    try {
        auto answer = wire::parse_peer_message(body);
        if (!answer.number(leading_key))
            return;
        leader_counts_.clear();
        for (const auto &[id, counts] : answer.numbers)
            leader_counts_[id] = unpack(counts);
    } catch (const wire::malformed_message &error) {
        spdlog::warn("malformed progress response from the leader: {}", error.what());
    }
}

} // namespace spindlecroft::control
