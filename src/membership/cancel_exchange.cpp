#include "membership/cancel_exchange.hpp"
#include "constants.hpp"
#include "wire/codec.hpp"
#include <algorithm>

namespace spindlecroft::membership {

namespace c = constants;

cancel_log::cancel_log(std::string incarnation, std::size_t max_entries,
                       std::size_t max_entries_per_response)
    : incarnation_(std::move(incarnation)), max_entries_(max_entries),
      max_entries_per_response_(max_entries_per_response) {}

void cancel_log::drop_oldest() {
    auto &oldest = entries_.front();
    dropped_revision_ = std::max(dropped_revision_, oldest.notice.revision);
    if (auto found = latest_revisions_.find(oldest.notice.job);
        found != latest_revisions_.end() && found->second == oldest.notice.revision)
        latest_revisions_.erase(found);
    entries_.pop_front();
}

void cancel_log::append(const cancel_notice &notice) {
    auto [found, added] = latest_revisions_.try_emplace(notice.job, notice.revision);
    if (!added && found->second >= notice.revision)
        return;
    found->second = notice.revision;
    entries_.push_back({++newest_sequence_, notice});
    while (entries_.size() > max_entries_)
        drop_oldest();
}

void cancel_log::drop_through(std::uint64_t revision) {
    while (!entries_.empty() && entries_.front().notice.revision <= revision)
        drop_oldest();
}

cancel_log_response cancel_log::respond(const cancel_log_request &request) const {
    cancel_log_response response;
    response.incarnation = incarnation_;
    response.after_sequence = request.incarnation == incarnation_
                                  ? std::min(request.after_sequence, newest_sequence_)
                                  : 0;
    response.newest_sequence = newest_sequence_;
    auto first = entries_.empty() ? newest_sequence_ + 1 : entries_.front().sequence;
    if (response.after_sequence + 1 < first)
        response.dropped_through_revision = dropped_revision_;
    response.through_sequence = response.after_sequence;
    for (auto &entry : entries_) {
        if (entry.sequence <= response.after_sequence)
            continue;
        if (entry.notice.revision > request.revision) {
            if (response.entries.size() >= max_entries_per_response_)
                return response; // the rest follows with the next request
            response.entries.push_back(entry.notice);
        }
        response.through_sequence = entry.sequence;
    }
    response.through_sequence = newest_sequence_;
    return response;
}

std::vector<cancel_notice> cancel_log_reader::on_response(const cancel_log_request &request,
                                                          const cancel_log_response &response,
                                                          time_point sent_at) {
    bool same_incarnation = response.incarnation == request.incarnation;
    if (request.incarnation != incarnation_ || request.after_sequence != after_sequence_)
        throw wire::malformed_message("cancel log: response to an earlier request");
    if (response.incarnation.empty() ||
        response.after_sequence != (same_incarnation ? request.after_sequence : 0) ||
        response.through_sequence < response.after_sequence ||
        response.newest_sequence < response.through_sequence) {
        incarnation_.clear(); // the next request starts from the beginning
        after_sequence_ = 0;
        throw wire::malformed_message("cancel log: response contradicts the request or itself");
    }
    incarnation_ = response.incarnation;
    after_sequence_ = response.through_sequence;
    missing_through_revision_ =
        std::max(missing_through_revision_, response.dropped_through_revision);
    // A task of a cancelled job must not keep running or start. A controller that has restarted and
    // not yet read the records, has dropped entries or has further entries to send may have
    // confirmed cancellations that this response lacks, so the response does not advance
    // complete_until_.
    if (response.records_loaded && missing_through_revision_ <= request.revision &&
        response.through_sequence == response.newest_sequence) {
        complete_until_ = std::max(complete_until_, sent_at);
        if (response.read_age)
            durable_complete_until_ = std::max(
                durable_complete_until_,
                sent_at - *response.read_age * (1 + 2 * c::max_clock_drift) - c::authority_margin);
    }
    return response.entries;
}

// A leader that cannot read the key-value store would otherwise keep renewing the leases of tasks
// whose cancellation another controller has confirmed, and tasks of a cancelled job would keep
// running. When the store is down for every controller, none can confirm a cancellation; their
// responses show that, and running tasks keep their leases.
time_point cancels_complete_until(time_point now, time_point fresh_at,
                                  const std::vector<const cancel_log_reader *> &readers) {
    // A read of the store by any controller that has passed on its entries counts like a read by
    // this one.
    auto durable = fresh_at;
    for (auto *reader : readers)
        durable = std::max(durable, reader->durable_complete_until());
    auto until = now;
    for (auto *reader : readers)
        until = std::min(until, std::max(reader->complete_until(), durable));
    return std::max(until, durable);
}

bool may_renew_lease(time_point now, time_point complete_until, seconds lease_duration,
                     seconds cancel_deadline) {
    auto allowed =
        cancel_deadline - lease_duration * (1 + c::max_clock_drift) - c::cancel_delivery_margin;
    return now - complete_until < std::max(allowed, c::min_cancel_silence);
}

} // namespace spindlecroft::membership
