#include "control/controller.hpp"
#include "constants.hpp"
#include "control/answers.hpp"
#include "control/control_loop.hpp"
#include "control/failover.hpp"

namespace spindlecroft::control {

namespace c = constants;
using net::awaitable;
using net::response;
using net::steady_now;

namespace {

net::server_limits limits_with(std::size_t connections) {
    return {connections, c::idle_connection, c::slow_request};
}

response wrong_method(const char *right) {
    return error(405, std::string("use ") + right);
}

// The transactions of a leadership; each holds it until the last one is settled.
awaitable<void> run_placements(std::shared_ptr<leadership> by) {
    co_await by->placements.run();
}

awaitable<void> run_endings(std::shared_ptr<leadership> by) {
    co_await by->endings.run();
}

} // namespace

controller::controller(net::asio::io_context &io, const settings::settings &settings)
    : io_(io), settings_(settings), sockets_(settings::plan_sockets(settings.max_connections)),
      store_(io, settings_), member_(io, settings_, store_), jobs_(io, store_), types_(store_),
      progress_(io, member_, [this] { return leadership_; }), user_writes_(io, store_, settings_),
      queries_(store_, jobs_, progress_),
      submissions_(settings_, jobs_, types_, queries_, user_writes_),
      cancels_(settings_, jobs_, queries_, user_writes_,
               [this](const cancel_notice &notice) {
                   member_.note_cancel(notice);
                   apply_cancel(notice);
               }),
      heartbeats_(member_, settings_, [this] { return leadership_; }), cloud_(io, settings_),
      cloud_duties_(cloud_),
      api_(
          io, settings_.api, [this](net::request received) { return on_api(std::move(received)); },
          limits_with(sockets_.api), "api"),
      back_(
          io, settings_.back,
          [this](net::request received) { return on_peer(std::move(received)); },
          limits_with(sockets_.back), "back") {
    connect_membership();
    connect_jobs();
}

void controller::connect_membership() {
    member_.on_elected = [this] { on_elected(); };
    member_.on_deposed = [this] { on_deposed(); };
    member_.on_token = [this](std::uint64_t token) {
        if (leadership_ && leadership_->active_scheduler())
            leadership_->active_scheduler()->on_token(token);
    };
    member_.records = [this] {
        return membership::member::records_view{jobs_.is_loaded(), jobs_.revision(),
                                                jobs_.fresh_at()};
    };
    member_.want_read = [this] { jobs_.request_read(); };
    member_.on_cancels = [this](const std::vector<cancel_notice> &notices) {
        for (const auto &notice : notices)
            apply_cancel(notice);
    };
}

void controller::connect_jobs() {
    jobs_.on_active_job = [this](const std::string &id, const catalog::cached_job &job) {
        if (job.record.cancelled)
            member_.note_cancel({id, job.revision, job.record.cancelled_at});
        if (leadership_)
            leadership_->on_job(id, job.record, job.revision);
    };
}

void controller::start() {
    back_.start();
    api_.start();
    net::spawn(io_, member_.run(), "membership");
    net::spawn(io_, jobs_.run_watch(), "watch");
    net::spawn(io_, jobs_.run_reads(), "reads");
    net::spawn(io_, jobs_.run_predecessor_reads(), "predecessor reads");
    net::spawn(io_, user_writes_.run(), "user commits");
    net::spawn(io_, types_.load(), "machine types");
}

void controller::stop() {
    types_.stop();
    api_.stop();
    back_.stop();
    member_.stop();
    jobs_.stop();
    user_writes_.stop();
    on_deposed();
}

// --- leading ---

void controller::on_elected() {
    on_deposed();
    leadership_ = std::make_shared<leadership>(io_, store_, settings_, member_);
    jobs_.set_prompt_updates(true);
    net::spawn(io_, lead(leadership_), "take over");
}

void controller::on_deposed() {
    if (!leadership_)
        return;
    jobs_.set_prompt_updates(false);
    leadership_->end();
    leadership_.reset();
}

awaitable<void> controller::lead(std::shared_ptr<leadership> by) {
    failover reading(by, store_, cloud_, jobs_, member_, settings_);
    if (!co_await reading.run())
        co_return;
    types_.learn(reading.types());
    net::spawn(io_, run_placements(by), "commits");
    net::spawn(io_, run_endings(by), "records");
    net::spawn(io_, cloud_duties_.watch(by), "cloud");
    control_loop loop({io_, store_, member_, jobs_, cloud_duties_, settings_, sockets_.commands},
                      by);
    co_await loop.run();
}

// Acted on without the store; what the records will say of the same changes nothing more.
void controller::apply_cancel(const cancel_notice &notice) {
    if (leadership_ && notice.revision > jobs_.revision())
        leadership_->apply_cancel(notice);
}

// --- requests ---

awaitable<response> controller::on_api(net::request received) {
    auto path = received.target.substr(0, received.target.find('?'));
    if (path == wire::path_heartbeat) {
        if (received.method != "POST")
            co_return wrong_method("POST");
        auto answer = co_await heartbeats_.on_heartbeat(std::move(received.body));
        // Guards against workers that find no socket: beyond the bound each comes anew for its
        // heartbeat.
        answer.close = answer.close || api_.crowded();
        co_return answer;
    }
    if (path == wire::path_ready) {
        if (received.method != "GET")
            co_return wrong_method("GET");
        co_return ready();
    }
    // Users are shed before workers, whose leases would run out.
    if (api_.crowded()) {
        auto answer = unsure("too many connections");
        answer.close = true;
        co_return answer;
    }
    co_return co_await on_user_request(std::move(received), std::move(path));
}

awaitable<response> controller::on_user_request(net::request received, std::string path) {
    const std::string jobs = wire::path_jobs;
    const std::string suffix = std::string("/") + wire::suffix_cancel;
    if (path == jobs) {
        if (received.method != "POST")
            co_return wrong_method("POST");
        co_return co_await submissions_.on_submit(std::move(received.body));
    }
    if (!path.starts_with(jobs + "/"))
        co_return error(404, "no such path");
    auto id = path.substr(jobs.size() + 1);
    if (id.ends_with(suffix)) {
        id.resize(id.size() - suffix.size());
        if (received.method != "POST")
            co_return wrong_method("POST");
        co_return co_await cancels_.on_cancel(std::move(id));
    }
    if (id.find('/') != std::string::npos)
        co_return error(404, "no such path");
    if (received.method != "GET")
        co_return wrong_method("GET");
    co_return co_await queries_.on_poll(std::move(id));
}

awaitable<response> controller::on_peer(net::request received) {
    if (received.method != "POST" || received.target != "/member")
        co_return error(404, "no such path");
    try {
        auto message = wire::parse_peer(received.body);
        if (message.text("kind") == "progress")
            co_return response{200, wire::encode_peer(progress_.answer()), 0, true};
        co_return response{200, member_.on_message(received.body), 0, true};
    } catch (const wire::malformed_message &malformed) {
        co_return error(400, malformed.what());
    }
}

response controller::ready() const {
    if (!jobs_.is_loaded() || !types_.get())
        return unsure("starting");
    // Cut from the store while others are not: they serve better. A controller that hears neither
    // it nor any other controller can't tell, and is no better.
    if (membership::better_served_elsewhere(store_.time_since_last_reply(steady_now()),
                                            member_.state_served_elsewhere(),
                                            member_.isolated_for(c::isolated_after)))
        return unsure("no state service");
    return {200, "{}", 0, false};
}

} // namespace spindlecroft::control
