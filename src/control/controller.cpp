#include "control/controller.hpp"
#include "constants.hpp"
#include "control/control_loop.hpp"
#include "control/error_responses.hpp"
#include "control/failover.hpp"

namespace spindlecroft::control {

namespace c = constants;
using net::awaitable;
using net::response;
using net::steady_now;

namespace {

net::server_limits limits_with(std::size_t connections) {
    return {connections, c::idle_connection_timeout, c::server_request_timeout};
}

response wrong_method(const char *allowed_method) {
    return error_response(405, std::string("use ") + allowed_method);
}

// Run the writers of a leadership; each keeps it alive until its last transaction is complete.
awaitable<void> run_placement_writer(std::shared_ptr<leadership> term) {
    co_await term->placement_writer.run();
}

awaitable<void> run_completion_writer(std::shared_ptr<leadership> term) {
    co_await term->completion_writer.run();
}

} // namespace

controller::controller(net::asio::io_context &io, const settings::settings &settings)
    : io_(io), settings_(settings), sockets_(settings::plan_sockets(settings.max_connections)),
      store_(io, settings_), member_(io, settings_, store_), jobs_(io, store_),
      machine_types_(store_), progress_(io, member_, [this] { return leadership_; }),
      user_writes_(io, store_, settings_), queries_(store_, jobs_, progress_),
      submissions_(settings_, jobs_, machine_types_, queries_, user_writes_),
      cancellations_(settings_, jobs_, queries_, user_writes_,
                     [this](const cancel_notice &notice) {
                         member_.add_cancel(notice);
                         apply_cancel(notice);
                     }),
      heartbeat_service_(member_, settings_, [this] { return leadership_; }), cloud_(io, settings_),
      cloud_operations_(cloud_),
      api_server_(
          io, settings_.api_address,
          [this](net::request received) { return on_api(std::move(received)); },
          limits_with(sockets_.api), "api"),
      peer_server_(
          io, settings_.peer_address,
          [this](net::request received) { return on_peer(std::move(received)); },
          limits_with(sockets_.peers), "back") {
    connect_membership();
    connect_jobs();
}

void controller::connect_membership() {
    member_.on_elected = [this] { on_elected(); };
    member_.on_leadership_ended = [this] { on_leadership_ended(); };
    member_.on_token_raised = [this](std::uint64_t token) {
        if (leadership_ && leadership_->active_scheduler())
            leadership_->active_scheduler()->set_token(token);
    };
    member_.get_records_status = [this] {
        return membership::member::records_status{jobs_.is_loaded(), jobs_.revision(),
                                                  jobs_.fresh_at()};
    };
    member_.request_records_read = [this] { jobs_.request_read(); };
    member_.on_cancels = [this](const std::vector<cancel_notice> &notices) {
        for (const auto &notice : notices)
            apply_cancel(notice);
    };
}

void controller::connect_jobs() {
    jobs_.on_active_job = [this](const std::string &id, const catalog::cached_job &job) {
        if (job.record.cancelled)
            member_.add_cancel({id, job.revision, job.record.cancelled_at});
        if (leadership_)
            leadership_->on_job(id, job.record, job.revision);
    };
}

void controller::start() {
    peer_server_.start();
    api_server_.start();
    net::spawn(io_, member_.run(), "membership");
    net::spawn(io_, jobs_.run_watch(), "job watch");
    net::spawn(io_, jobs_.run_reads(), "job reads");
    net::spawn(io_, jobs_.run_predecessor_reads(), "predecessor reads");
    net::spawn(io_, user_writes_.run(), "user writer");
    net::spawn(io_, machine_types_.load(), "machine types");
}

void controller::stop() {
    machine_types_.stop();
    api_server_.stop();
    peer_server_.stop();
    member_.stop();
    jobs_.stop();
    user_writes_.stop();
    on_leadership_ended();
}

// --- leadership ---

void controller::on_elected() {
    on_leadership_ended();
    leadership_ = std::make_shared<leadership>(io_, store_, settings_, member_);
    jobs_.set_prompt_updates(true);
    net::spawn(io_, lead(leadership_), "failover");
}

void controller::on_leadership_ended() {
    if (!leadership_)
        return;
    jobs_.set_prompt_updates(false);
    leadership_->end();
    leadership_.reset();
}

awaitable<void> controller::lead(std::shared_ptr<leadership> term) {
    failover loading(term, store_, cloud_, jobs_, member_, settings_);
    if (!co_await loading.run())
        co_return;
    machine_types_.set_if_unknown(loading.types());
    net::spawn(io_, run_placement_writer(term), "placement writer");
    net::spawn(io_, run_completion_writer(term), "completion writer");
    net::spawn(io_, cloud_operations_.run_polling(term), "cloud polling");
    control_loop loop(
        {io_, store_, member_, jobs_, cloud_operations_, settings_, sockets_.commands}, term);
    co_await loop.run();
}

// Applied without waiting for the job record; the record that follows changes nothing more.
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
        auto answer = co_await heartbeat_service_.on_heartbeat(std::move(received.body));
        // Leaves sockets for all workers: beyond the limit a worker opens a new connection for each
        // heartbeat.
        answer.close_connection = answer.close_connection || api_server_.is_crowded();
        co_return answer;
    }
    if (path == wire::path_ready) {
        if (received.method != "GET")
            co_return wrong_method("GET");
        co_return ready();
    }
    // Users are rejected before workers, whose leases would otherwise expire.
    if (api_server_.is_crowded()) {
        auto answer = unavailable_response("too many connections");
        answer.close_connection = true;
        co_return answer;
    }
    co_return co_await on_user_request(std::move(received), std::move(path));
}

