// The exception that every parser of this folder throws.
#pragma once
#include <stdexcept>
#include <string>
#include <string_view>

namespace spindlecroft::wire {

/// Thrown for an invalid message or record. what() has the form "FIELD: PROBLEM".
class malformed_message : public std::runtime_error {
  public:
    malformed_message(std::string_view field, std::string_view problem)
        : std::runtime_error(std::string(field) + ": " + std::string(problem)), field_(field) {}

    /// Takes a text that already has the form "FIELD: PROBLEM".
    explicit malformed_message(const std::string &text)
        : std::runtime_error(text), field_(text.substr(0, text.find(':'))) {}

    /// The invalid field's name on the wire; "body" if the whole body can't be read.
    [[nodiscard]] const std::string &field() const { return field_; }

  private:
    std::string field_;
};

} // namespace spindlecroft::wire
