#pragma once

// Checked access to the tables of a TOML document, for the platform's settings. Holds no state of its own.

#include <optional>
#include <string>
#include <vector>

#define TOML_EXCEPTIONS 1
#include <toml++/toml.h>

namespace burlpoint::protocol {

/// A TOML table with its path in the document, so that errors give the full path of a field. Each function
/// throws `InvalidSettings` if the field is absent (unless its name says `maybe` or `Or`) or has another type
/// or value than asked for. Unknown fields are ignored.
class TomlSection {
  public:
    /// `path`: the path of the table, empty for the whole document. The table has to outlive the section.
    TomlSection(const toml::table& table, std::string path) : table_(table), path_(std::move(path)) {}

    TomlSection section(const char* key) const;
    std::optional<TomlSection> maybeSection(const char* key) const;
    /// The tables of an array; none if it is absent.
    std::vector<TomlSection> sections(const char* key) const;

    /// A non-empty text.
    std::string text(const char* key) const;
    std::string textOr(const char* key, std::string defaultValue) const;
    /// A non-empty list of non-empty texts.
    std::vector<std::string> texts(const char* key) const;
    /// An IPv4 address with a port, such as "10.0.0.1:8080".
    std::string address(const char* key) const;
    /// A number from `least` to `most`.
    double number(const char* key, double least, double most) const;
    double numberOr(const char* key, double least, double most, double defaultValue) const;

  private:
    std::string pathOf(const char* key) const { return path_.empty() ? key : path_ + "." + key; }

    const toml::table& table_;
    std::string path_;
};

}  // namespace burlpoint::protocol
