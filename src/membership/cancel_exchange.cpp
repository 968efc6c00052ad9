#include "membership/cancel_exchange.hpp"
#include "constants.hpp"
#include "wire/codec.hpp"
#include <algorithm>

namespace spindlecroft::membership {

namespace c = constants;

cancel_log::cancel_log(std::string incarnation, std::size_t most, std::size_t per_answer)
    : incarnation_(std::move(incarnation)), max_entries_(most),
      max_entries_per_response_(per_answer) {}

void cancel_log::drop_oldest() {
    auto &oldest = entries_.front();
    dropped_revision_ = std::max(dropped_revision_, oldest.notice.revision);
    if (auto known = latest_revisions_.find(oldest.notice.job);
        known != latest_revisions_.end() && known->second == oldest.notice.revision)
        latest_revisions_.erase(known);
    entries_.pop_front();
}

void cancel_log::append(const cancel_notice &notice) {
    auto [known, added] = latest_revisions_.try_emplace(notice.job, notice.revision);
    if (!added && known->second >= notice.revision)
        return;
    known->second = notice.revision;
    entries_.push_back({++newest_sequence_, notice});
    while (entries_.size() > max_entries_)
        drop_oldest();
}

void cancel_log::drop_through(std::uint64_t revision) {
    while (!entries_.empty() && entries_.front().notice.revision <= revision)
        drop_oldest();
}

cancel_log_response cancel_log::respond(const cancel_log_request &question) const {
    cancel_log_response answer;
    answer.incarnation = incarnation_;
    answer.after_sequence = question.incarnation == incarnation_
                                ? std::min(question.after_sequence, newest_sequence_)
                                : 0;
    answer.newest_sequence = newest_sequence_;
    auto first = entries_.empty() ? newest_sequence_ + 1 : entries_.front().sequence;
    if (answer.after_sequence + 1 < first)
        answer.dropped_through_revision = dropped_revision_;
    answer.through_sequence = answer.after_sequence;
    for (auto &logged : entries_) {
        if (logged.sequence <= answer.after_sequence)
            continue;
        if (logged.notice.revision > question.revision) {
            if (answer.entries.size() >= max_entries_per_response_)
                return answer; // the rest with the next question
            answer.entries.push_back(logged.notice);
        }
        answer.through_sequence = logged.sequence;
    }
    answer.through_sequence = newest_sequence_;
    return answer;
}

std::vector<cancel_notice> cancel_log_reader::on_response(const cancel_log_request &question,
                                                          const cancel_log_response &answer,
                                                          time_point sent_at) {
    bool same_incarnation = answer.incarnation == question.incarnation;
    if (question.incarnation != incarnation_ || question.after_sequence != after_sequence_)
        throw wire::malformed_message("cancels: an answer to an earlier question");
    if (answer.incarnation.empty() ||
        answer.after_sequence != (same_incarnation ? question.after_sequence : 0) ||
        answer.through_sequence < answer.after_sequence ||
        answer.newest_sequence < answer.through_sequence) {
        incarnation_.clear(); // asked anew from the beginning
        after_sequence_ = 0;
        throw wire::malformed_message("cancels: the answer contradicts the question or itself");
    }
    incarnation_ = answer.incarnation;
    after_sequence_ = answer.through_sequence;
    missing_through_revision_ =
        std::max(missing_through_revision_, answer.dropped_through_revision);
    // Guards against ran_cancelled: a controller that started anew and has not read the records, or
    // gave up entries, or has more to tell, can't speak for what was told to users before.
    if (answer.records_loaded && missing_through_revision_ <= question.revision &&
        answer.through_sequence == answer.newest_sequence) {
        complete_until_ = std::max(complete_until_, sent_at);
        if (answer.read_age)
            durable_complete_until_ = std::max(
                durable_complete_until_,
                sent_at - *answer.read_age * (1 + 2 * c::max_clock_drift) - c::authority_margin);
    }
    return answer.entries;
}

// Guards against ran_cancelled where the leader cannot read the key-value store: it would keep
// renewing the leases of tasks whose cancel another controller has accepted. In an outage nobody
// can accept a cancel, the others say so, and running work goes on.
time_point cancels_complete_until(time_point now, time_point fresh_at,
                                  const std::vector<const cancel_log_reader *> &readers) {
    // What any controller has read and told us counts like a read of our own.
    auto durable = fresh_at;
    for (auto *reader : readers)
        durable = std::max(durable, reader->durable_complete_until());
    auto until = now;
    for (auto *reader : readers)
        until = std::min(until, std::max(reader->complete_until(), durable));
    return std::max(until, durable);
}

bool may_renew_lease(time_point now, time_point known_until, seconds lease_duration,
                     seconds cancel_deadline) {
    auto allowed =
        cancel_deadline - lease_duration * (1 + c::max_clock_drift) - c::cancel_delivery_margin;
    return now - known_until < std::max(allowed, c::min_cancel_silence);
}

} // namespace spindlecroft::membership
