#include "wire/heartbeats.hpp"
#include "constants.hpp"
#include "wire/json_fields.hpp"
#include "wire/names.hpp"

namespace spindlecroft::wire {

namespace {

// A number above this is rejected before its next digit is read, which guards against an overflow.
constexpr std::uint64_t max_task_number_prefix = 10'000'000;

std::uint32_t parse_task_index(std::string_view digits) {
    std::uint64_t number = 0;
    for (char digit : digits) {
        if (digit < '0' || digit > '9' || number > max_task_number_prefix)
            throw_malformed("thread", "is not JOB/NUMBER");
        number = number * 10 + static_cast<std::uint64_t>(digit - '0');
    }
    if (number >= constants::max_tasks_per_job)
        throw_malformed("thread", "has too large a number");
    return static_cast<std::uint32_t>(number);
}

// Splits "JOB/INDEX".
void read_task_name(task_status &task, const std::string &name) {
    auto slash = name.rfind('/');
    if (slash == std::string::npos || slash + 1 >= name.size())
        throw_malformed("thread", "is not JOB/NUMBER");
    task.index = parse_task_index(std::string_view(name).substr(slash + 1));
    task.job = name.substr(0, slash);
}

task_state parse_task_state(const std::string &name) {
    if (name == task_waiting_name)
        return task_state::fetching;
    auto state = task_state_names.value_of(name);
    if (!state)
        throw_malformed("stage", "is not a task state");
    return *state;
}

task_status task_status_of(const json::object &object) {
    task_status task;
    read_task_name(task, text_field(object, "thread"));
    task.attempt = count_field(object, "try");
    task.state = parse_task_state(text_field(object, "stage"));
    if (task.state == task_state::exited) {
        auto cause = exit_cause_names.value_of(text_field(object, "cause"));
        task.cause = cause.value_or(exit_cause::error);
        task.checkpointed = flag_field_or(object, "kept", false);
    }
    return task;
}

json::object command_object(const command &command) {
    json::object object;
    object["verb"] = command_names.name_of(command.kind);
    object["thread"] = command.job + "/" + std::to_string(command.index);
    object["try"] = command.attempt;
    if (command.kind == command_kind::stop)
        object["slackS"] = command.grace.count();
    return object;
}

json::object commands_object(std::uint64_t token, const std::vector<command> &commands) {
    json::array encoded;
    for (const auto &command : commands)
        encoded.push_back(command_object(command));
    json::object object;
    object["warrant"] = token;
    object["orders"] = std::move(encoded);
    return object;
}

} // namespace

heartbeat parse_heartbeat(const std::string &body) {
    auto object = parse_object(body);
    heartbeat parsed;
    parsed.machine = text_field(object, "spindle");
    parsed.address = text_field(object, "address");
    parsed.type = text_field(object, "frame");
    parsed.zone = text_field(object, "croft");
    parsed.spot = flag_field_or(object, "loaners", false);
    parsed.incarnation = count_field(object, "shift");
    parsed.sequence = count_field(object, "tally");
    parsed.token = count_field(object, "warrant");
    parsed.reclaim_notice = optional_duration(object, "recallS");
    if (find_field(object, "threads"))
        for (const auto &task : list_field(object, "threads"))
            parsed.tasks.push_back(task_status_of(object_element(task, "threads")));
    return parsed;
}

std::string encode_heartbeat_answer(std::uint64_t token, const std::vector<command> &commands) {
    return json::serialize(commands_object(token, commands));
}

std::string encode_direct_commands(std::uint64_t token, std::uint64_t incarnation,
                                   const std::vector<command> &commands) {
    auto object = commands_object(token, commands);
    object["shift"] = incarnation;
    return json::serialize(object);
}

std::string encode_redirect(const std::string &node) {
    json::object object;
    if (!node.empty())
        object["foreman"] = node;
    return json::serialize(object);
}

} // namespace spindlecroft::wire
