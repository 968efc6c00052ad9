// A machine's records of exited tasks, and a mirror of its agent's image cache.
#include "workers/machine.hpp"
#include <algorithm>

namespace spindlecroft::workers {

std::size_t machine::records_awaiting_higher_token() const {
    auto count = std::count_if(cleanup_commands.begin(), cleanup_commands.end(),
                               [&](const command &cleanup) {
                                   return cleanup.kind == command_kind::remove &&
                                          directly_started.contains(cleanup.attempt);
                               });
    return static_cast<std::size_t>(count);
}

// The agent evicts the least recently used images when its disk is full; the same rule applies
// here.
void machine::note_image_use(const std::string &image, double size_gb, time_point now) {
    image_last_used[image] = now;
    image_gb[image] = size_gb;
    double total_gb = 0;
    for (auto &[cached_image, cached_gb] : image_gb)
        total_gb += cached_gb;
    while (type.cache_gb > 0 && total_gb > type.cache_gb && image_last_used.size() > 1) {
        auto oldest = image_last_used.begin();
        for (auto entry = image_last_used.begin(); entry != image_last_used.end(); ++entry)
            if (entry->second < oldest->second)
                oldest = entry;
        total_gb -= image_gb[oldest->first];
        image_gb.erase(oldest->first);
        image_last_used.erase(oldest);
    }
}

} // namespace spindlecroft::workers
