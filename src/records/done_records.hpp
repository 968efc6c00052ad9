// Records of done tasks, which are kept until the job's ended record replaces them. Jobs share
// these records, because in the largest clusters one record per job would exceed the write rate
// that the key-value store allows.
#pragma once
#include "catalog/job.hpp"
#include "common/time.hpp"
#include "model/cluster_state.hpp"
#include "records/durable_write.hpp"
#include "records/record_names.hpp"
#include "settings/settings.hpp"
#include "wire/codec.hpp"
#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace spindlecroft::records {

// Assigns parts of jobs' tasks to records and writes the records that changed.
class done_records {
  public:
    // Both must outlive this.
    done_records(const settings::settings &settings, model::cluster_state &state)
        : settings_(settings), state_(state) {}

    // Loads a record of an earlier leader.
    void load(const std::string &name, const std::vector<wire::done_part> &parts);
    // Schedules the recording of a task that was reported as done.
    void note_done(catalog::job &job, std::uint32_t index, time_point now);
    // Appends the writes that are due, at most `max_writes`, and reduces `max_writes` by their
    // number.
    void take_writes(std::vector<durable_write> &out, time_point now, std::size_t &max_writes);
    void on_written(const durable_write &write, bool ok, time_point now);
    // Forgets the records whose jobs have all ended, and returns their keys for deletion.
    [[nodiscard]] std::vector<std::string> take_obsolete_keys();

  private:
    // A range of tasks_per_done_part tasks of a job that are recorded together.
    struct job_part {
        std::string job;
        std::uint32_t number = 0;
        // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 misreads a defaulted operator<=>.
        auto operator<=>(const job_part &) const = default;
    };
    enum class record_state {
        open,      // accepts further parts
        closed,    // accepts no further parts
        too_large, // can't be rewritten under the current limits
    };
    struct record {
        std::set<job_part> parts;
        std::size_t bytes = 0;
        record_state fill_state = record_state::open;
        bool write_pending = false;            // a write is in flight
        std::optional<time_point> dirty_since; // nullopt: fully written
    };
    struct dirty_record {
        time_point since{};
        std::string name;
        // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 misreads a defaulted operator<=>.
        auto operator<=>(const dirty_record &) const = default;
    };

    void load_part(const std::string &name, record &into, const wire::done_part &part);
    [[nodiscard]] std::string open_record_for(std::size_t bytes);
    // Assigns a part of the job to a record and returns the record's name.
    [[nodiscard]] std::string assign_record(const catalog::job &job, std::uint32_t part);
    [[nodiscard]] std::vector<dirty_record> writable_records(time_point now) const;
    // Returns nullopt if the record contains nothing new.
    [[nodiscard]] std::optional<durable_write> make_write(const std::string &name, record &written);
    void erase_ended_parts(record &from);
    void confirm(const catalog::task_ref &task);

    const settings::settings &settings_;
    model::cluster_state &state_;
    std::map<std::string, record> records_;
    std::string open_record_; // empty: none yet
    record_name_generator names_;
};

} // namespace spindlecroft::records
