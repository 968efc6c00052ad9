// The cloud's offers: which machines can be rented, at what price, and which are sold out.
#pragma once
#include "common/time.hpp"
#include "model/cluster_state.hpp"
#include "planning/bidder.hpp"
#include "planning/placement_rules.hpp"
#include "planning/rental_offer.hpp"
#include "wire/types.hpp"
#include <compare>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace spindlecroft::fleet {

/// Identifies an offer of the cloud.
struct offer_key {
    std::string type, zone;
    bool spot = false;
    // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 misreads a defaulted operator<=>.
    auto operator<=>(const offer_key &) const = default;
};

[[nodiscard]] offer_key key_of(const planning::rental_offer &offer);
[[nodiscard]] offer_key key_of(const rental_request &request);

/// Whether an offer is for an on-demand machine or a spot instance.
enum class price_class { on_demand, spot };

/// Finds the cheapest offer for a task and remembers how the cloud answered requests for each
/// offer.
class offer_catalog {
  public:
    explicit offer_catalog(const model::cluster_state &state) : state_(state) {}

    /// Returns the cheapest offer that fits a task of `spec`, except those refused recently or sold
    /// out. zones: the allowed zones; null allows all.
    [[nodiscard]] std::optional<planning::rental_offer> cheapest(const job_spec &spec,
                                                                 price_class prices,
                                                                 const std::set<std::string> *zones,
                                                                 time_point now) const;

    /// The factor by which work that may use spot instances waits longer before on-demand machines
    /// are rented for it.
    [[nodiscard]] double on_demand_wait_ratio(const job_spec &spec) const;

    /// To be called when the cloud rented fewer machines than requested, or none.
    void note_refused(const offer_key &offer, time_point now);
    /// To be called when the cloud rented all requested machines.
    void note_fulfilled(const offer_key &offer);

    // Machines in unanswered requests, counted again in each planning round.
    void clear_pending() { pending_.clear(); }
    void add_pending(const offer_key &offer, int machines) { pending_[offer] += machines; }

  private:
    [[nodiscard]] bool may_request(const offer_key &offer, time_point now) const;

    const model::cluster_state &state_;
    std::map<offer_key, time_point> refused_until_;
    std::set<offer_key> sold_out_;     ///< Offers whose last request was not filled.
    std::map<offer_key, int> pending_; ///< Machines in unanswered requests.
};

} // namespace spindlecroft::fleet
