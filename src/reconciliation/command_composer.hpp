// Composes the commands for a machine, in the answer to its heartbeat or as a direct command, and
// keeps account of the direct commands that may still arrive.
#pragma once
#include "bidding/bid.hpp"
#include "common/time.hpp"
#include "model/cluster_state.hpp"
#include "wire/types.hpp"
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace spindlecroft::reconciliation {

// Whether tasks may be started now.
enum class start_permission { granted, withheld };

class command_composer {
  public:
    explicit command_composer(model::cluster_state &state) : state_(state) {}

    // The leadership begins: its token counts as raised just now.
    void begin_term(time_point now) { last_token_raise_ = now; }

    // Commands for the answer to the newest heartbeat.
    [[nodiscard]] std::vector<command> for_answer(const std::string &machine_name,
                                                  start_permission permission, time_point now);
    // Commands for a direct command; if it starts tasks, it counts as open until it is resolved.
    [[nodiscard]] std::vector<command> for_direct_command(const std::string &machine_name,
                                                          start_permission permission,
                                                          time_point now);
    // Whether every start among the commands is still wanted.
    [[nodiscard]] bool are_starts_current(const std::vector<command> &commands) const;

    // The worker has answered the direct command, or it was never sent.
    void mark_resolved(const std::string &machine_name);
    // Nobody knows whether the direct command arrived or will yet arrive.
    void mark_unresolved(const std::string &machine_name, std::uint64_t token,
                         std::uint64_t incarnation);
    // A higher token would prove unresolved commands dead. Not too often: at true the raise counts
    // as done.
    [[nodiscard]] bool take_token_raise_request(time_point now);

  private:
    enum class channel { answer, direct };
    struct composition; // the commands for one machine while they are composed

    std::vector<command> compose(workers::machine &machine, channel through,
                                 start_permission permission, time_point now);
    void add_cleanup(composition &composed, time_point now) const;
    void add_for_attempt(composition &composed, const catalog::job &job,
                         catalog::attempt &attempt) const;
    void add_start(composition &composed, const catalog::job &job, catalog::attempt &attempt) const;
    // The room on the machine once the commands to stop at once, which go before the starts, are
    // carried out.
    [[nodiscard]] bidding::resources resources_after_stops(workers::machine &machine) const;

    model::cluster_state &state_;
    std::optional<time_point> last_token_raise_;
};

} // namespace spindlecroft::reconciliation
