#include "store/committer.hpp"
#include "constants.hpp"
#include <algorithm>
#include <iterator>
#include <utility>

namespace spindlecroft::store {

namespace c = constants;
using net::awaitable;

namespace {

constexpr seconds idle_wait{1}; // longest wait for a notification while the queue is empty

} // namespace

committer::committer(net::asio::io_context &io, key_value_client &state,
                     const settings::settings &settings, std::string name)
    : state_(state), settings_(settings), name_(std::move(name)), unit_submitted_(io) {}

bool committer::is_full() const {
    return waiting_.size() >= c::max_queued_commits;
}

void committer::submit(write_unit unit) {
    if (stopping_ || is_known_too_large(unit)) {
        finish(unit, stopping_ ? write_outcome::unconfirmed : write_outcome::too_large);
        return;
    }
    waiting_.push_back(std::move(unit));
    unit_submitted_.notify();
}

void committer::stop() {
    stopping_ = true;
    unit_submitted_.notify();
}

awaitable<void> committer::run() {
    while (!stopping_) {
        drop_expired(waiting_, net::steady_now());
        if (waiting_.empty()) {
            co_await unit_submitted_.wait_for(idle_wait);
            continue;
        }
        co_await net::sleep_for(c::commit_batch_delay);
        auto chosen = choose_units(waiting_, settings_.txn_ops, c::max_txn_bytes);
        auto batch = take_units(waiting_, chosen);
        co_await send(std::move(batch));
    }
    write_batch left(std::make_move_iterator(waiting_.begin()),
                     std::make_move_iterator(waiting_.end()));
    waiting_.clear();
    finish(left, write_outcome::unconfirmed);
}

bool committer::may_write() const {
    return !stopping_ && (!fence || fence());
}

std::optional<transaction> committer::next_transaction(const write_batch &batch) const {
    std::optional<txn_condition> condition;
    if (fence) {
        condition = fence();
        if (!condition || stopping_)
            return std::nullopt;
    }
    return make_transaction(batch, revisions_, std::move(condition));
}

awaitable<void> committer::send(write_batch batch) {
    while (!batch.empty()) {
        auto next = next_transaction(batch);
        if (!next) {
            finish(batch, write_outcome::unconfirmed);
            co_return;
        }
        while (co_await send_once(*next, batch) == next_step::resend) {
        }
    }
}

awaitable<committer::next_step> committer::send_once(transaction &sent, write_batch &batch) {
    net::permission may_send = [this] { return may_write(); };
    auto answer =
        co_await state_.commit(sent.conditions, sent.ops, sent.priority, std::move(may_send));
    switch (answer.outcome) {
    case transaction_outcome::committed:
        handle_commit(batch, answer.revision);
        co_return next_step::build_next;
    case transaction_outcome::unknown:
        sent.outcome_unknown = true;
        co_await net::sleep_for(c::key_value_retry_delay);
        // Resending is safe: the conditions hold for at most one copy of the transaction.
        co_return retry_if_permitted(batch);
    case transaction_outcome::refused:
        co_await net::sleep_for(c::key_value_retry_delay);
        co_return handle_refusal(sent, batch);
    case transaction_outcome::rejected:
    case transaction_outcome::conflict:
        break;
    }
    if (co_await settled_by_earlier_copy(sent, batch))
        co_return next_step::build_next;
    if (answer.outcome == transaction_outcome::rejected)
        co_return handle_too_large(sent, answer.error, batch);
    std::set<std::string> failed(answer.failed.begin(), answer.failed.end());
    co_return co_await handle_conflict(sent, failed, batch);
}

committer::next_step committer::retry_if_permitted(write_batch &batch) {
    if (may_write())
        return next_step::resend;
    finish(batch, write_outcome::unconfirmed);
    return next_step::build_next;
}

void committer::handle_commit(write_batch &batch, std::uint64_t revision) {
    for (auto &unit : batch) {
        if (!unit.owns_keys)
            continue;
        for (auto &change : unit.ops)
            revisions_.note_committed(change, revision);
    }
    finish(batch, write_outcome::committed, revision);
}

// Halves the batch after a rate-limit refusal: a large transaction might otherwise never be
// admitted while small ones of other controllers use up the store's rate limit. A transaction that
// may have been executed is resent unchanged, since an identical copy is applied at most once.
committer::next_step committer::handle_refusal(const transaction &sent, write_batch &batch) {
    if (sent.outcome_unknown || !may_write())
        return retry_if_permitted(batch);
    drop_expired(batch, net::steady_now());
    sort_by_priority(batch);
    requeue_after(sent.units_kept_after_refusal, batch, waiting_);
    return next_step::build_next;
}

// Splits a batch that exceeds the store's size limits, which may shrink at any time. A single unit
// that is too large is rejected, and locally from then on, so that it isn't resent without end.
committer::next_step committer::handle_too_large(const transaction &sent, const std::string &error,
                                                 write_batch &batch) {
    if (batch.size() > 1) {
        requeue_after(sent.units_kept_after_refusal, batch, waiting_);
        return next_step::build_next;
    }
    remember_too_large(batch.front(), error);
    finish(batch, write_outcome::too_large);
    return next_step::build_next;
}

void committer::remember_too_large(const write_unit &unit, const std::string &error) {
    for (auto &change : unit.ops) {
        if (change.value.empty())
            continue;
        spdlog::error("{}: key-value store rejected the write of {} ({} bytes) as too large: {}",
                      name_, change.key, change.value.size(), error);
        too_large_[change.key] = change.value.size();
    }
}

bool committer::is_known_too_large(const write_unit &unit) const {
    return std::any_of(unit.ops.begin(), unit.ops.end(), [&](const txn_op &change) {
        auto refused = too_large_.find(change.key);
        return refused != too_large_.end() && change.value.size() >= refused->second;
    });
}

awaitable<committer::next_step> committer::handle_conflict(const transaction &sent,
                                                           const std::set<std::string> &failed,
                                                           write_batch &batch) {
    if (sent.fence && failed.count(sent.fence->key))
        co_return co_await handle_fence_failure(sent, batch);
    co_await drop_conflicting(sent.priority, failed, batch);
    co_return next_step::build_next;
}

awaitable<bool> committer::settled_by_earlier_copy(const transaction &sent, write_batch &batch) {
    if (!sent.outcome_unknown)
        co_return false;
    auto earlier = co_await find_earlier_copy(sent);
    if (!earlier) {
        finish(batch, write_outcome::unconfirmed);
        co_return true;
    }
    if (earlier->applied)
        handle_commit(batch, earlier->revision);
    co_return earlier->applied;
}

// Reads back one written value after an unknown outcome, since an earlier copy of this transaction
// may have changed the keys. A transaction is applied completely or not at all, so one key
// suffices.
awaitable<std::optional<committer::earlier_copy>>
committer::find_earlier_copy(const transaction &sent) {
    auto written = std::find_if(sent.ops.begin(), sent.ops.end(),
                                [](auto &change) { return !change.value.empty(); });
    if (written == sent.ops.end())
        co_return earlier_copy{true, 0}; // only deletions of keys that nobody else writes
    for (;;) {
        auto read = co_await state_.get(written->key, sent.priority);
        if (read) {
            bool applied = read->found && wire::json_equal(read->item.value, written->value);
            co_return earlier_copy{applied, applied ? read->item.revision : 0};
        }
        if (!may_write())
            co_return std::nullopt;
        co_await net::sleep_for(c::key_value_retry_delay);
    }
}

// Handles a failed fence condition: either this leader's fencing token was raised or the leadership
// ended. The owner of the fence is notified to find out; without that the same transaction would be
// retried without end.
awaitable<committer::next_step> committer::handle_fence_failure(const transaction &sent,
                                                                write_batch &batch) {
    if (on_fence_failed)
        on_fence_failed();
    co_await net::sleep_for(c::key_value_retry_delay);
    auto now = fence();
    if (!now) {
        finish(batch, write_outcome::unconfirmed);
        co_return next_step::build_next;
    }
    co_return now->revision != sent.fence->revision ? next_step::build_next : next_step::resend;
}

// Finishes the units whose conditions failed; the others are retried without them.
awaitable<void> committer::drop_conflicting(request_priority priority,
                                            const std::set<std::string> &failed,
                                            write_batch &batch) {
    auto conflicting = take_conflicting(failed, batch);
    if (conflicting.empty()) {
        finish(batch, write_outcome::conflict);
        co_return;
    }
    for (auto &unit : conflicting)
        for (auto &change : unit.ops)
            if (unit.owns_keys && failed.count(change.key))
                co_await read_revision(change.key, priority);
    finish(conflicting, write_outcome::conflict);
}

// Reads the revision of an owned key for the next attempt, since the known one was wrong.
awaitable<void> committer::read_revision(const std::string &key, request_priority priority) {
    auto read = co_await state_.get(key, priority);
    if (read && read->found)
        revisions_.set(key, read->item.revision);
    else if (read)
        revisions_.forget(key);
}

} // namespace spindlecroft::store
