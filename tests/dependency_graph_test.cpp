// Readiness and cancel propagation as a pure function of the known ends of predecessors.
#include "catalog/dependency_graph.hpp"
#include "fairness/chain_order.hpp"
#include "test_time.hpp"
#include <algorithm>
#include <gtest/gtest.h>

using namespace spindlecroft;
using namespace std::chrono_literals;
using catalog::dependency_graph;
using catalog::dependency_status;
using test::at;

namespace {

const catalog::predecessor_end done{job_state::done, at(10)};
const catalog::predecessor_end cancelled{job_state::cancelled, at(10)};

// Returns the graph harvest -> {tally, draft} -> publish.
dependency_graph diamond() {
    dependency_graph graph;
    graph.add("tally", {"harvest"});
    graph.add("draft", {"harvest"});
    graph.add("publish", {"tally", "draft"});
    return graph;
}

std::vector<std::string> sorted(std::vector<std::string> list) {
    std::sort(list.begin(), list.end());
    return list;
}

} // namespace

TEST(dependency_graph, a_job_is_ready_once_every_predecessor_is_done) {
    auto graph = diamond();
    EXPECT_EQ(graph.status_of("tally"), dependency_status::waiting);
    EXPECT_EQ(sorted(graph.note_end("harvest", done).ready),
              (std::vector<std::string>{"draft", "tally"}));
    EXPECT_TRUE(graph.note_end("tally", {job_state::done, at(20)}).ready.empty());
    EXPECT_EQ(graph.status_of("publish"), dependency_status::waiting);
    EXPECT_EQ(graph.note_end("draft", {job_state::done, at(15)}).ready,
              std::vector<std::string>{"publish"});
    EXPECT_EQ(graph.status_of("publish"), dependency_status::ready);
    EXPECT_EQ(graph.find("publish")->ready_at, at(20));
}

TEST(dependency_graph, a_repeated_end_counts_once) {
    auto graph = diamond();
    graph.note_end("tally", done);
    EXPECT_TRUE(graph.note_end("tally", done).ready.empty());
    EXPECT_EQ(graph.status_of("publish"), dependency_status::waiting);
}

TEST(dependency_graph, a_cancel_reaches_all_dependents_once) {
    auto graph = diamond();
    EXPECT_EQ(sorted(graph.note_end("harvest", cancelled).cancelled),
              (std::vector<std::string>{"draft", "publish", "tally"}));
    EXPECT_TRUE(graph.note_end("tally", cancelled).cancelled.empty());
    EXPECT_EQ(graph.status_of("publish"), dependency_status::cancelled);
}

TEST(dependency_graph, a_cancel_does_not_propagate_to_predecessors) {
    auto graph = diamond();
    EXPECT_EQ(graph.note_end("draft", cancelled).cancelled, std::vector<std::string>{"publish"});
    EXPECT_EQ(graph.status_of("tally"), dependency_status::waiting);
    EXPECT_EQ(graph.note_end("harvest", done).ready.size(), 2u);
}

TEST(dependency_graph, a_job_added_after_the_cancel_is_cancelled) {
    auto graph = diamond();
    graph.note_end("harvest", cancelled);
    graph.add("late", {"publish"});
    EXPECT_EQ(graph.status_of("late"), dependency_status::cancelled);
    graph.remove("publish");
    graph.add("later", {"late"});
    EXPECT_EQ(graph.status_of("later"), dependency_status::cancelled);
}

// Guards against a status that depends on the order in which the records are read.
TEST(dependency_graph, the_status_does_not_depend_on_the_order_of_reads) {
    using step = std::function<void(dependency_graph &)>;
    std::vector<step> steps{
        [](auto &graph) {
            graph.add("b", {"a"});
            // The caller passes on an end that it knows.
            graph.note_end("a", {job_state::cancelled, at(1)});
        },
        [](auto &graph) {
            graph.add("c", {"b", "x"});
        },
        [](auto &graph) { graph.add("d", {"c"}); },
        [](auto &graph) {
            graph.note_end("x", {job_state::done, at(1)});
        },
    };
    std::vector<std::size_t> order{0, 1, 2, 3};
    do {
        dependency_graph graph;
        for (auto i : order)
            steps[i](graph);
        EXPECT_EQ(graph.status_of("d"), dependency_status::cancelled);
        EXPECT_EQ(graph.status_of("b"), dependency_status::cancelled);
    } while (std::next_permutation(order.begin(), order.end()));
}

TEST(dependency_graph, a_cancel_propagates_along_a_chain_of_100000_jobs) {
    dependency_graph graph;
    constexpr int length = 100'000;
    for (int i = 1; i <= length; ++i)
        graph.add("job-" + std::to_string(i), {"job-" + std::to_string(i - 1)});
    auto all_active = [](const std::string &) { return true; };
    EXPECT_TRUE(graph.unresolved_for("job-" + std::to_string(length), all_active).empty());
    EXPECT_EQ(graph.note_end("job-0", cancelled).cancelled.size(),
              static_cast<std::size_t>(length));
}

TEST(dependency_graph, predecessors_neither_active_nor_ended_are_unresolved) {
    auto graph = diamond();
    auto active = [](const std::string &id) { return id != "harvest"; };
    EXPECT_EQ(graph.unresolved(active), std::set<std::string>{"harvest"});
    EXPECT_EQ(graph.unresolved_for("publish", active), std::set<std::string>{"harvest"});
    graph.note_end("harvest", done);
    EXPECT_TRUE(graph.unresolved(active).empty());
    EXPECT_TRUE(graph.unresolved_for("publish", active).empty());
}

TEST(dependency_graph, does_not_store_ends_of_jobs_without_dependents) {
    auto graph = diamond();
    graph.note_end("unrelated", done);
    EXPECT_EQ(graph.end_of("unrelated"), nullptr);
    graph.note_end("harvest", done);
    graph.remove("tally");
    EXPECT_NE(graph.end_of("harvest"), nullptr);
    graph.remove("draft");
    EXPECT_EQ(graph.end_of("harvest"), nullptr);
    EXPECT_TRUE(graph.dependents("harvest").empty());
}

TEST(chain_order, priority_and_due_times_are_inherited_by_predecessors) {
    auto graph = diamond();
    auto member = [](const std::string &id) -> std::optional<fairness::job_urgency> {
        fairness::job_urgency result;
        result.priority = id == "publish" ? priority_class::high : priority_class::low;
        result.duration = id == "tally" ? 30s : 10s;
        if (id == "publish")
            result.due = fairness::due_times{at(100), at(150)};
        return result;
    };
    auto from = fairness::inherit_urgency(graph, member);
    EXPECT_EQ(from.at("tally").due->first, at(90));
    EXPECT_EQ(from.at("draft").due->last, at(140));
    // Determined by the path through tally, which takes longer than draft.
    EXPECT_EQ(from.at("harvest").due->first, at(60));
    EXPECT_EQ(from.at("harvest").due->last, at(110));
    EXPECT_EQ(from.at("harvest").priority, priority_class::high);
    EXPECT_FALSE(from.count("publish"));
}

TEST(chain_order, ended_jobs_pass_nothing_on) {
    auto graph = diamond();
    auto member = [](const std::string &id) -> std::optional<fairness::job_urgency> {
        if (id == "publish")
            return {};
        return fairness::job_urgency{priority_class::low, {}, 10s};
    };
    EXPECT_EQ(fairness::inherit_urgency(graph, member).at("harvest").priority, priority_class::low);
    EXPECT_FALSE(fairness::inherit_urgency(graph, member).count("tally"));
}
