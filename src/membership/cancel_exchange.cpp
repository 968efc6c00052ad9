#include "membership/cancel_exchange.hpp"
#include "constants.hpp"
#include "wire/codec.hpp"
#include <algorithm>

namespace spindlecroft::membership {

namespace c = constants;

cancel_log::cancel_log(std::string incarnation, std::size_t most, std::size_t per_answer)
    : incarnation_(std::move(incarnation)), most_(most), per_answer_(per_answer) {}

void cancel_log::drop_oldest() {
    auto &oldest = entries_.front();
    dropped_revision_ = std::max(dropped_revision_, oldest.what.revision);
    if (auto known = known_.find(oldest.what.job);
        known != known_.end() && known->second == oldest.what.revision)
        known_.erase(known);
    entries_.pop_front();
}

void cancel_log::note(const cancel_notice &notice) {
    auto [known, added] = known_.try_emplace(notice.job, notice.revision);
    if (!added && known->second >= notice.revision)
        return;
    known->second = notice.revision;
    entries_.push_back({++newest_, notice});
    while (entries_.size() > most_)
        drop_oldest();
}

void cancel_log::forget_upto(std::uint64_t revision) {
    while (!entries_.empty() && entries_.front().what.revision <= revision)
        drop_oldest();
}

cancel_answer cancel_log::answer(const cancel_question &question) const {
    cancel_answer answer;
    answer.incarnation = incarnation_;
    answer.after = question.incarnation == incarnation_ ? std::min(question.after, newest_) : 0;
    answer.newest = newest_;
    auto first = entries_.empty() ? newest_ + 1 : entries_.front().number;
    if (answer.after + 1 < first)
        answer.given_up = dropped_revision_;
    answer.upto = answer.after;
    for (auto &logged : entries_) {
        if (logged.number <= answer.after)
            continue;
        if (logged.what.revision > question.revision) {
            if (answer.entries.size() >= per_answer_)
                return answer; // the rest with the next question
            answer.entries.push_back(logged.what);
        }
        answer.upto = logged.number;
    }
    answer.upto = newest_;
    return answer;
}

std::vector<cancel_notice> cancel_reader::take(const cancel_question &question,
                                               const cancel_answer &answer, time_point sent_at) {
    bool same_incarnation = answer.incarnation == question.incarnation;
    if (question.incarnation != incarnation_ || question.after != after_)
        throw wire::malformed_message("cancels: an answer to an earlier question");
    if (answer.incarnation.empty() || answer.after != (same_incarnation ? question.after : 0) ||
        answer.upto < answer.after || answer.newest < answer.upto) {
        incarnation_.clear(); // asked anew from the beginning
        after_ = 0;
        throw wire::malformed_message("cancels: the answer contradicts the question or itself");
    }
    incarnation_ = answer.incarnation;
    after_ = answer.upto;
    missing_ = std::max(missing_, answer.given_up);
    // Guards against ran_cancelled: a controller that started anew and has not read the records, or
    // gave up entries, or has more to tell, can't speak for what was told to users before.
    if (answer.loaded && missing_ <= question.revision && answer.upto == answer.newest) {
        known_until_ = std::max(known_until_, sent_at);
        if (answer.read_age)
            durable_known_at_ = std::max(durable_known_at_,
                                         sent_at - *answer.read_age * (1 + 2 * c::max_clock_drift) -
                                             c::authority_margin);
    }
    return answer.entries;
}

// Guards against ran_cancelled where the leader cannot read the key-value store: it would keep
// renewing the leases of tasks whose cancel another controller has accepted. In an outage nobody
// can accept a cancel, the others say so, and running work goes on.
time_point cancels_known_until(time_point now, time_point fresh_at,
                               const std::vector<const cancel_reader *> &readers) {
    // What any controller has read and told us counts like a read of our own.
    auto durable = fresh_at;
    for (auto *reader : readers)
        durable = std::max(durable, reader->durable_known_at());
    auto until = now;
    for (auto *reader : readers)
        until = std::min(until, std::max(reader->known_until(), durable));
    return std::max(until, durable);
}

bool may_renew(time_point now, time_point known_until, seconds lease_duration,
               seconds cancel_deadline) {
    auto allowed =
        cancel_deadline - lease_duration * (1 + c::max_clock_drift) - c::cancel_delivery_margin;
    return now - known_until < std::max(allowed, c::min_cancel_silence);
}

} // namespace spindlecroft::membership
