#include "control/controller.hpp"
#include "constants.hpp"
#include "control/answers.hpp"
#include "control/leadership.hpp"

namespace spindlecroft::control {

namespace c = constants;
using net::awaitable;
using net::response;
using net::steady_now;

static net::server_limits limits_of(const settings::settings &s, bool back) {
    auto plan = settings::plan_sockets(s.max_connections);
    return {back ? plan.back : plan.api, c::idle_connection, c::slow_request};
}

controller::controller(net::asio::io_context &io, const settings::settings &s)
    : io_(io), settings_(s), sockets_(settings::plan_sockets(s.max_connections)),
      state_(io, settings_), member_(io, settings_, state_), cache_(io, state_),
      user_commits_(io, state_, settings_, "users"), cloud_(io, settings_.cloud, c::pool_idle),
      cloud_budget_(c::cloud_share * settings_.cloud_rps, c::cloud_burst),
      api_(
          io, settings_.api, [this](net::request r) { return on_api(std::move(r)); },
          limits_of(settings_, false), "api"),
      back_(
          io, settings_.back, [this](net::request r) { return on_peer(std::move(r)); },
          limits_of(settings_, true), "back") {
    member_.on_elected = [this] { elected(); };
    member_.on_deposed = [this] { deposed(); };
    member_.on_token = [this](std::uint64_t token) {
        if (lead_ && lead_->core)
            lead_->core->on_token(token);
    };
    member_.records = [this] {
        return membership::member::records_view{cache_.loaded(), cache_.revision(),
                                                cache_.fresh_at()};
    };
    member_.want_read = [this] { cache_.want_read(); };
    member_.on_cancels = [this](const std::vector<cancel_notice> &news) {
        for (auto &n : news)
            apply_cancel(n);
    };
    cache_.on_active = [this](const std::string &id, const catalog::cached_job &j) {
        if (j.record.cancelled)
            member_.note_cancel({id, j.revision, j.record.cancelled_at});
        if (lead_ && lead_->core) {
            lead_->core->on_job(id, j.record, j.revision, steady_now());
            if (auto n = lead_->cancels.find(id); n != lead_->cancels.end()) {
                if (j.revision >= n->second.revision)
                    lead_->cancels.erase(n);
                else
                    lead_->core->on_cancel(n->second, steady_now());
            }
            lead_->wake.notify();
        }
    };
}

void controller::start() {
    back_.start();
    api_.start();
    net::spawn(io_, member_.run(), "membership");
    net::spawn(io_, cache_.run_watch(), "watch");
    net::spawn(io_, cache_.run_reads(), "reads");
    net::spawn(io_, cache_.run_predecessor_reads(), "predecessor reads");
    net::spawn(io_, user_commits_.run(), "user commits");
    net::spawn(io_, load_types(), "machine types");
}

void controller::stop() {
    stopping_ = true;
    api_.stop();
    back_.stop();
    member_.stop();
    cache_.stop();
    user_commits_.stop();
    deposed();
}

// --- requests ---

awaitable<response> controller::on_api(net::request r) {
    auto target = r.target.substr(0, r.target.find('?'));
    const std::string jobs = wire::path_jobs;
    if (target == wire::path_heartbeat) {
        if (r.method != "POST")
            co_return error(405, "use POST");
        auto answer = co_await on_checkin(std::move(r.body));
        // Guards against workers that find no socket: beyond the bound each comes anew for its
        // heartbeat.
        answer.close = answer.close || api_.crowded();
        co_return answer;
    }
    if (target == wire::path_ready) {
        if (r.method != "GET")
            co_return error(405, "use GET");
        co_return ready();
    }
    // Users are shed before workers, whose leases would run out.
    if (api_.crowded()) {
        auto answer = unsure("too many connections");
        answer.close = true;
        co_return answer;
    }
    if (target == jobs) {
        if (r.method != "POST")
            co_return error(405, "use POST");
        co_return co_await on_submit(std::move(r.body));
    }
    if (target.starts_with(jobs + "/")) {
        auto id = target.substr(jobs.size() + 1);
        const std::string suffix = std::string("/") + wire::suffix_cancel;
        if (id.ends_with(suffix)) {
            id.resize(id.size() - suffix.size());
            if (r.method != "POST")
                co_return error(405, "use POST");
            co_return co_await on_cancel(std::move(id));
        }
        if (id.find('/') != std::string::npos)
            co_return error(404, "no such path");
        if (r.method != "GET")
            co_return error(405, "use GET");
        co_return co_await on_poll(std::move(id));
    }
    co_return error(404, "no such path");
}

response controller::ready() const {
    if (!cache_.loaded() || !types_)
        return unsure("starting");
    // Cut from the key-value store while others are not: they serve better.
    // A node that hears neither it nor any other controller can't tell, and is no better.
    if (membership::better_served_elsewhere(state_.silence(steady_now()),
                                            member_.state_served_elsewhere(),
                                            member_.alone_for(c::isolated_after)))
        return unsure("no state service");
    return {200, "{}", 0, false};
}

} // namespace spindlecroft::control
