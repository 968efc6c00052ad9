// Composes the commands for a machine, sent in the answer to its heartbeat or as a direct command,
// and tracks the direct commands that may still arrive.
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

/// Whether commands may include starts.
enum class start_permission { granted, withheld };

/// Derives the commands for a machine from the attempts on it.
class command_composer {
  public:
    explicit command_composer(model::cluster_state &state) : state_(state) {}

    /// Begins a leadership term, whose token counts as raised at `now`.
    void begin_term(time_point now) { last_token_raise_ = now; }

    /// Returns the commands for the answer to the newest heartbeat.
    [[nodiscard]] std::vector<command> for_answer(const std::string &machine_name,
                                                  start_permission permission, time_point now);
    /// Returns the commands to send directly. If they start tasks, the direct command counts as
    /// open until it is marked as resolved or unresolved.
    [[nodiscard]] std::vector<command> for_direct_command(const std::string &machine_name,
                                                          start_permission permission,
                                                          time_point now);
    /// Whether every start among the commands is still wanted.
    [[nodiscard]] bool are_starts_current(const std::vector<command> &commands) const;

    /// To be called when the agent has answered a direct command, or it was never sent.
    void mark_resolved(const std::string &machine_name);
    /// To be called when it is unknown whether a direct command arrived or will arrive.
    void mark_unresolved(const std::string &machine_name, std::uint64_t token,
                         std::uint64_t incarnation);
    /// Whether the token should be raised, which would invalidate unresolved direct commands and
    /// late copies of answered ones, so that the records of their exited attempts may be removed.
    /// If true, the raise counts as done, so that raises are spaced by
    /// constants::min_token_raise_interval.
    [[nodiscard]] bool take_token_raise_request(time_point now);

  private:
    enum class channel { answer, direct };
    struct composition; ///< The commands for one machine while they are composed.

    std::vector<command> compose(workers::machine &machine, channel through,
                                 start_permission permission, time_point now);
    /// Whether only a higher token resolves the machine's unresolved direct commands.
    [[nodiscard]] bool needs_token_raise(const workers::machine &machine) const;
    void log_commands(const composition &composed) const;
    void add_cleanup(composition &composed, time_point now) const;
    void add_for_attempt(composition &composed, const catalog::job &job,
                         catalog::attempt &attempt) const;
    void add_start(composition &composed, const catalog::job &job, catalog::attempt &attempt) const;
    /// The free resources of the machine once the immediate stops, which precede the starts, have
    /// been executed.
    [[nodiscard]] bidding::resources resources_after_stops(workers::machine &machine) const;

    model::cluster_state &state_;
    std::optional<time_point> last_token_raise_;
};

} // namespace spindlecroft::reconciliation
