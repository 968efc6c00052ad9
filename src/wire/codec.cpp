#include "wire/codec.hpp"
#include "constants.hpp"
#include <boost/json.hpp>
#include <cbor.h>
#include <charconv>
#include <cmath>
#include <fmt/format.h>
#include <memory>
#include <set>

namespace spindlecroft::wire {

namespace json = boost::json;

namespace {

[[noreturn]] void fail(const char *field, const char *what) {
    throw malformed_message(fmt::format("{}: {}", field, what));
}

json::value parse_any(const std::string &body) {
    boost::system::error_code ec;
    json::parse_options o;
    o.max_depth = 16;
    auto v = json::parse(body, ec, {}, o);
    if (ec)
        throw malformed_message("body: not JSON");
    return v;
}

json::object parse_object(const std::string &body) {
    auto v = parse_any(body);
    if (!v.is_object())
        throw malformed_message("body: not an object");
    return std::move(v.as_object());
}

// Null and omitted are the same.
const json::value *find(const json::object &o, const char *field) {
    auto *v = o.if_contains(field);
    return v && !v->is_null() ? v : nullptr;
}

const json::value &need(const json::object &o, const char *field) {
    auto *v = find(o, field);
    if (!v)
        fail(field, "is missing");
    return *v;
}

std::string text(const json::object &o, const char *field, std::size_t most = 200) {
    auto &v = need(o, field);
    if (!v.is_string())
        fail(field, "must be a text");
    auto &s = v.get_string();
    if (s.empty() || s.size() > most)
        fail(field, "has a wrong length");
    return std::string(s);
}

double amount_of(const json::value &v, const char *field) {
    if (!v.is_number())
        fail(field, "must be a number");
    double d = v.to_number<double>();
    if (!std::isfinite(d) || d < 0 || d > 1e12)
        fail(field, "must be a finite number of at least 0");
    return d;
}

double amount(const json::object &o, const char *field) {
    return amount_of(need(o, field), field);
}

double amount_or(const json::object &o, const char *field, double fallback) {
    auto *v = find(o, field);
    return v ? amount_of(*v, field) : fallback;
}

// A time of day, in seconds since the epoch.
double epoch_seconds(wall_time t) {
    return t.time_since_epoch().count();
}

wall_time wall_time_of(double epoch_seconds) {
    return wall_time{seconds{epoch_seconds}};
}

// The same, where 0 stands for a time that is not known.
double epoch_seconds(std::optional<wall_time> t) {
    return t ? epoch_seconds(*t) : 0;
}

std::optional<wall_time> known_wall_time(double epoch_seconds) {
    if (epoch_seconds > 0)
        return wall_time_of(epoch_seconds);
    return std::nullopt;
}

std::uint64_t count(const json::object &o, const char *field) {
    auto &v = need(o, field);
    if (v.is_uint64())
        return v.get_uint64();
    if (v.is_int64() && v.get_int64() >= 0)
        return static_cast<std::uint64_t>(v.get_int64());
    fail(field, "must be an integer of at least 0");
}

bool flag(const json::object &o, const char *field) {
    auto &v = need(o, field);
    if (!v.is_bool())
        fail(field, "must be true or false");
    return v.get_bool();
}

bool flag_or(const json::object &o, const char *field, bool fallback) {
    return find(o, field) ? flag(o, field) : fallback;
}

const json::array &list(const json::object &o, const char *field) {
    auto &v = need(o, field);
    if (!v.is_array())
        fail(field, "must be a list");
    return v.get_array();
}

const json::object &object_of(const json::value &v, const char *field) {
    if (!v.is_object())
        fail(field, "must hold objects");
    return v.get_object();
}

void split_task(const std::string &task, std::string &job, std::uint32_t &index) {
    auto slash = task.rfind('/');
    if (slash == std::string::npos || slash + 1 >= task.size())
        fail("thread", "is not JOB/NUMBER");
    std::uint64_t n = 0;
    for (auto i = slash + 1; i < task.size(); ++i) {
        if (task[i] < '0' || task[i] > '9' || n > 10'000'000)
            fail("thread", "is not JOB/NUMBER");
        n = n * 10 + static_cast<std::uint64_t>(task[i] - '0');
    }
    if (n >= constants::threads_limit)
        fail("thread", "has too large a number");
    job = task.substr(0, slash);
    index = static_cast<std::uint32_t>(n);
}

json::object commands_object(std::uint64_t token, const std::vector<command> &commands) {
    json::array a;
    for (const auto &x : commands) {
        json::object o;
        o["verb"] = x.kind == command_kind::start  ? "start"
                    : x.kind == command_kind::stop ? "kill"
                                                   : "reap";
        o["thread"] = x.job + "/" + std::to_string(x.index);
        o["try"] = x.attempt;
        if (x.kind == command_kind::stop)
            o["slackS"] = x.grace.count();
        a.push_back(std::move(o));
    }
    json::object out;
    out["warrant"] = token;
    out["orders"] = std::move(a);
    return out;
}

json::object spec_object(const job_spec &s) {
    static constexpr const char *ranks[] = {"critical", "urgent", "standard", "idle"};
    json::object o;
    o["uid"] = s.id;
    o["lot"] = s.job_class;
    o["crew"] = s.team;
    o["shape"] = s.shape == job_shape::array ? "array" : "standing";
    o["rank"] = ranks[static_cast<int>(s.priority)];
    o["threads"] = s.tasks;
    o["cores"] = s.cpus;
    o["gpus"] = s.gpus;
    o["memGb"] = s.memory_gb;
    o["bobbin"] = s.image;
    o["sizeGb"] = s.image_gb;
    if (s.types) {
        json::array a;
        for (auto &t : *s.types)
            a.emplace_back(t);
        o["frames"] = std::move(a);
    }
    if (s.zone)
        o["croft"] = *s.zone;
    o["samePlace"] = s.same_zone;
    o["scatter"] = s.spread;
    o["loaners"] = s.spot;
    o["reckonS"] = s.estimate.count();
    o["knotS"] = s.checkpoint_interval.count();
    o["tieS"] = s.checkpoint_duration.count();
    if (s.deadline)
        o["dueS"] = s.deadline->count();
    if (!s.predecessors.empty())
        o["awaits"] = json::value_from(s.predecessors);
    return o;
}

std::vector<std::string> predecessors_of(const json::array &ids, const std::string &job) {
    std::vector<std::string> out;
    std::set<std::string> seen{job}; // a job can't wait for itself
    for (auto &v : ids) {
        if (!v.is_string() || !valid_job_id(std::string(v.get_string())))
            fail("awaits", "must hold job ids");
        out.emplace_back(v.get_string());
        if (!seen.insert(out.back()).second)
            fail("awaits", "names a job twice, or the job itself");
    }
    return out;
}

job_spec spec_of(const json::object &o) {
    job_spec s;
    s.id = text(o, "uid");
    if (!valid_job_id(s.id))
        fail("uid", "is not of the form job-...");
    s.job_class = text(o, "lot");
    s.team = text(o, "crew");
    auto shape = text(o, "shape");
    if (shape == "array")
        s.shape = job_shape::array;
    else if (shape == "standing")
        s.shape = job_shape::service;
    else
        fail("shape", "must be array or standing");
    auto priority = text(o, "rank");
    if (priority == "critical")
        s.priority = priority_class::critical;
    else if (priority == "urgent")
        s.priority = priority_class::high;
    else if (priority == "standard")
        s.priority = priority_class::normal;
    else if (priority == "idle")
        s.priority = priority_class::low;
    else
        fail("rank", "must be critical, urgent, standard or idle");
    auto n = count(o, "threads");
    if (n == 0 || n > constants::threads_limit)
        fail("threads", "must be from 1 to 100000");
    s.tasks = static_cast<std::uint32_t>(n);
    s.cpus = amount(o, "cores");
    s.gpus = amount_or(o, "gpus", 0);
    s.memory_gb = amount(o, "memGb");
    s.image = text(o, "bobbin");
    s.image_gb = amount(o, "sizeGb");
    if (find(o, "frames")) {
        std::vector<std::string> types;
        for (auto &v : list(o, "frames")) {
            if (!v.is_string())
                fail("frames", "must hold texts");
            types.emplace_back(v.get_string());
        }
        s.types = std::move(types);
    }
    if (find(o, "croft"))
        s.zone = text(o, "croft");
    s.same_zone = flag_or(o, "samePlace", false);
    s.spread = flag_or(o, "scatter", false);
    s.spot = flag_or(o, "loaners", false);
    s.estimate = seconds{amount_or(o, "reckonS", 0)};
    s.checkpoint_interval = seconds{amount_or(o, "knotS", 0)};
    s.checkpoint_duration = seconds{amount_or(o, "tieS", 0)};
    if (find(o, "dueS"))
        s.deadline = seconds{amount(o, "dueS")};
    if (find(o, "awaits"))
        s.predecessors = predecessors_of(list(o, "awaits"), s.id);
    return s;
}

kv_item item_of(const json::object &o) {
    kv_item i;
    i.key = text(o, "key");
    i.value = json::serialize(need(o, "data"));
    i.version = count(o, "mark");
    if (find(o, "loan"))
        i.lease = count(o, "loan");
    return i;
}

} // namespace

bool valid_job_id(const std::string &id) {
    if (id.size() < 5 || id.size() > 100 || id.compare(0, 4, "job-") != 0)
        return false;
    for (char c : id)
        if (!((c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
              c == '-' || c == '_' || c == '.'))
            return false;
    return true;
}

std::string_view state_word(job_state s) {
    switch (s) {
    case job_state::pending:
        return "pending";
    case job_state::running:
        return "running";
    case job_state::done:
        return "done";
    case job_state::cancelled:
        return "aborted";
    }
    return "pending";
}

job_spec parse_submission(const std::string &body) {
    return spec_of(parse_object(body));
}
std::string encode_spec(const job_spec &s) {
    return json::serialize(spec_object(s));
}

std::string encode_accepted(const std::string &id, job_state state) {
    json::object o;
    o["uid"] = id;
    o["stage"] = state_word(state);
    return json::serialize(o);
}

std::string encode_status(const job_status &s) {
    json::object o;
    o["uid"] = s.id;
    o["stage"] = state_word(s.state);
    o["done"] = s.done;
    o["running"] = s.running;
    return json::serialize(o);
}

std::string encode_error(const std::string &what) {
    json::object o;
    o["error"] = what;
    return json::serialize(o);
}

heartbeat parse_heartbeat(const std::string &body) {
    auto o = parse_object(body);
    heartbeat r;
    r.machine = text(o, "spindle");
    r.address = text(o, "address");
    r.type = text(o, "frame");
    r.zone = text(o, "croft");
    r.spot = flag_or(o, "loaners", false);
    r.incarnation = count(o, "shift");
    r.sequence = count(o, "tally");
    r.token = count(o, "warrant");
    if (find(o, "recallS"))
        r.reclaim_notice = seconds{amount(o, "recallS")};
    if (find(o, "threads"))
        for (auto &v : list(o, "threads")) {
            auto &t = object_of(v, "threads");
            task_status x;
            split_task(text(t, "thread"), x.job, x.index);
            x.attempt = count(t, "try");
            auto state = text(t, "stage");
            if (state == "pulling" || state == "waiting")
                x.state = task_state::fetching;
            else if (state == "running")
                x.state = task_state::running;
            else if (state == "flushing")
                x.state = task_state::checkpointing;
            else if (state == "exited")
                x.state = task_state::exited;
            else
                fail("stage", "is not a task state");
            if (x.state == task_state::exited) {
                auto cause = text(t, "cause");
                x.cause = cause == "done"      ? exit_cause::done
                          : cause == "halted"  ? exit_cause::stopped
                          : cause == "error"   ? exit_cause::error
                          : cause == "no_room" ? exit_cause::no_room
                          : cause == "in_use"  ? exit_cause::busy
                          : cause == "no_such" ? exit_cause::unknown
                                               : exit_cause::error;
                x.checkpointed = flag_or(t, "kept", false);
            }
            r.tasks.push_back(std::move(x));
        }
    return r;
}

std::string encode_heartbeat_answer(std::uint64_t token, const std::vector<command> &commands) {
    return json::serialize(commands_object(token, commands));
}

std::string encode_direct_commands(std::uint64_t token, std::uint64_t incarnation,
                                   const std::vector<command> &commands) {
    auto o = commands_object(token, commands);
    o["shift"] = incarnation;
    return json::serialize(o);
}

std::string encode_redirect(const std::string &node) {
    json::object o;
    if (!node.empty())
        o["foreman"] = node;
    return json::serialize(o);
}

std::vector<machine_type> parse_machine_types(const std::string &body) {
    auto o = parse_object(body);
    std::vector<machine_type> out;
    for (auto &v : list(o, "frames")) {
        auto &t = object_of(v, "frames");
        machine_type m;
        m.name = text(t, "name");
        m.cpus = amount(t, "cores");
        m.gpus = amount_or(t, "gpus", 0);
        m.memory_gb = amount(t, "memGb");
        m.cache_gb = amount_or(t, "localGb", 0);
        m.fetch_gb_per_s = amount_or(t, "pullGbPerS", 0);
        m.price = amount_or(t, "hourly", 0);
        m.spot_price = amount_or(t, "marketPrice", 0);
        m.boot_time = seconds{amount_or(t, "startupS", 0)};
        for (auto &z : list(t, "crofts")) {
            if (!z.is_string())
                fail("crofts", "must hold texts");
            m.zones.emplace_back(z.get_string());
        }
        out.push_back(std::move(m));
    }
    return out;
}

std::string encode_machine_types(const std::vector<machine_type> &types) {
    json::array a;
    for (auto &m : types) {
        json::object o;
        o["name"] = m.name;
        o["cores"] = m.cpus;
        o["gpus"] = m.gpus;
        o["memGb"] = m.memory_gb;
        o["localGb"] = m.cache_gb;
        o["pullGbPerS"] = m.fetch_gb_per_s;
        o["hourly"] = m.price;
        o["marketPrice"] = m.spot_price;
        o["startupS"] = m.boot_time.count();
        json::array z;
        for (auto &x : m.zones)
            z.emplace_back(x);
        o["crofts"] = std::move(z);
        a.push_back(std::move(o));
    }
    json::object out;
    out["frames"] = std::move(a);
    return json::serialize(out);
}

std::string encode_rental_request(const rental_request &r) {
    json::object o;
    o["hire"] = r.request;
    o["frame"] = r.type;
    o["croft"] = r.zone;
    o["loaners"] = r.spot;
    o["count"] = r.count;
    return json::serialize(o);
}

std::vector<std::string> parse_rented_machines(const std::string &body) {
    auto o = parse_object(body);
    std::vector<std::string> out;
    for (auto &v : list(o, "spindles")) {
        if (!v.is_string())
            fail("spindles", "must hold texts");
        out.emplace_back(v.get_string());
    }
    return out;
}

std::string encode_deletion(const std::vector<std::string> &machines) {
    json::array a;
    for (auto &m : machines)
        a.emplace_back(m);
    json::object o;
    o["spindles"] = std::move(a);
    return json::serialize(o);
}

listed_machine_page parse_machine_list(const std::string &body) {
    auto o = parse_object(body);
    listed_machine_page p;
    for (auto &v : list(o, "spindles")) {
        auto &t = object_of(v, "spindles");
        listed_machine h;
        h.id = text(t, "uid");
        h.address = find(t, "address") ? text(t, "address") : "";
        h.type = text(t, "frame");
        h.zone = text(t, "croft");
        h.spot = flag_or(t, "loaners", false);
        auto s = text(t, "stage");
        h.state = s == "running"  ? machine_state::running
                  : s == "failed" ? machine_state::failed
                                  : machine_state::booting;
        h.age = seconds{amount_or(t, "heldS", 0)};
        p.hosts.push_back(std::move(h));
    }
    p.more = flag_or(o, "more", false);
    return p;
}

std::string machine_list_target(const std::string &after, int limit) {
    if (after.empty())
        return fmt::format("/hosts?most={}", limit);
    return fmt::format("/hosts?since={}&most={}", after, limit);
}

std::string encode_txn(const std::vector<txn_condition> &when, const std::vector<txn_op> &ops) {
    json::array w;
    for (auto &c : when) {
        json::object o;
        o["key"] = c.key;
        o["mark"] = c.version;
        w.push_back(std::move(o));
    }
    // Values are JSON already; they are spliced in as they are, which saves a parse.
    std::string out = "{\"when\":" + json::serialize(w) + ",\"apply\":[";
    bool first = true;
    for (auto &x : ops) {
        if (!first)
            out += ',';
        first = false;
        if (x.value.empty()) {
            out += "{\"drop\":" + json::serialize(json::string(x.key)) + "}";
        } else {
            out += "{\"write\":" + json::serialize(json::string(x.key)) + ",\"data\":" + x.value;
            if (x.lease)
                out += ",\"loan\":" + std::to_string(x.lease);
            out += "}";
        }
    }
    out += "]}";
    return out;
}

txn_answer parse_txn(const std::string &body) {
    auto o = parse_object(body);
    txn_answer a;
    if (find(o, "ledger"))
        a.revision = count(o, "ledger");
    if (find(o, "error"))
        a.error = text(o, "error");
    if (find(o, "failed"))
        for (auto &v : list(o, "failed")) {
            if (!v.is_string())
                fail("failed", "must hold texts");
            a.failed.emplace_back(v.get_string());
        }
    return a;
}

range_answer parse_range(const std::string &body) {
    auto o = parse_object(body);
    range_answer a;
    for (auto &v : list(o, "items"))
        a.items.push_back(item_of(object_of(v, "items")));
    a.more = flag_or(o, "more", false);
    a.revision = count(o, "ledger");
    return a;
}

std::string range_target(const std::string &prefix, const std::string &after, int limit) {
    if (after.empty())
        return fmt::format("/kv?starts={}&most={}", prefix, limit);
    return fmt::format("/kv?starts={}&since={}&most={}", prefix, after, limit);
}

std::optional<kv_item> parse_item(const std::string &body) {
    return item_of(parse_object(body));
}

std::uint64_t parse_revision(const std::string &body) {
    return count(parse_object(body), "ledger");
}

range_answer parse_watch(const std::string &body) {
    auto o = parse_object(body);
    range_answer a;
    a.revision = count(o, "ledger");
    if (find(o, "news"))
        for (auto &v : list(o, "news")) {
            auto &e = object_of(v, "news");
            kv_item i;
            if (find(e, "write")) {
                i.key = text(e, "write");
                i.value = json::serialize(need(e, "data"));
            } else {
                i.key = text(e, "drop");
            }
            i.version = count(e, "mark");
            a.items.push_back(std::move(i));
        }
    return a;
}

std::string watch_target(const std::string &prefix, std::uint64_t since, int hold_ms) {
    return fmt::format("/watch?starts={}&since={}&holdMs={}", prefix, since, hold_ms);
}

bool same_json(const std::string &a, const std::string &b) {
    boost::system::error_code ec, ed;
    auto x = json::parse(a, ec), y = json::parse(b, ed);
    return !ec && !ed && x == y;
}

std::string encode_ttl(int ms) {
    return fmt::format("{{\"ttlMs\":{}}}", ms);
}
std::uint64_t parse_lease(const std::string &body) {
    return count(parse_object(body), "loan");
}

// The field of a job record that holds a job with predecessors. Guards against controllers of
// versions before 0.5, which would pass over the list of predecessors and start the job too early:
// they look for "job", and leave alone a record that lacks it.
static constexpr const char *dependent_job = "dependentJob";

std::string encode_job_record(const job_record &r) {
    json::object o;
    o["cancelled"] = r.cancelled;
    o["at"] = epoch_seconds(r.accepted_at);
    if (r.cancelled)
        o["cancelledAt"] = epoch_seconds(r.cancelled_at);
    o[r.spec.predecessors.empty() ? "job" : dependent_job] = spec_object(r.spec);
    return json::serialize(o);
}

job_record parse_job_record(const std::string &value) {
    auto o = parse_object(value);
    job_record r;
    r.cancelled = flag(o, "cancelled");
    r.accepted_at = wall_time_of(amount(o, "at"));
    r.cancelled_at = known_wall_time(amount_or(o, "cancelledAt", 0));
    auto *field = find(o, dependent_job) ? dependent_job : "job";
    r.spec = spec_of(object_of(need(o, field), field));
    return r;
}

std::string encode_ended(const ended_record &r) {
    json::object o;
    o["stage"] = state_word(r.state);
    o["done"] = r.done;
    if (r.at > wall_time{})
        o["at"] = epoch_seconds(r.at); // versions before 0.5 pass over it
    return json::serialize(o);
}

ended_record parse_ended(const std::string &value) {
    auto o = parse_object(value);
    ended_record r;
    r.state =
        text(o, "stage") == state_word(job_state::done) ? job_state::done : job_state::cancelled;
    r.done = static_cast<std::uint32_t>(count(o, "done"));
    r.at = known_wall_time(amount_or(o, "at", 0));
    return r;
}

std::string encode_placed(const std::vector<placed_task> &tasks) {
    json::object o;
    for (auto &t : tasks) {
        auto &list = o[t.job];
        if (!list.is_array())
            list = json::array();
        list.get_array().push_back(json::array{t.index, t.attempt, t.machine});
    }
    return json::serialize(o);
}

std::size_t placed_bytes(const placed_task &t) {
    // Its own entry, and the job's key as if it stood there for the first time.
    return t.machine.size() + fmt::formatted_size("{}{}", t.index, t.attempt) + 7 + t.job.size() +
           6;
}

std::vector<placed_task> parse_placed(const std::string &value) {
    auto o = parse_object(value);
    std::vector<placed_task> out;
    for (auto &[job, list] : o) {
        if (!list.is_array())
            fail("placed", "must hold lists");
        for (auto &x : list.get_array()) {
            if (!x.is_array() || x.get_array().size() != 3 || !x.get_array()[2].is_string())
                fail("placed", "must hold triples");
            auto &a = x.get_array();
            placed_task t;
            t.job = std::string(job);
            t.index = a[0].to_number<std::uint32_t>();
            t.attempt = a[1].to_number<std::uint64_t>();
            t.machine = std::string(a[2].get_string());
            out.push_back(std::move(t));
        }
    }
    return out;
}

static std::string hex_of(const std::vector<bool> &bits) {
    static constexpr char digits[] = "0123456789abcdef";
    std::string hex;
    for (std::size_t i = 0; i < bits.size(); i += 4) {
        int n = 0;
        for (std::size_t k = 0; k < 4 && i + k < bits.size(); ++k)
            if (bits[i + k])
                n |= 1 << k;
        hex += digits[n];
    }
    return hex;
}

std::string encode_done(const std::vector<done_part> &parts) {
    json::object o;
    for (auto &p : parts)
        o[fmt::format("{}/{}", p.job, p.part)] = hex_of(p.bits);
    return json::serialize(o);
}

std::string encode_suspects(const std::vector<std::string> &jobs) {
    return json::serialize(json::object{{"jobs", json::value_from(jobs)}});
}

std::vector<std::string> parse_suspects(const std::string &value) {
    auto o = parse_object(value);
    auto *jobs = o.if_contains("jobs");
    if (!jobs || !jobs->is_array())
        fail("jobs", "must be a list");
    std::vector<std::string> out;
    for (auto &id : jobs->get_array()) {
        if (!id.is_string())
            fail("jobs", "must hold strings");
        out.emplace_back(id.get_string());
    }
    return out;
}

std::size_t suspects_bytes(const std::string &job) {
    return job.empty() ? std::string(R"({"jobs":[]})").size() : job.size() + 3;
}

std::size_t done_bytes(const std::string &job, std::size_t tasks) {
    return job.size() + (tasks + 3) / 4 + 12; // the part's number, quotes, colon and comma
}

std::vector<done_part> parse_done(const std::string &value) {
    auto o = parse_object(value);
    std::vector<done_part> out;
    for (auto &[key, hex] : o) {
        std::string name(key);
        auto slash = name.rfind('/');
        done_part p;
        auto *end = name.data() + name.size();
        if (slash == std::string::npos || !hex.is_string() || name.data() + slash + 1 == end ||
            std::from_chars(name.data() + slash + 1, end, p.part).ptr != end)
            fail("done", "must hold parts of jobs");
        p.job = name.substr(0, slash);
        for (char c : hex.get_string()) {
            int n = c >= '0' && c <= '9' ? c - '0' : c >= 'a' && c <= 'f' ? c - 'a' + 10 : -1;
            if (n < 0)
                fail("done", "must be hex digits");
            for (int k = 0; k < 4; ++k)
                p.bits.push_back((n >> k) & 1);
        }
        out.push_back(std::move(p));
    }
    return out;
}

std::string encode_leader(const leader_record &r) {
    json::object o;
    o["node"] = r.node;
    o["incarnation"] = r.incarnation;
    o["raise"] = r.raise;
    return json::serialize(o);
}

leader_record parse_leader(const std::string &value) {
    auto o = parse_object(value);
    return {text(o, "node"), text(o, "incarnation"), count(o, "raise")};
}

std::string encode_rental_record(const rental_record &r) {
    json::object o;
    o["at"] = epoch_seconds(r.at);
    json::array a;
    for (auto &q : r.requests)
        a.push_back(json::array{q.request, q.type, q.zone, q.spot, q.count});
    o["requests"] = std::move(a);
    return json::serialize(o);
}

std::size_t rental_bytes(const rental_request &r) {
    if (r.request.empty())
        return encode_rental_record({}).size() + 24; // the time, in digits
    // Quotes, commas and brackets, the flag and a count of a few digits.
    return r.request.size() + r.type.size() + r.zone.size() + 24;
}

rental_record parse_rental_record(const std::string &value) {
    auto o = parse_object(value);
    rental_record r;
    r.at = wall_time_of(amount(o, "at"));
    for (auto &v : list(o, "requests")) {
        if (!v.is_array() || v.get_array().size() != 5)
            fail("requests", "must hold lists of five");
        auto &a = v.get_array();
        if (!a[0].is_string() || !a[1].is_string() || !a[2].is_string() || !a[3].is_bool())
            fail("requests", "must hold texts and a flag");
        r.requests.push_back({std::string(a[0].get_string()), std::string(a[1].get_string()),
                              std::string(a[2].get_string()), a[3].get_bool(),
                              a[4].to_number<int>()});
    }
    return r;
}

std::uint64_t peer_message::number(const std::string &key, std::uint64_t fallback) const {
    auto i = numbers.find(key);
    return i == numbers.end() ? fallback : i->second;
}

std::string peer_message::text(const std::string &key) const {
    auto i = texts.find(key);
    return i == texts.end() ? std::string() : i->second;
}

std::string encode_peer(const peer_message &m) {
    auto text = [](const std::string &s) {
        return cbor_move(cbor_build_stringn(s.data(), s.size()));
    };
    auto number = [](std::uint64_t n) { return cbor_move(cbor_build_uint64(n)); };
    cbor_item_t *map = cbor_new_definite_map(m.numbers.size() + m.texts.size() + 2);
    (void)cbor_map_add(map, {text("version"), number(peer_version)});
    cbor_item_t *cancels = cbor_new_definite_array(m.cancels.size());
    for (auto &c : m.cancels) {
        cbor_item_t *entry = cbor_new_definite_array(3);
        (void)cbor_array_push(entry, text(c.job));
        (void)cbor_array_push(entry, number(c.revision));
        (void)cbor_array_push(entry, number(static_cast<std::uint64_t>(
                                         std::max(0.0, epoch_seconds(c.at)) * 1000))); // ms
        (void)cbor_array_push(cancels, cbor_move(entry));
    }
    (void)cbor_map_add(map, {text("cancels"), cbor_move(cancels)});
    for (auto &[k, v] : m.numbers)
        (void)cbor_map_add(map, {text(k), number(v)});
    for (auto &[k, v] : m.texts)
        (void)cbor_map_add(map, {text(k), text(v)});
    unsigned char *buffer = nullptr;
    std::size_t size = 0;
    std::size_t length = cbor_serialize_alloc(map, &buffer, &size);
    std::string out(reinterpret_cast<char *>(buffer), length);
    std::free(buffer);
    cbor_decref(&map);
    return out;
}

peer_message parse_peer(const std::string &body) {
    cbor_load_result result;
    cbor_item_t *item = cbor_load(reinterpret_cast<cbor_data>(body.data()), body.size(), &result);
    if (!item)
        throw malformed_message("peer: not CBOR");
    std::unique_ptr<cbor_item_t, void (*)(cbor_item_t *)> guard(
        item, [](cbor_item_t *i) { cbor_decref(&i); });
    if (!cbor_isa_map(item))
        throw malformed_message("peer: not a map");
    auto is_text = [](cbor_item_t *i) { return cbor_isa_string(i) && cbor_string_is_definite(i); };
    auto text = [](cbor_item_t *i) {
        return std::string(reinterpret_cast<char *>(cbor_string_handle(i)), cbor_string_length(i));
    };
    peer_message m;
    auto *pairs = cbor_map_handle(item);
    for (std::size_t i = 0; i < cbor_map_size(item); ++i) {
        auto *k = pairs[i].key;
        auto *v = pairs[i].value;
        if (!is_text(k))
            throw malformed_message("peer: keys must be texts");
        auto key = text(k);
        if (cbor_isa_uint(v)) {
            m.numbers[key] = cbor_get_int(v);
        } else if (is_text(v)) {
            m.texts[key] = text(v);
        } else if (key == "cancels") {
            if (!cbor_isa_array(v))
                throw malformed_message("peer: cancels: must be a list");
            for (std::size_t n = 0; n < cbor_array_size(v); ++n) {
                auto *e = cbor_array_handle(v)[n];
                if (!cbor_isa_array(e) || cbor_array_size(e) != 3)
                    throw malformed_message(
                        "peer: cancels: an entry is a job, a revision and a time");
                auto **f = cbor_array_handle(e);
                if (!is_text(f[0]) || !cbor_isa_uint(f[1]) || !cbor_isa_uint(f[2]))
                    throw malformed_message(
                        "peer: cancels: an entry is a job, a revision and a time");
                m.cancels.push_back(
                    {text(f[0]), cbor_get_int(f[1]),
                     known_wall_time(static_cast<double>(cbor_get_int(f[2])) / 1000.0)});
            }
        }
    }
    if (m.number("version") != peer_version)
        throw malformed_message("peer: version: " + std::to_string(m.number("version")) + ", not " +
                                std::to_string(peer_version));
    m.numbers.erase("version");
    return m;
}

} // namespace spindlecroft::wire
