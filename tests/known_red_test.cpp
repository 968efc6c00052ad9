// The list of known failing tests: CI must exclude exactly the tests that the list names by their
// whole names, and must reject a malformed line, which could otherwise hide a failing test or leave
// out how to reproduce it.
#include <array>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <gtest/gtest.h>
#include <sys/wait.h>
#include <unistd.h>

namespace {

struct script_result {
    int status = 0;
    std::string pattern;
};

script_result run_known_red(const std::string &file_text) {
    auto path = testing::TempDir() + "known-red-" + std::to_string(getpid());
    std::ofstream(path) << file_text;
    auto command = "printf 'a.b\\na.bc\\nseeds/w.x/1\\nc.d\\ne.f\\n' | bash " SPINDLECROFT_CI
                   "/known_red " +
                   path + " 2> /dev/null";
    script_result result;
    auto *pipe = popen(command.c_str(), "r");
    std::array<char, 256> part{};
    while (std::fgets(part.data(), part.size(), pipe))
        result.pattern += part.data();
    result.status = WEXITSTATUS(pclose(pipe));
    std::remove(path.c_str());
    return result;
}

} // namespace

TEST(known_red, matches_only_whole_names_of_listed_tests) {
    auto none = run_known_red("# a comment\n\n");
    EXPECT_EQ(none.status, 0);
    EXPECT_EQ(none.pattern, "");
    auto two = run_known_red("a.b | ctest -R a.b, seed 3 | a lost task | issue 7\n"
                             "seeds/w.x/1 | run x, seed 1 | a violation | 8\n");
    EXPECT_EQ(two.status, 0);
    EXPECT_EQ(two.pattern, "^a\\.b$|^seeds\\/w\\.x\\/1$");
}

TEST(known_red, rejects_malformed_lines) {
    EXPECT_EQ(run_known_red("a.b | run, seed 1 | seen | 7\n").status, 0);
    EXPECT_NE(run_known_red("a.b | run, seed 1 | seen | no issue\n").status, 0);
    EXPECT_NE(run_known_red("a.b | run, seed 1 | seen\n").status, 0);
    EXPECT_NE(run_known_red("a.b | run, seed 1 | 7\n").status, 0);
    EXPECT_NE(run_known_red("a.b | no issue\n").status, 0);
    EXPECT_NE(run_known_red("a.b\n").status, 0);
    EXPECT_NE(run_known_red("a.b | run, seed 1 | seen | 7 | 8\n").status, 0);
}

TEST(known_red, rejects_empty_fields) {
    EXPECT_NE(run_known_red(" | run, seed 1 | seen | 7\n").status, 0);
    EXPECT_NE(run_known_red("a.b | | seen | 7\n").status, 0);
    EXPECT_NE(run_known_red("a.b | run, seed 1 | | 7\n").status, 0);
    EXPECT_NE(run_known_red("a.b | run, seed 1 | seen |\n").status, 0);
    EXPECT_NE(run_known_red("a.b || seen | 7\n").status, 0);
}

TEST(known_red, rejects_unknown_tests) {
    EXPECT_NE(run_known_red("a.x | run, seed 1 | seen | 7\n").status, 0);
    EXPECT_NE(run_known_red("a | run, seed 1 | seen | 7\n").status, 0);
}

TEST(known_red, accepts_more_than_three_entries) {
    auto four = run_known_red("a.b | run | seen | 1\na.bc | run | seen | 1\n"
                              "c.d | run | seen | 1\ne.f | run | seen | 1\n");
    EXPECT_EQ(four.status, 0);
    EXPECT_EQ(four.pattern, "^a\\.b$|^a\\.bc$|^c\\.d$|^e\\.f$");
}
