// Finds machines with an outbound partition: their heartbeats reach us, our answers don't reach
// them. Each task given to such a machine would be lost for a lease.
//
// The evidence is what their heartbeats don't show: a token that was announced in an answer, starts
// that were in an answer, or an incarnation that ended although it had been answered.
#pragma once
#include "common/time.hpp"
#include "model/cluster_state.hpp"
#include "reconciliation/heartbeat_freshness.hpp"
#include "settings/settings.hpp"
#include "wire/types.hpp"

namespace spindlecroft::reconciliation {

// What a heartbeat shows of the starts in the answers to earlier ones.
enum class start_evidence {
    none,
    not_received, // a start is not listed though its answer should have arrived
};

class partition_detector {
  public:
    partition_detector(model::cluster_state &state, const settings::settings &settings)
        : state_(state), settings_(settings) {}

    // Notes that a heartbeat of this age was answered with the present token: from now on later
    // heartbeats should show it.
    void note_answer(workers::machine &machine, heartbeat_freshness age, time_point now);
    // Looks at a fresh heartbeat that the worker sent of its own accord.
    void check_heartbeat(workers::machine &machine, const heartbeat &received, bool new_incarnation,
                         start_evidence starts, time_point now);

  private:
    void clear_if_acknowledged(workers::machine &machine, const heartbeat &received,
                               start_evidence starts);
    void clear_if_lease_outlasted(workers::machine &machine, bool new_incarnation, time_point now);
    void count_missed_acknowledgement(workers::machine &machine, const heartbeat &received,
                                      start_evidence starts, time_point now);
    [[nodiscard]] bool is_partitioned(const workers::machine &machine, bool new_incarnation,
                                      time_point now) const;
    // The longest time from an answer to the next heartbeat that shows it.
    [[nodiscard]] seconds max_acknowledgement_delay() const;

    model::cluster_state &state_;
    const settings::settings &settings_;
};

} // namespace spindlecroft::reconciliation
