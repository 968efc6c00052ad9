// Placement records: which attempt of a task is on which machine. A task is started only once its
// placement is durable.
//
// Jobs share these records, which are filled one after another, so that a planning round costs one
// write to the key-value store regardless of the number of jobs.
#pragma once
#include "catalog/job.hpp"
#include "common/time.hpp"
#include "model/cluster_state.hpp"
#include "records/durable_write.hpp"
#include "records/record_names.hpp"
#include "settings/settings.hpp"
#include "wire/codec.hpp"
#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace spindlecroft::records {

// Collects new attempts into records and handles the results of their writes.
class placement_records {
  public:
    // Both must outlive this.
    placement_records(const settings::settings &settings, model::cluster_state &state)
        : settings_(settings), state_(state) {}

    // Loads a record of an earlier leader.
    void load(const std::string &name, const std::vector<wire::placed_task> &tasks, time_point now);
    // Queues the current attempt of the task for a durable placement.
    void add(const catalog::task_ref &task, job_shape shape);
    // Appends the writes that can be made now.
    void take_writes(std::vector<durable_write> &out, time_point now);
    void on_written(const durable_write &write, bool ok, time_point now);
    // Forgets the records whose attempts have all ended, and returns their keys for deletion.
    [[nodiscard]] std::vector<std::string> take_obsolete_keys();

  private:
    struct record {
        std::vector<wire::placed_task> tasks;
        bool write_pending = false; // a write is in flight
        bool accepts_placements = true;
    };
    // Services run for long, so they don't share records with arrays, whose records can then be
    // deleted earlier.
    enum class task_group { arrays, services };
    struct queue {
        std::deque<catalog::task_ref> waiting; // attempts that no record contains yet
        std::string open_record;               // empty: none
    };
    // A write that is being assembled, with the size of the record that it extends.
    struct draft {
        durable_write write;
        std::set<std::string> jobs; // jobs in its conditions
        std::size_t bytes = 0;      // of the record
        bool full = false;          // the next placement didn't fit
    };
    // What to do with a waiting attempt while a write is assembled.
    enum class fill_decision {
        include,
        postpone,    // leave it for a later write
        discard,     // it needs no record any more
        record_full, // the next record takes it
    };

    void load_placement(record &into, const wire::placed_task &task, time_point now);
    void take_writes_of(task_group group, std::vector<durable_write> &out, time_point now);
    [[nodiscard]] record &open_record(queue &from);
    [[nodiscard]] draft begin_draft(const std::string &name, record &extended);
    void fill(draft &filled, record &extended, queue &from, time_point now);
    [[nodiscard]] fill_decision decide(const draft &filled, const catalog::task_ref &task,
                                       time_point now);
    [[nodiscard]] wire::placed_task placement_of(const catalog::task_ref &task) const;
    void include_placement(draft &filled, record &extended, const catalog::task_ref &task);
    void erase_ended_tasks(record &from);
    void confirm(const placed_attempt &placed, bool ok, time_point now);
    [[nodiscard]] queue &queue_of(task_group group);
    // Returns the largest number of jobs in one write: each takes a condition.
    [[nodiscard]] std::size_t max_jobs_per_write() const;
    [[nodiscard]] std::size_t max_record_size() const;
    // Returns the least time between two writes of array placements.
    [[nodiscard]] seconds write_interval() const;

    const settings::settings &settings_;
    model::cluster_state &state_;
    std::map<std::string, record> records_;
    queue arrays_;
    queue services_;
    record_name_generator names_;
    std::optional<time_point> next_array_write_;
};

} // namespace spindlecroft::records
