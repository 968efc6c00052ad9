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

// What tells one offer of the cloud from another.
struct offer_key {
    std::string type, zone;
    bool spot = false;
    // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 misreads a defaulted operator<=>.
    auto operator<=>(const offer_key &) const = default;
};

[[nodiscard]] offer_key key_of(const planning::rental_offer &offer);
[[nodiscard]] offer_key key_of(const rental_request &request);

enum class price_class { on_demand, spot };

// Finds the cheapest offer for a task and remembers how the cloud answered requests for each offer.
class offer_catalog {
  public:
    explicit offer_catalog(const model::cluster_state &state) : state_(state) {}

    // The cheapest offer with room for a task of `spec`, sold-out and refused ones left out.
    // zones: the only zones allowed; null: all.
    [[nodiscard]] std::optional<planning::rental_offer> cheapest(const job_spec &spec,
                                                                 price_class prices,
                                                                 const std::set<std::string> *zones,
                                                                 time_point now) const;

    // How much longer work that may use spot instances waits before on-demand ones are rented for
    // it, as a ratio.
    [[nodiscard]] double on_demand_wait_ratio(const job_spec &spec) const;

    // The cloud gave fewer machines than requested, or none.
    void note_refused(const offer_key &offer, time_point now);
    // The cloud gave all machines that were requested.
    void note_fulfilled(const offer_key &offer);

    // Requests that the cloud has not answered yet, counted anew in each round of planning.
    void clear_pending() { pending_.clear(); }
    void add_pending(const offer_key &offer, int machines) { pending_[offer] += machines; }

  private:
    [[nodiscard]] bool may_request(const offer_key &offer, time_point now) const;

    const model::cluster_state &state_;
    std::map<offer_key, time_point> refused_until_;
    std::set<offer_key> sold_out_;     // the last answer was not all that was requested
    std::map<offer_key, int> pending_; // machines requested, not answered yet
};

} // namespace spindlecroft::fleet
