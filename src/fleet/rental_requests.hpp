// Requests for machines, from the decision to rent until the cloud lists the rented machines.
#pragma once
#include "common/time.hpp"
#include "model/cluster_state.hpp"
#include "planning/bidder.hpp"
#include "planning/placement_rules.hpp"
#include "planning/rental_offer.hpp"
#include "wire/codec.hpp"
#include "wire/types.hpp"
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace spindlecroft::fleet {

/// A rental request and its progress.
struct tracked_rental {
    rental_request request;
    std::string round;                 ///< Name of the record that contains it.
    time_point requested_at{};         ///< When the decision to rent was made.
    bool is_durable = false;           ///< The record is written: the cloud may be called.
    bool is_call_pending = false;      ///< A call to the cloud is in progress.
    bool is_answered = false;          ///< The cloud has named the machines or refused.
    std::vector<std::string> machines; ///< Rented machines that no list has shown yet.
    time_point retry_at{};
};

/// A pending change of the durable record of one round.
struct rental_record_change {
    std::string round;
    std::optional<wire::rental_record> record; ///< Empty: the record is deleted.
};

/// Result of writing a rental record change.
enum class rental_record_outcome { failed, written, dropped };

/// Records the name of each request durably before calling the cloud, so that a later leader
/// repeats the request under the same name instead of renting the machines twice. All requests of a
/// planning round share a record, up to its size limit.
class rental_requests {
  public:
    /// record_bytes: the size limit of a record.
    rental_requests(model::cluster_state &state, std::size_t record_bytes)
        : state_(state), record_bytes_(record_bytes) {}

    /// Loads a record of an earlier leader. Its requests are repeated to learn the machines' names.
    void load(const std::string &round, const wire::rental_record &record, time_point now);
    /// Adds machines to rent. Additions of one round for the same offer share a request.
    void add(const planning::rental_offer &offer, int count, time_point now);

    // --- durable records ---
    /// Returns the records to write, and those to delete because every machine is listed or gone.
    [[nodiscard]] std::vector<rental_record_change> take_record_changes();
    void on_record_written(const std::string &round, rental_record_outcome outcome);

    // --- the cloud ---
    /// Returns the durable requests to send to the cloud now.
    [[nodiscard]] std::vector<rental_request> take_requests(time_point now);
    /// Handles the cloud's answer. Returns the request, or nothing if it is no longer known.
    std::optional<rental_request>
    on_rented(const std::string &request, const std::vector<std::string> &machines, time_point now);
    /// The same for a refusal.
    std::optional<rental_request> on_refused(const std::string &request);
    /// To be called when it is unknown whether the cloud has rented; the request is repeated later.
    void on_outcome_unknown(const std::string &request, time_point now);

    /// Calls visit(request) for each request that the cloud has not answered.
    template <class Visitor>
    void for_each_unanswered(Visitor visit) const;

  private:
    /// The durable record of one round.
    struct round_state {
        bool is_written = false, is_write_pending = false;
    };
    [[nodiscard]] std::string round_name(std::uint64_t number) const;
    /// Whether a later leader would still have to repeat the request.
    [[nodiscard]] bool is_open(tracked_rental &rental) const;

    model::cluster_state &state_;
    std::size_t record_bytes_;
    std::map<std::string, tracked_rental> rentals_; ///< By request name.
    std::map<std::string, round_state> rounds_;     ///< By record name.
    std::uint64_t request_counter_ = 0, round_counter_ = 0;
    std::optional<time_point> round_began_at_;
};

template <class Visitor>
void rental_requests::for_each_unanswered(Visitor visit) const {
    for (const auto &[name, rental] : rentals_)
        if (!rental.is_answered)
            visit(rental.request);
}

} // namespace spindlecroft::fleet
