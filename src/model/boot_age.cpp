// Boot age and silence limit.
#include "model/boot_age.hpp"
#include "constants.hpp"
#include <algorithm>

namespace spindlecroft::model {

seconds silence_limit(const settings::settings &settings) {
    return constants::silence_heartbeat_intervals * settings.heartbeat_interval +
           constants::silence_margin;
}

// The bound prevents a new leader from deleting the whole fleet as never up right after a failover.
seconds boot_age(const workers::machine &machine, const leadership_term &term,
                 const settings::settings &settings, time_point now) {
    seconds age = now - machine.rented_at;
    if (now - term.began_at < silence_limit(settings))
        age = std::min(age, machine.type.boot_time);
    return age;
}

} // namespace spindlecroft::model
