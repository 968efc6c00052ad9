// The error that every parser of this folder throws.
#pragma once
#include <stdexcept>
#include <string>
#include <string_view>

namespace spindlecroft::wire {

/// A message or record that cannot be accepted. what() reads "FIELD: PROBLEM".
class malformed_message : public std::runtime_error {
  public:
    malformed_message(std::string_view field, std::string_view problem)
        : std::runtime_error(std::string(field) + ": " + std::string(problem)), field_(field) {}

    /// For a text that already reads "FIELD: PROBLEM".
    explicit malformed_message(const std::string &text)
        : std::runtime_error(text), field_(text.substr(0, text.find(':'))) {}

    /// The field at fault, as it is called on the wire ("body" where the whole is unreadable).
    [[nodiscard]] const std::string &field() const { return field_; }

  private:
    std::string field_;
};

} // namespace spindlecroft::wire
