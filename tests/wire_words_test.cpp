// Each enumeration's words on the wire can be read back, and none stands twice.
#include "wire/words.hpp"
#include <gtest/gtest.h>
#include <set>

namespace spindlecroft::wire {
namespace {

template <class Enum, std::size_t Size>
void expect_bijection(const word_table<Enum, Size> &table) {
    std::set<Enum> values;
    std::set<std::string_view> words;
    for (const auto &entry : table.entries) {
        EXPECT_TRUE(values.insert(entry.value).second) << entry.word;
        EXPECT_TRUE(words.insert(entry.word).second) << entry.word;
        EXPECT_EQ(table.word(entry.value), entry.word);
        EXPECT_EQ(table.value(entry.word), entry.value);
    }
    EXPECT_EQ(table.value("no such word"), std::nullopt);
}

TEST(wire_words, each_table_is_a_bijection) {
    expect_bijection(job_state_words);
    expect_bijection(job_shape_words);
    expect_bijection(priority_words);
    expect_bijection(command_words);
    expect_bijection(task_state_words);
    expect_bijection(exit_cause_words);
    expect_bijection(machine_state_words);
    EXPECT_EQ(task_state_words.value(task_waiting_word), std::nullopt);
}

TEST(wire_words, values_that_never_travel_have_no_word) {
    EXPECT_EQ(exit_cause_words.word(exit_cause::none), "");
    EXPECT_EQ(machine_state_words.word(machine_state::booting), "");
}

} // namespace
} // namespace spindlecroft::wire
