// The names of enumerations' values on the wire: each can be parsed again, and none is used twice.
#include "wire/names.hpp"
#include <gtest/gtest.h>
#include <set>

namespace spindlecroft::wire {
namespace {

template <class Enum, std::size_t Size>
void expect_bijection(const name_table<Enum, Size> &table) {
    std::set<Enum> values;
    std::set<std::string_view> names;
    for (const auto &entry : table.entries) {
        EXPECT_TRUE(values.insert(entry.value).second) << entry.name;
        EXPECT_TRUE(names.insert(entry.name).second) << entry.name;
        EXPECT_EQ(table.name_of(entry.value), entry.name);
        EXPECT_EQ(table.value_of(entry.name), entry.value);
    }
    EXPECT_EQ(table.value_of("no such name"), std::nullopt);
}

TEST(wire_names, each_table_is_a_bijection) {
    expect_bijection(job_state_names);
    expect_bijection(job_shape_names);
    expect_bijection(priority_names);
    expect_bijection(command_names);
    expect_bijection(task_state_names);
    expect_bijection(exit_cause_names);
    expect_bijection(machine_state_names);
    EXPECT_EQ(task_state_names.value_of(task_waiting_name), std::nullopt);
}

TEST(wire_names, values_that_are_never_sent_have_no_name) {
    EXPECT_EQ(exit_cause_names.name_of(exit_cause::none), "");
    EXPECT_EQ(machine_state_names.name_of(machine_state::booting), "");
}

} // namespace
} // namespace spindlecroft::wire