awaitable<response> controller::on_user_request(net::request received, std::string path) {
    const std::string jobs = wire::path_jobs;
    const std::string suffix = std::string("/") + wire::path_suffix_cancel;
    if (path == jobs) {
        if (received.method != "POST")
            co_return wrong_method("POST");
        co_return co_await submissions_.on_submit(std::move(received.body));
    }
    if (!path.starts_with(jobs + "/"))
        co_return error_response(404, "no such path");
    auto id = path.substr(jobs.size() + 1);
    if (id.ends_with(suffix)) {
        id.resize(id.size() - suffix.size());
        if (received.method != "POST")
            co_return wrong_method("POST");
        co_return co_await cancellations_.on_cancel(std::move(id));
    }
    if (id.find('/') != std::string::npos)
        co_return error_response(404, "no such path");
    if (received.method != "GET")
        co_return wrong_method("GET");
    co_return co_await queries_.on_poll(std::move(id));
}

awaitable<response> controller::on_peer(net::request received) {
    if (received.method != "POST" || received.target != "/member")
        co_return error_response(404, "no such path");
    try {
        auto message = wire::parse_peer_message(received.body);
        if (message.text("kind") == "progress")
            co_return response{200, wire::encode_peer_message(progress_.make_response()), 0, true};
        co_return response{200, member_.handle_message(received.body), 0, true};
    } catch (const wire::malformed_message &malformed) {
        co_return error_response(400, malformed.what());
    }
}

response controller::ready() const {
    if (!jobs_.is_loaded() || !machine_types_.get())
        return unavailable_response("starting");
    // Reports not ready if the store is unreachable here while it serves another controller, so
    // that users go there. Without contact to the store and to every other controller this one
    // can't tell, and reports not ready too.
    if (membership::should_divert_users(store_.time_since_last_reply(steady_now()),
                                        member_.store_reachable_elsewhere(),
                                        member_.is_isolated_for(c::isolation_timeout)))
        return unavailable_response("no state service");
    return {200, "{}", 0, false};
}

} // namespace spindlecroft::control
