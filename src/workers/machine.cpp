#include "workers/machine.hpp"

namespace spindlecroft::workers {

// The worker keeps the most recently used images that fit its disk; we follow the same rule.
void machine::note_image_use(const std::string &image, double size_gb, time_point now) {
    image_last_used[image] = now;
    image_gb[image] = size_gb;
    double total = 0;
    for (auto &[i, g] : image_gb)
        total += g;
    while (type.cache_gb > 0 && total > type.cache_gb && image_last_used.size() > 1) {
        auto oldest = image_last_used.begin();
        for (auto i = image_last_used.begin(); i != image_last_used.end(); ++i)
            if (i->second < oldest->second)
                oldest = i;
        total -= image_gb[oldest->first];
        image_gb.erase(oldest->first);
        image_last_used.erase(oldest);
    }
}

} // namespace spindlecroft::workers
