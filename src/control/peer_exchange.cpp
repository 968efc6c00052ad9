// What this controller answers and asks the others, apart from membership.
#include "constants.hpp"
#include "control/answers.hpp"
#include "control/leadership.hpp"
#include "store/keys.hpp"

namespace spindlecroft::control {

namespace c = constants;
using net::awaitable;
using net::response;
using net::steady_now;

awaitable<response> controller::on_peer(net::request r) {
    if (r.method != "POST" || r.target != "/member")
        co_return error(404, "no such path");
    try {
        auto m = wire::parse_peer(r.body);
        if (m.text("kind") == "progress") {
            wire::peer_message out;
            if (lead_ && lead_->core && member_.leading()) {
                out.numbers[":leading"] = 1;
                for (auto &[id, j] : lead_->core->jobs())
                    out.numbers[id] =
                        (static_cast<std::uint64_t>(j.done_count) << 32) | j.running();
            }
            co_return response{200, wire::encode_peer(out), 0, true};
        }
        co_return response{200, member_.on_message(r.body), 0, true};
    } catch (const wire::malformed_message &e) {
        co_return error(400, e.what());
    }
}

awaitable<void> controller::fetch_progress() {
    progress_busy_ = true;
    auto *p = member_.peer(member_.leader_hint());
    if (p) {
        wire::peer_message m;
        m.texts["kind"] = "progress";
        auto r = co_await p->call("POST", "/member", wire::encode_peer(m), c::peer_timeout, true);
        try {
            if (r.ok()) {
                auto a = wire::parse_peer(r.body);
                if (a.number(":leading")) {
                    progress_.clear();
                    for (auto &[id, v] : a.numbers)
                        progress_[id] = {static_cast<std::uint32_t>(v >> 32),
                                         static_cast<std::uint32_t>(v & 0xffffffff)};
                }
            }
        } catch (const wire::malformed_message &e) {
            spdlog::warn("progress: {}", e.what());
        }
    }
    progress_at_ = steady_now();
    progress_busy_ = false;
}

awaitable<void> controller::load_types() {
    while (!stopping_ && !types_) {
        auto i = co_await state_.get(store::keys::machine_types, store::request_priority::accept);
        if (i && i->found) {
            try {
                auto t = wire::parse_machine_types(i->item.value);
                if (!types_)
                    types_ = std::move(t);
            } catch (const wire::malformed_message &e) {
                spdlog::error("machine types: {}", e.what());
            }
        }
        if (!types_)
            co_await net::sleep_for(c::types_retry);
    }
}

} // namespace spindlecroft::control
