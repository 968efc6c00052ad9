// Detects machines with an outbound partition: their heartbeats arrive, but the leader's answers do
// not reach them. Each task given to such a machine would be lost for the duration of a lease.
//
// The evidence is what their heartbeats fail to show: a token announced in an answer, or starts
// sent in an answer. An incarnation that ended although it had been answered is evidence as well.
#pragma once
#include "common/time.hpp"
#include "model/cluster_state.hpp"
#include "reconciliation/heartbeat_freshness.hpp"
#include "settings/settings.hpp"
#include "wire/types.hpp"

namespace spindlecroft::reconciliation {

/// What a heartbeat shows about starts sent in answers to earlier heartbeats.
enum class start_evidence {
    none,         ///< Nothing that contradicts their arrival.
    not_received, ///< A start is not listed although its answer should have arrived.
};

/// Marks machines with an outbound partition, which get no new work until the mark is cleared.
class partition_detector {
  public:
    partition_detector(model::cluster_state &state, const settings::settings &settings)
        : state_(state), settings_(settings) {}

    /// Notes that a heartbeat was answered with the current token, which later heartbeats should
    /// show.
    void note_answer(workers::machine &machine, heartbeat_freshness freshness, time_point now);
    /// Updates the mark from a fresh, unsolicited heartbeat.
    void check_heartbeat(workers::machine &machine, const heartbeat &received,
                         bool is_new_incarnation, start_evidence starts, time_point now);

  private:
    void clear_if_acknowledged(workers::machine &machine, const heartbeat &received,
                               start_evidence starts);
    void clear_if_lease_outlasted(workers::machine &machine, bool is_new_incarnation,
                                  time_point now);
    void count_missed_acknowledgement(workers::machine &machine, const heartbeat &received,
                                      start_evidence starts, time_point now);
    [[nodiscard]] bool is_partitioned(const workers::machine &machine, bool is_new_incarnation,
                                      time_point now) const;
    /// The longest time from an answer to the heartbeat that acknowledges it.
    [[nodiscard]] seconds max_acknowledgement_delay() const;

    model::cluster_state &state_;
    const settings::settings &settings_;
};

} // namespace spindlecroft::reconciliation
