// Every kept trace is replayed and compared exactly. To write a new one, put down the commands, run
// with SPINDLECROFT_RECORD=1, and read what was recorded before keeping it.
#include "trace_runner.hpp"
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>
#include <sstream>

namespace fs = std::filesystem;

class kept_trace : public testing::TestWithParam<std::string> {};

TEST_P(kept_trace, replays_exactly) {
    fs::path path = fs::path(SPINDLECROFT_TRACES) / (GetParam() + ".trace");
    std::ifstream in(path);
    ASSERT_TRUE(in) << path;
    std::stringstream text;
    text << in.rdbuf();
    auto got = spindlecroft::test::replay(text.str());
    if (std::getenv("SPINDLECROFT_RECORD")) {
        std::ofstream(path) << got;
        return;
    }
    EXPECT_NE(text.str().find("\n> "), std::string::npos) << "the trace expects nothing";
    EXPECT_EQ(text.str(), got);
}

static std::vector<std::string> names() {
    std::vector<std::string> out;
    for (auto &e : fs::directory_iterator(SPINDLECROFT_TRACES))
        if (e.path().extension() == ".trace")
            out.push_back(e.path().stem().string());
    std::sort(out.begin(), out.end());
    return out;
}

INSTANTIATE_TEST_SUITE_P(traces, kept_trace, testing::ValuesIn(names()),
                         [](auto &i) { return i.param; });
