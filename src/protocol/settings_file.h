#pragma once

// What the two settings files of a controller have in common: how they are read, and the error for one that
// can't be used. Holds no state.

#include <stdexcept>
#include <string>

namespace burlpoint::protocol {

/// A settings file that can't be used. The text names the field or element that is wrong.
struct InvalidSettings : std::runtime_error {
    using std::runtime_error::runtime_error;
};

/// The whole content of a file; throws `InvalidSettings` if it can't be read.
std::string readSettingsText(const std::string& path);

/// Reads a file and parses it with `parse`, whose errors get the file's path in front.
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
