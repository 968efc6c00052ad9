#include "store/batch.hpp"
#include <algorithm>
#include <numeric>
#include <utility>

namespace spindlecroft::store {

namespace {

// Bytes that an operation adds to a transaction besides its key and value.
constexpr std::size_t op_overhead = 64;
// Conditions that the store accepts in a transaction for each of its operations.
constexpr std::size_t conditions_per_op = 4;

std::size_t bytes_of(const write_unit &unit) {
    std::size_t bytes = 0;
    for (auto &change : unit.ops)
        bytes += change.key.size() + change.value.size() + op_overhead;
    return bytes;
}

// Returns an upper bound: keys that the unit owns become conditions too.
std::size_t conditions_of(const write_unit &unit) {
    return unit.conditions.size() + unit.ops.size();
}

// Collects the queue positions of the units that fit into one transaction.
class selection {
  public:
    selection(int max_ops, std::size_t max_bytes)
        : max_ops_(max_ops), max_bytes_(max_bytes),
          max_conditions_(conditions_per_op * static_cast<std::size_t>(max_ops)) {}

    [[nodiscard]] bool empty() const { return chosen_.empty(); }
    [[nodiscard]] bool full() const { return ops_ >= max_ops_; }
    [[nodiscard]] bool has_room_for(const write_unit &unit) const {
        return ops_ + static_cast<int>(unit.ops.size()) <= max_ops_ &&
               bytes_ + bytes_of(unit) <= max_bytes_ &&
               conditions_ + conditions_of(unit) <= max_conditions_;
    }
    // Returns whether a selected unit writes a key of this unit: no other unit of a transaction may
    // write it or have a condition on it.
    [[nodiscard]] bool writes_key_of(const write_unit &unit) const {
        auto written = [&](auto &touched) { return written_.count(touched.key) > 0; };
        return std::any_of(unit.ops.begin(), unit.ops.end(), written) ||
               std::any_of(unit.conditions.begin(), unit.conditions.end(), written);
    }
    void add(std::size_t position, const write_unit &unit) {
        for (auto &change : unit.ops)
            written_.insert(change.key);
        chosen_.push_back(position);
        ops_ += static_cast<int>(unit.ops.size());
        bytes_ += bytes_of(unit);
        conditions_ += conditions_of(unit);
    }
    [[nodiscard]] std::vector<std::size_t> chosen() const { return chosen_; }

  private:
    int max_ops_;
    std::size_t max_bytes_, max_conditions_;
    std::vector<std::size_t> chosen_;
    std::set<std::string> written_;
    int ops_ = 0;
    std::size_t bytes_ = 0;
    std::size_t conditions_ = 1; // one for the fence
};

std::vector<std::size_t> positions_by_priority(const std::deque<write_unit> &waiting) {
    std::vector<std::size_t> positions(waiting.size());
    std::iota(positions.begin(), positions.end(), std::size_t{0});
    std::stable_sort(positions.begin(), positions.end(), [&](auto left, auto right) {
        return waiting[left].priority < waiting[right].priority;
    });
    return positions;
}

bool conflicts(const write_unit &unit, const std::set<std::string> &failed_keys) {
    auto failed = [&](auto &touched) { return failed_keys.count(touched.key) > 0; };
    return std::any_of(unit.conditions.begin(), unit.conditions.end(), failed) ||
           (unit.owns_keys && std::any_of(unit.ops.begin(), unit.ops.end(), failed));
}

} // namespace

std::vector<std::size_t> choose_units(const std::deque<write_unit> &waiting, int max_ops,
                                      std::size_t max_bytes) {
    selection selected(max_ops, max_bytes);
    auto positions = positions_by_priority(waiting);
    for (auto position : positions) {
        auto &unit = waiting[position];
        // Background units don't enlarge a transaction that carries more urgent ones.
        if (unit.priority == request_priority::background && !selected.empty() &&
            waiting[positions.front()].priority != request_priority::background)
            break;
        if (!selected.empty() && !selected.has_room_for(unit))
            continue;
        if (selected.writes_key_of(unit))
            continue;
        selected.add(position, unit);
        if (selected.full())
            break;
    }
    auto chosen = selected.chosen();
    std::sort(chosen.begin(), chosen.end());
    return chosen;
}

write_batch take_units(std::deque<write_unit> &waiting, const std::vector<std::size_t> &chosen) {
    write_batch batch;
    // Erases from the end, so that the remaining positions stay valid.
    // NOLINTNEXTLINE(modernize-loop-convert): clang 14 does not compile std::views::reverse.
    for (auto position = chosen.rbegin(); position != chosen.rend(); ++position) {
        batch.push_back(std::move(waiting[*position]));
        waiting.erase(waiting.begin() + static_cast<std::ptrdiff_t>(*position));
    }
    std::reverse(batch.begin(), batch.end());
    return batch;
}

void finish(const write_unit &unit, write_outcome outcome, std::uint64_t revision) {
    if (unit.on_outcome)
        unit.on_outcome(outcome, revision);
}

void finish(write_batch &batch, write_outcome outcome, std::uint64_t revision) {
    for (auto &unit : std::exchange(batch, {}))
        finish(unit, outcome, revision);
}

void sort_by_priority(write_batch &batch) {
    std::stable_sort(batch.begin(), batch.end(),
                     [](auto &left, auto &right) { return left.priority < right.priority; });
}

void requeue_after(std::size_t kept, write_batch &batch, std::deque<write_unit> &waiting) {
    while (batch.size() > kept) {
        waiting.push_front(std::move(batch.back()));
        batch.pop_back();
    }
}

write_batch take_conflicting(const std::set<std::string> &failed_keys, write_batch &batch) {
    write_batch taken;
    write_batch left;
    for (auto &unit : std::exchange(batch, {}))
        (conflicts(unit, failed_keys) ? taken : left).push_back(std::move(unit));
    batch = std::move(left);
    return taken;
}

} // namespace spindlecroft::store
