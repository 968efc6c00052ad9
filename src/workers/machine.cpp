#include "workers/machine.hpp"

namespace spindlecroft::workers {

// The worker keeps the most recently used images that fit its disk; we follow the same rule.
void machine::use_image(const std::string &image, double size_gb, time_point now) {
    images[image] = now;
    image_gb[image] = size_gb;
    double total = 0;
    for (auto &[i, g] : image_gb)
        total += g;
    while (type.cache_gb > 0 && total > type.cache_gb && images.size() > 1) {
        auto oldest = images.begin();
        for (auto i = images.begin(); i != images.end(); ++i)
            if (i->second < oldest->second)
                oldest = i;
        total -= image_gb[oldest->first];
        image_gb.erase(oldest->first);
        images.erase(oldest);
    }
}

} // namespace spindlecroft::workers
