// How a test ends: 0 if the rule held, 1 if it was broken, 2 if the case couldn't run.
#pragma once
#include "world.hpp"
#include <cstdio>

namespace review {

// Runs the body. It returns the finding, or an empty text if the rule held.
template <class Body>
int judge(const deployment &settings, const char *folder, Body body) {
    try {
        world around(settings, folder);
        try {
            auto finding = body(around);
            if (around.could_not_start)
                throw std::runtime_error("a controller did not start");
            around.record(finding.empty() ? "the rule held" : "RULE BROKEN: " + finding);
            std::puts(finding.empty() ? "held" : finding.c_str());
            return finding.empty() ? 0 : 1;
        } catch (const std::exception &error) {
            around.record(std::string("could not run: ") + error.what());
            std::puts(error.what());
        }
    } catch (const std::exception &error) {
        std::puts(error.what());
    }
    return 2;
}

inline void start_all(world &around) {
    for (std::size_t node = 0; node < static_cast<std::size_t>(around.conf.nodes); ++node)
        around.start_node(node);
}

// Waits until the controllers are ready and every worker has been answered.
inline void wait_until_serving(world &around) {
    bool serving = around.all_ready(40) && around.until(
                                               [&] {
                                                   for (auto &[name, host] : around.workers)
                                                       if (host->warrant == 0)
                                                           return false;
                                                   return true;
                                               },
                                               20);
    if (!serving)
        throw std::runtime_error("the controllers did not become ready");
}

} // namespace review
