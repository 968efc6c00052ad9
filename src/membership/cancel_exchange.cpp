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
    if (auto i = known_.find(oldest.what.job);
        i != known_.end() && i->second == oldest.what.revision)
        known_.erase(i);
    entries_.pop_front();
}

void cancel_log::note(const cancel_notice &n) {
    auto [i, fresh] = known_.try_emplace(n.job, n.revision);
    if (!fresh && i->second >= n.revision)
        return;
    i->second = n.revision;
    entries_.push_back({++newest_, n});
    while (entries_.size() > most_)
        drop_oldest();
}

void cancel_log::forget_upto(std::uint64_t revision) {
    while (!entries_.empty() && entries_.front().what.revision <= revision)
        drop_oldest();
}

cancel_answer cancel_log::answer(const cancel_question &q) const {
    cancel_answer a;
    a.incarnation = incarnation_;
    a.after = q.incarnation == incarnation_ ? std::min(q.after, newest_) : 0;
    a.newest = newest_;
    auto first = entries_.empty() ? newest_ + 1 : entries_.front().number;
    if (a.after + 1 < first)
        a.given_up = dropped_revision_;
    a.upto = a.after;
    for (auto &e : entries_) {
        if (e.number <= a.after)
            continue;
        if (e.what.revision > q.revision) {
            if (a.entries.size() >= per_answer_)
                return a; // the rest with the next question
            a.entries.push_back(e.what);
        }
        a.upto = e.number;
    }
    a.upto = newest_;
    return a;
}

std::vector<cancel_notice> cancel_reader::take(const cancel_question &q, const cancel_answer &a,
                                               time_point sent_at) {
    bool same = a.incarnation == q.incarnation;
    if (q.incarnation != incarnation_ || q.after != after_)
        throw wire::malformed_message("cancels: an answer to an earlier question");
    if (a.incarnation.empty() || a.after != (same ? q.after : 0) || a.upto < a.after ||
        a.newest < a.upto) {
        incarnation_.clear(); // asked anew from the beginning
        after_ = 0;
        throw wire::malformed_message("cancels: the answer contradicts the question or itself");
    }
    incarnation_ = a.incarnation;
    after_ = a.upto;
    missing_ = std::max(missing_, a.given_up);
    // Guards against ran_cancelled: a controller that started anew and has not read the records, or
    // gave up entries, or has more to tell, can't speak for what was told to users before.
    if (a.loaded && missing_ <= q.revision && a.upto == a.newest) {
        known_until_ = std::max(known_until_, sent_at);
        if (a.read_age)
            durable_known_at_ =
                std::max(durable_known_at_,
                         sent_at - *a.read_age * (1 + 2 * c::clock_drift) - c::authority_margin);
    }
    return a.entries;
}

// Guards against ran_cancelled where the leader cannot read the key-value store: it would keep
// renewing the leases of tasks whose cancel another controller has accepted. In an outage nobody
// can accept a cancel, the others say so, and running work goes on.
time_point cancels_known_until(time_point now, time_point fresh_at,
                               const std::vector<const cancel_reader *> &readers) {
    // What any controller has read and told us counts like a read of our own.
    auto durable = fresh_at;
    for (auto *r : readers)
        durable = std::max(durable, r->durable_known_at());
    auto until = now;
    for (auto *r : readers)
        until = std::min(until, std::max(r->known_until(), durable));
    return std::max(until, durable);
}

bool may_renew(time_point now, time_point known_until, seconds lease_duration,
               seconds cancel_deadline) {
    auto blind = cancel_deadline - lease_duration * (1 + c::clock_drift) - c::blind_margin;
    return now - known_until < std::max(blind, c::blind_least);
}

} // namespace spindlecroft::membership
