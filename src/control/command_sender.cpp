#include "control/command_sender.hpp"
#include "constants.hpp"
#include "control/lease_renewal.hpp"
#include "wire/codec.hpp"
#include <algorithm>

namespace spindlecroft::control {

namespace c = constants;
using net::awaitable;
using net::steady_now;

namespace {

constexpr int ok = 200;
constexpr int stale = 409; // the token is too low, or the incarnation is another one

// Marks a machine as busy as long as it lives.
class busy_mark {
  public:
    busy_mark(std::set<std::string> &busy, const std::string &machine)
        : busy_(busy), machine_(machine), made_(busy.insert(machine).second) {}
    ~busy_mark() {
        if (made_)
            busy_.erase(machine_);
    }
    busy_mark(const busy_mark &) = delete;
    busy_mark &operator=(const busy_mark &) = delete;
    // False: another message to the machine is under way.
    [[nodiscard]] bool made() const { return made_; }

  private:
    std::set<std::string> &busy_;
    const std::string &machine_;
    bool made_;
};

bool has_start(const std::vector<command> &commands) {
    return std::any_of(commands.begin(), commands.end(),
                       [](const command &each) { return each.kind == command_kind::start; });
}

// The machine's own heartbeat in the answer to a direct command.
std::optional<heartbeat> heartbeat_in(const net::reply &reply, const std::string &machine) {
    bool answered = reply.outcome == net::call_outcome::answered;
    if (!answered || (reply.status != ok && reply.status != stale))
        return std::nullopt;
    try {
        return wire::parse_heartbeat(reply.body);
    } catch (const wire::malformed_message &error) {
        spdlog::warn("{}: {}", machine, error.what());
        return std::nullopt;
    }
}

} // namespace

bool command_sender::may_renew() const {
    return may_renew_leases(member_, settings_, steady_now());
}

// Guards against a start that waits for a whole heartbeat interval: what became urgent while a
// command to the same machine is under way goes after it.
void command_sender::send_urgent_commands() {
    auto &core = *term_->active_scheduler();
    for (auto &machine : core.take_urgent_machines()) {
        if (busy_.contains(machine) || busy_.size() >= max_connections_)
            core.requeue_urgent_machine(machine);
        else
            net::spawn(io_, send(shared_from_this(), machine), "command");
    }
}

void command_sender::close_idle_connections(time_point now) {
    std::erase_if(clients_, [&](const auto &entry) {
        auto &client = entry.second;
        return client.use_count() == 1 && now - client->last_used_at() > c::summary_interval;
    });
}

std::optional<command_sender::direct_message>
command_sender::compose(const std::string &machine) const {
    auto &core = *term_->active_scheduler();
    const auto *known = core.find_machine(machine);
    if (!known || known->address.empty() || !term_->may_act())
        return std::nullopt;
    direct_message what;
    what.machine = machine;
    what.address = known->address;
    what.incarnation = known->incarnation;
    what.commands = core.direct_commands_for(machine, steady_now(), may_renew());
    if (what.commands.empty())
        return std::nullopt;
    what.token = member_.token();
    what.has_start = has_start(what.commands);
    return what;
}

std::shared_ptr<net::client> command_sender::client_for(const direct_message &what) {
    auto &client = clients_[what.address];
    if (client)
        return client;
    try {
        client =
            std::make_shared<net::client>(io_, settings::parse_address(what.address, "address"), 1);
        return client;
    } catch (const settings::settings_error &error) {
        spdlog::warn("{}: {}", what.machine, error.what());
        clients_.erase(what.address);
        return nullptr;
    }
}

awaitable<void> command_sender::send(std::shared_ptr<command_sender> self, std::string machine) {
    auto &by = *self->term_;
    busy_mark mark(busy_, machine);
    if (!mark.made())
        co_return;
    auto what = compose(machine);
    if (!what)
        co_return;
    ++by.commands_sent;
    auto client = client_for(*what);
    if (!client) {
        if (what->has_start)
            by.active_scheduler()->command_resolved(machine);
        co_return;
    }
    // Guards against a start that is sent after its job was cancelled, or by a leader that stood
    // still while it connected.
    net::permission permitted = [this, &by, &what] {
        if (!by.may_act())
            return false;
        return !what->has_start ||
               (may_renew() && by.active_scheduler()->starts_still_wanted(what->commands));
    };
    auto body = wire::encode_direct_commands(what->token, what->incarnation, what->commands);
    auto reply = co_await client->call("POST", wire::path_commands, std::move(body),
                                       c::command_timeout, false, std::move(permitted));
    // Guards against commands to a large fleet that use up the sockets its heartbeats need.
    if (clients_.size() > max_connections_ && client.use_count() == 2)
        clients_.erase(what->address);
    handle_reply(*what, reply);
}

void command_sender::handle_reply(const direct_message &what, const net::reply &reply) const {
    auto *core = term_->scheduler_unless_ended();
    if (!core)
        return;
    auto shown = heartbeat_in(reply, what.machine);
    bool settled = shown || reply.outcome == net::call_outcome::not_sent;
    if (what.has_start && settled)
        core->command_resolved(what.machine);
    else if (what.has_start)
        core->command_unresolved(what.machine, what.token, what.incarnation);
    if (shown && shown->machine == what.machine)
        core->on_heartbeat(*shown, steady_now(), true);
    term_->work_available.notify();
}

} // namespace spindlecroft::control
