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

constexpr int http_ok = 200;
// The fencing token is too low, or the agent has another incarnation.
constexpr int http_conflict = 409;

// Marks a machine as busy during its lifetime.
class in_flight_guard {
  public:
    in_flight_guard(std::set<std::string> &busy, const std::string &machine)
        : busy_(busy), machine_(machine), acquired_(busy.insert(machine).second) {}
    ~in_flight_guard() {
        if (acquired_)
            busy_.erase(machine_);
    }
    in_flight_guard(const in_flight_guard &) = delete;
    in_flight_guard &operator=(const in_flight_guard &) = delete;
    // Returns false if another message to the machine is in flight.
    [[nodiscard]] bool is_acquired() const { return acquired_; }

  private:
    std::set<std::string> &busy_;
    const std::string &machine_;
    bool acquired_;
};

bool has_start(const std::vector<command> &commands) {
    return std::any_of(commands.begin(), commands.end(),
                       [](const command &entry) { return entry.kind == command_kind::start; });
}

// Returns the worker's heartbeat from the response to a direct command.
std::optional<heartbeat> heartbeat_in(const net::reply &reply, const std::string &machine) {
    bool is_answered = reply.outcome == net::call_outcome::answered;
    if (!is_answered || (reply.status != http_ok && reply.status != http_conflict))
        return std::nullopt;
    try {
        return wire::parse_heartbeat(reply.body);
    } catch (const wire::malformed_message &error) {
        spdlog::warn("malformed response to a direct command from machine {}: {}", machine,
                     error.what());
        return std::nullopt;
    }
}

} // namespace

bool command_sender::may_renew() const {
    return may_renew_leases(member_, settings_, steady_now());
}

// A machine that becomes urgent while a message to it is in flight stays marked, so that its start
// commands follow that message and don't wait for a whole heartbeat interval.
void command_sender::send_urgent_commands() {
    auto &scheduler = *term_->active_scheduler();
    for (auto &machine : scheduler.take_urgent_machines()) {
        if (busy_.contains(machine) || busy_.size() >= max_connections_)
            scheduler.requeue_urgent_machine(machine);
        else
            net::spawn(io_, send(shared_from_this(), machine), "direct command");
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
    auto &scheduler = *term_->active_scheduler();
    const auto *target = scheduler.find_machine(machine);
    if (!target || target->address.empty() || !term_->may_act())
        return std::nullopt;
    direct_message message;
    message.machine = machine;
    message.address = target->address;
    message.incarnation = target->incarnation;
    message.commands = scheduler.direct_commands_for(machine, steady_now(), may_renew());
    if (message.commands.empty())
        return std::nullopt;
    message.token = member_.token();
    message.has_start = has_start(message.commands);
    return message;
}

std::shared_ptr<net::client> command_sender::client_for(const direct_message &message) {
    auto &client = clients_[message.address];
    if (client)
        return client;
    try {
        client = std::make_shared<net::client>(
            io_, settings::parse_address(message.address, "address"), 1);
        return client;
    } catch (const settings::settings_error &error) {
        spdlog::warn("invalid address of machine {}: {}", message.machine, error.what());
        clients_.erase(message.address);
        return nullptr;
    }
}

awaitable<void> command_sender::send(std::shared_ptr<command_sender> self, std::string machine) {
    auto &term = *self->term_;
    in_flight_guard guard(busy_, machine);
    if (!guard.is_acquired())
        co_return;
    auto message = compose(machine);
    if (!message)
        co_return;
    ++term.commands_sent;
    auto client = client_for(*message);
    if (!client) {
        if (message->has_start)
            term.active_scheduler()->command_resolved(machine);
        co_return;
    }
    // Prevents a start command from being sent after its job was cancelled, or by a leader that was
    // suspended while it connected.
    net::permission permitted = [this, &term, &message] {
        if (!term.may_act())
            return false;
        return !message->has_start ||
               (may_renew() && term.active_scheduler()->starts_still_wanted(message->commands));
    };
    auto body =
        wire::encode_direct_commands(message->token, message->incarnation, message->commands);
    auto reply = co_await client->call("POST", wire::path_commands, std::move(body),
                                       c::command_timeout, false, std::move(permitted));
    // Closes the connection beyond the limit: commands to a large fleet would use up the sockets
    // that its heartbeats need.
    if (clients_.size() > max_connections_ && client.use_count() == 2)
        clients_.erase(message->address);
    handle_reply(*message, reply);
}

void command_sender::handle_reply(const direct_message &message, const net::reply &reply) const {
    auto *scheduler = term_->scheduler_unless_ended();
    if (!scheduler)
        return;
    auto received = heartbeat_in(reply, message.machine);
    bool is_resolved = received || reply.outcome == net::call_outcome::not_sent;
    if (message.has_start && is_resolved)
        scheduler->command_resolved(message.machine);
    else if (message.has_start)
        scheduler->command_unresolved(message.machine, message.token, message.incarnation);
    if (received && received->machine == message.machine)
        scheduler->on_heartbeat(*received, steady_now(), true);
    term_->work_available.notify();
}

} // namespace spindlecroft::control
