#include "protocol/settings_file.h"

#include <fstream>
#include <sstream>

namespace burlpoint::protocol {

std::string readSettingsText(const std::string& path) {
    std::ifstream in(path, std::ios::binary);
    std::stringstream text;
    if (!in || !(text << in.rdbuf())) throw InvalidSettings(path + ": cannot be read");
    return text.str();
}

}  // namespace burlpoint::protocol
