// What exists only while this controller leads. Included by the files of control::controller alone.
#pragma once
#include "control/controller.hpp"
#include "store/committer.hpp"

namespace spindlecroft::control {

struct controller::leadership {
    leadership(net::asio::io_context &io, store::key_value_client &state,
               const settings::settings &s)
        : commits(io, state, s, "leader"), records(io, state, s, "records"), wake(io) {}
    std::unique_ptr<scheduler> core; // once the records are read
    // What a start or a rental waits for must not queue behind what can wait: one writes
    // placements, rentals and types, the other what has ended. No key is written by both.
    store::committer commits, records;
    net::signal wake;
    bool over = false;
    std::set<std::string> commanding;
    // Cancels told by other controllers or confirmed here that the records don't show yet.
    std::map<std::string, cancel_notice> cancels;
    std::uint64_t heartbeats_received = 0, commands_sent = 0;    // since the last summary
    std::map<std::string, std::shared_ptr<net::client>> workers; // by address
};

} // namespace spindlecroft::control
