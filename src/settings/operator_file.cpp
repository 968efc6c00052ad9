// The operators' file: (spindlecroft (spare-replicas 2) (drain-target-s 20) (spot yes) ...).
// Unlike in the platform's file, an unknown name here is a slip of the operator's, so it is an
// error.
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

// One (NAME VALUE) of the file.
struct entry {
    std::string name;
    std::string value;
    std::string place; // for errors
};

bool is_word(const sexp_t *element) {
    return element && element->ty == SEXP_VALUE && element->val;
}

entry entry_of(const sexp_t *element, const std::string &origin) {
    if (element->ty != SEXP_LIST || !is_word(element->list))
        fail(origin, "every entry must be a list (NAME VALUE)");
    entry read;
    read.name = element->list->val;
    read.place = fmt::format("{}: {}", origin, read.name);
    const auto *value = element->list->next;
    if (!is_word(value) || value->next)
        fail(read.place, "must have exactly one value");
    read.value = value->val;
    return read;
}

double number_of(const entry &entry, double least, double most) {
    double number = 0;
    const auto *end = entry.value.data() + entry.value.size();
    auto [rest, error] = std::from_chars(entry.value.data(), end, number);
    // Written so that "nan" is out of range.
    bool in_range = number >= least && number <= most;
    if (error != std::errc() || rest != end || !in_range)
        fail(entry.place,
             fmt::format("'{}' must be a number from {} to {}", entry.value, least, most));
    return number;
}

bool flag_of(const entry &entry) {
    if (entry.value != "yes" && entry.value != "no")
        fail(entry.place, "must be yes or no");
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
        fail(entry.place, "is not a known setting");
}

} // namespace

operator_options parse_operator_options(const std::string &text, const std::string &origin) {
    std::string copy = text; // the library may write to it
    expression root(parse_sexp(copy.data(), copy.size()), destroy_sexp);
    if (!root || root->ty != SEXP_LIST || !is_word(root->list) ||
        std::strcmp(root->list->val, "spindlecroft") != 0)
        fail(origin, "must be one list that begins with spindlecroft");
    operator_options options;
    std::set<std::string> seen;
    for (const auto *element = root->list->next; element; element = element->next) {
        auto read = entry_of(element, origin);
        if (!seen.insert(read.name).second)
            fail(read.place, "is set twice");
        apply(options, read);
    }
    return options;
}

operator_options load_operator_options(const std::string &path) {
    return parse_operator_options(read_file(path), path);
}

} // namespace spindlecroft::settings
