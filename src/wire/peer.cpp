#include "wire/peer.hpp"
#include "wire/json_fields.hpp"
#include <algorithm>
#include <cbor.h>
#include <cstdlib>
#include <memory>

namespace spindlecroft::wire {

namespace {

constexpr double ms_per_second = 1000.0;
constexpr std::size_t values_per_cancel = 3; // job, revision, time

cbor_item_t *text_item(const std::string &text) {
    return cbor_move(cbor_build_stringn(text.data(), text.size()));
}

cbor_item_t *number_item(std::uint64_t number) {
    return cbor_move(cbor_build_uint64(number));
}

cbor_item_t *cancels_item(const std::vector<cancel_notice> &notices) {
    cbor_item_t *cancels = cbor_new_definite_array(notices.size());
    for (const auto &notice : notices) {
        auto at_ms = std::max(0.0, epoch_seconds(notice.cancelled_at)) * ms_per_second;
        cbor_item_t *entry = cbor_new_definite_array(values_per_cancel);
        (void)cbor_array_push(entry, text_item(notice.job));
        (void)cbor_array_push(entry, number_item(notice.revision));
        (void)cbor_array_push(entry, number_item(static_cast<std::uint64_t>(at_ms)));
        (void)cbor_array_push(cancels, cbor_move(entry));
    }
    return cbor_move(cancels);
}

std::string serialized(const cbor_item_t *item) {
    unsigned char *buffer = nullptr;
    std::size_t size = 0;
    std::size_t length = cbor_serialize_alloc(item, &buffer, &size);
    std::unique_ptr<unsigned char, decltype(&std::free)> owned_buffer(buffer, &std::free);
    return {reinterpret_cast<char *>(owned_buffer.get()), length};
}

bool is_text(cbor_item_t *item) {
    return cbor_isa_string(item) && cbor_string_is_definite(item);
}

std::string text_of(cbor_item_t *item) {
    return {reinterpret_cast<char *>(cbor_string_handle(item)), cbor_string_length(item)};
}

cancel_notice cancel_of(cbor_item_t *entry) {
    constexpr const char *problem = "cancels: an entry is a job, a revision and a time";
    if (!cbor_isa_array(entry) || cbor_array_size(entry) != values_per_cancel)
        throw_malformed("peer", problem);
    auto **values = cbor_array_handle(entry);
    if (!is_text(values[0]) || !cbor_isa_uint(values[1]) || !cbor_isa_uint(values[2]))
        throw_malformed("peer", problem);
    auto at_ms = static_cast<double>(cbor_get_int(values[2]));
    return {text_of(values[0]), cbor_get_int(values[1]), known_wall_time(at_ms / ms_per_second)};
}

void read_cancels(std::vector<cancel_notice> &cancels, cbor_item_t *list) {
    if (!cbor_isa_array(list))
        throw_malformed("peer", "cancels: must be a list");
    for (std::size_t i = 0; i < cbor_array_size(list); ++i)
        cancels.push_back(cancel_of(cbor_array_handle(list)[i]));
}

void read_pair(peer_message &message, const cbor_pair &pair) {
    if (!is_text(pair.key))
        throw_malformed("peer", "keys must be texts");
    auto key = text_of(pair.key);
    if (cbor_isa_uint(pair.value))
        message.numbers[key] = cbor_get_int(pair.value);
    else if (is_text(pair.value))
        message.texts[key] = text_of(pair.value);
    else if (key == "cancels")
        read_cancels(message.cancels, pair.value);
}

void check_version(const peer_message &message) {
    auto version = message.number("version");
    if (version != peer_version)
        throw malformed_message("peer", "version: " + std::to_string(version) + ", not " +
                                            std::to_string(peer_version));
}

} // namespace

std::uint64_t peer_message::number(const std::string &key, std::uint64_t fallback) const {
    auto found = numbers.find(key);
    return found == numbers.end() ? fallback : found->second;
}

std::string peer_message::text(const std::string &key) const {
    auto found = texts.find(key);
    return found == texts.end() ? std::string() : found->second;
}

std::string encode_peer_message(const peer_message &message) {
    constexpr std::size_t version_and_cancels = 2;
    cbor_item_t *map =
        cbor_new_definite_map(message.numbers.size() + message.texts.size() + version_and_cancels);
    (void)cbor_map_add(map, {text_item("version"), number_item(peer_version)});
    (void)cbor_map_add(map, {text_item("cancels"), cancels_item(message.cancels)});
    for (const auto &[key, number] : message.numbers)
        (void)cbor_map_add(map, {text_item(key), number_item(number)});
    for (const auto &[key, text] : message.texts)
        (void)cbor_map_add(map, {text_item(key), text_item(text)});
    auto bytes = serialized(map);
    cbor_decref(&map);
    return bytes;
}

peer_message parse_peer_message(const std::string &body) {
    cbor_load_result result{};
    cbor_item_t *item = cbor_load(reinterpret_cast<cbor_data>(body.data()), body.size(), &result);
    if (!item)
        throw_malformed("peer", "not CBOR");
    std::unique_ptr<cbor_item_t, void (*)(cbor_item_t *)> owned_item(
        item, [](cbor_item_t *to_release) { cbor_decref(&to_release); });
    if (!cbor_isa_map(item))
        throw_malformed("peer", "not a map");
    peer_message message;
    for (std::size_t i = 0; i < cbor_map_size(item); ++i)
        read_pair(message, cbor_map_handle(item)[i]);
    check_version(message);
    message.numbers.erase("version");
    return message;
}

} // namespace spindlecroft::wire
