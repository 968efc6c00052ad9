// Requests for machines, from the intent to the moment when the cloud lists what it rented.
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

// One request to the cloud and how far it has come.
struct tracked_rental {
    rental_request request;
    std::string round;                 // the record that names it
    time_point requested_at{};         // when the intent arose
    bool is_durable = false;           // the name is written: the cloud may be asked
    bool is_call_pending = false;      // a call to the cloud is under way
    bool is_answered = false;          // machines are known
    std::vector<std::string> machines; // not yet listed
    time_point retry_at{};
};

// A change of one round's durable record.
struct rental_record_change {
    std::string round;
    std::optional<wire::rental_record> record; // nothing: the record is dropped
};

enum class rental_record_outcome { failed, written, dropped };

// Names each request durably before the cloud is asked, so that a later leader asks again under the
// same name instead of renting as many machines once more. All requests of a round of planning
// share a record, as far as it holds.
class rental_requests {
  public:
    // record_bytes: the largest record that may be written.
    rental_requests(model::cluster_state &state, std::size_t record_bytes)
        : state_(state), record_bytes_(record_bytes) {}

    // A record of an earlier leader. The cloud is asked once more, and tells the machines' names.
    void load(const std::string &round, const wire::rental_record &record, time_point now);
    // Wishes of one round for the same kind of machine share a request.
    void add(const planning::rental_offer &offer, int count, time_point now);

    // --- durable records ---
    // Rounds to be written, and rounds to be dropped since every machine is in a list, or gone.
    [[nodiscard]] std::vector<rental_record_change> take_record_changes();
    void on_record_written(const std::string &round, rental_record_outcome outcome);

    // --- the cloud ---
    // Requests that are durable and should be sent to the cloud now.
    [[nodiscard]] std::vector<rental_request> take_requests(time_point now);
    // Each returns what was requested; nothing: the request is not known any more.
    std::optional<rental_request>
    on_rented(const std::string &request, const std::vector<std::string> &machines, time_point now);
    std::optional<rental_request> on_refused(const std::string &request);
    // No clear answer came: the request is sent again later.
    void on_outcome_unknown(const std::string &request, time_point now);

    // Calls visit(request) for each request that the cloud has not answered.
    template <class Visitor>
    void for_each_unanswered(Visitor visit) const;

  private:
    struct round_state {
        bool written = false, busy = false;
    };
    [[nodiscard]] std::string round_name(std::uint64_t number) const;
    [[nodiscard]] bool is_open(tracked_rental &rental) const;

    model::cluster_state &state_;
    std::size_t record_bytes_;
    std::map<std::string, tracked_rental> rentals_; // by the request's name
    std::map<std::string, round_state> rounds_;     // by the record's name
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
