// Messages between controllers and the cloud: machine types, rentals, deletions, the list of
// machines.
//
//   on the wire       in the program
//   frames, frame     machine types, machine type
//   cores, memGb      cpus, memory
//   localGb           size of the image cache
//   pullGbPerS        rate at which images are fetched
//   hourly            price of an on-demand machine
//   marketPrice       price of a spot machine
//   startupS          boot time
//   crofts, croft     zones, zone
//   hire              id of a rental request
//   loaners           spot machine
//   spindles          machines; uid is a machine's id, stage its state
//   heldS             age
#pragma once
#include "wire/malformed_message.hpp"
#include "wire/types.hpp"
#include <string>
#include <vector>

namespace spindlecroft::wire {

inline constexpr const char *path_machine_types = "/machine_types";
inline constexpr const char *path_machines = "/hosts";
inline constexpr const char *path_delete_machines = "/hosts/delete";

/// Parses the list of machine types. Throws malformed_message, as do the other parsers.
[[nodiscard]] std::vector<machine_type> parse_machine_types(const std::string &body);
/// Encodes the types for their record in the key-value store; parse_machine_types reads it.
[[nodiscard]] std::string encode_machine_types(const std::vector<machine_type> &types);

[[nodiscard]] std::string encode_rental_request(const rental_request &request);
/// Returns the ids of the machines that were rented for a request.
[[nodiscard]] std::vector<std::string> parse_rented_machines(const std::string &body);
/// Encodes the request to delete machines.
[[nodiscard]] std::string encode_deletion(const std::vector<std::string> &machines);

/// One page of the cloud's list of this cluster's machines.
struct listed_machine_page {
    std::vector<listed_machine> machines;
    bool has_more = false; // another page follows
};
/// Parses one page of the list of machines.
[[nodiscard]] listed_machine_page parse_machine_list(const std::string &body);
/// Returns path and query of the page after the machine `after`; empty: of the first page.
[[nodiscard]] std::string machine_list_target(const std::string &after, int limit);

} // namespace spindlecroft::wire
