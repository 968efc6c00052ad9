// The list of tests that CI passes over: only what it names, by full name, three at most.
#include <array>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <gtest/gtest.h>
#include <sys/wait.h>
#include <unistd.h>

namespace {

struct outcome {
    int status = 0;
    std::string pattern;
};

outcome known_red(const std::string &file_text) {
    auto path = testing::TempDir() + "known-red-" + std::to_string(getpid());
    std::ofstream(path) << file_text;
    auto command = "printf 'a.b\\na.bc\\nseeds/w.x/1\\nc.d\\ne.f\\n' | bash " SPINDLECROFT_CI
                   "/known_red " +
                   path + " 2> /dev/null";
    outcome o;
    auto *pipe = popen(command.c_str(), "r");
    std::array<char, 256> part{};
    while (std::fgets(part.data(), part.size(), pipe))
        o.pattern += part.data();
    o.status = WEXITSTATUS(pclose(pipe));
    std::remove(path.c_str());
    return o;
}

} // namespace

TEST(known_red, names_whole_tests_and_no_others) {
    auto none = known_red("# nothing\n\n");
    EXPECT_EQ(none.status, 0);
    EXPECT_EQ(none.pattern, "");
    auto two = known_red("a.b | some cause | issue 7\nseeds/w.x/1 | another | 8\n");
    EXPECT_EQ(two.status, 0);
    EXPECT_EQ(two.pattern, "^a\\.b$|^seeds\\/w\\.x\\/1$");
}

TEST(known_red, refuses_what_it_must) {
    EXPECT_NE(known_red("a.x | no such test | 7\n").status, 0);
    EXPECT_NE(known_red("a.b | no issue\n").status, 0);
    EXPECT_NE(known_red("a.b\n").status, 0);
    EXPECT_EQ(known_red("a.b | x | 1\na.bc | x | 1\nc.d | x | 1\n").status, 0);
    EXPECT_NE(known_red("a.b | x | 1\na.bc | x | 1\nc.d | x | 1\ne.f | x | 1\n").status, 0);
}
