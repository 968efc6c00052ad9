// The operators' file: (spindlecroft (spare-replicas 2) (drain-target-s 20) (spot yes) ...).
// Unlike in the platform's file, an unknown name is an error here: operators write the file
// themselves, so that it is a mistake.
#include "settings/failure.hpp"
#include "settings/settings.hpp"
#include <charconv>
#include <cstring>
#include <fmt/format.h>
#include <memory>
#include <set>
#include <sfsexp/sexp.h>

namespace spindlecroft::settings {

namespace {

using expression = std::unique_ptr<sexp_t, void (*)(sexp_t *)>;

// One entry (NAME VALUE) of the file.
struct entry {
    std::string name;
    std::string value;
    std::string location; // file and name, for error messages
};

bool is_atom(const sexp_t *element) {
    return element && element->ty == SEXP_VALUE && element->val;
}

entry entry_of(const sexp_t *element, const std::string &origin) {
    if (element->ty != SEXP_LIST || !is_atom(element->list))
        throw_settings_error(origin, "every entry must be a list (NAME VALUE)");
    entry parsed;
    parsed.name = element->list->val;
    parsed.location = fmt::format("{}: {}", origin, parsed.name);
    const auto *value = element->list->next;
    if (!is_atom(value) || value->next)
        throw_settings_error(parsed.location, "must have exactly one value");
    parsed.value = value->val;
    return parsed;
}

double number_of(const entry &entry, double minimum, double maximum) {
    double number = 0;
    const auto *end = entry.value.data() + entry.value.size();
    auto [parsed_end, error] = std::from_chars(entry.value.data(), end, number);
    // False also for "nan".
    bool in_range = number >= minimum && number <= maximum;
    if (error != std::errc() || parsed_end != end || !in_range)
        throw_settings_error(entry.location, fmt::format("'{}' must be a number from {} to {}",
                                                         entry.value, minimum, maximum));
    return number;
}

bool flag_of(const entry &entry) {
    if (entry.value != "yes" && entry.value != "no")
        throw_settings_error(entry.location, "must be yes or no");
    return entry.value == "yes";
}

void apply(operator_options &options, const entry &entry) {
    if (entry.name == "spare-replicas")
        options.spare_replicas = static_cast<int>(number_of(entry, 0, 1000));
    else if (entry.name == "drain-target-s")
        options.drain_target = seconds{number_of(entry, 1, 3600)};
    else if (entry.name == "fleet-limit")
        options.fleet_limit = static_cast<int>(number_of(entry, 1, 100000));
    else if (entry.name == "spot")
        options.may_rent_spot = flag_of(entry);
    else
        throw_settings_error(entry.location, "is not a known setting");
}

} // namespace

operator_options parse_operator_options(const std::string &text, const std::string &origin) {
    std::string copy = text; // the parser may modify its input
    expression root(parse_sexp(copy.data(), copy.size()), destroy_sexp);
    if (!root || root->ty != SEXP_LIST || !is_atom(root->list) ||
        std::strcmp(root->list->val, "spindlecroft") != 0)
        throw_settings_error(origin, "must be one list that begins with spindlecroft");
    operator_options options;
    std::set<std::string> names;
    for (const auto *element = root->list->next; element; element = element->next) {
        auto parsed = entry_of(element, origin);
        if (!names.insert(parsed.name).second)
            throw_settings_error(parsed.location, "is set twice");
        apply(options, parsed);
    }
    return options;
}

operator_options load_operator_options(const std::string &path) {
    return parse_operator_options(read_file(path), path);
}

} // namespace spindlecroft::settings
