#pragma once

// Reads the two settings files of a controller, and defines the error for an unreadable or invalid one. Holds
// no state.

#include <stdexcept>
#include <string>

namespace burlpoint::protocol {

/// A settings file that is unreadable or invalid. The text names the invalid field or element.
struct InvalidSettings : std::runtime_error {
    using std::runtime_error::runtime_error;
};

/// The whole content of a file; throws `InvalidSettings` if the file cannot be read.
std::string readSettingsText(const std::string& path);

/// Reads a file and parses it with `parse`. The file's path is prepended to the text of its errors.
template <typename Parse>
auto readSettingsFile(const std::string& path, Parse parse) {
    const auto text = readSettingsText(path);
    try {
        return parse(text);
    } catch (const InvalidSettings& error) {
        throw InvalidSettings(path + ": " + error.what());
    }
}

}  // namespace burlpoint::protocol
