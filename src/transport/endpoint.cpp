#include "transport/endpoint.h"

#include <algorithm>
#include <stdexcept>

namespace burlpoint::transport {

asio::ip::tcp::endpoint parseEndpoint(const std::string& text) {
    const auto colon = text.rfind(':');
    if (colon == std::string::npos) throw std::invalid_argument("no port in address \"" + text + "\"");
    asio::error_code error;
    const auto address = asio::ip::make_address_v4(text.substr(0, colon), error);
    const std::string digits = text.substr(colon + 1);
    const bool numeric =
        !digits.empty() && digits.size() <= 5 &&
        std::all_of(digits.begin(), digits.end(), [](char c) { return c >= '0' && c <= '9'; });
    if (error || !numeric || std::stoi(digits) > 65535)
        throw std::invalid_argument("not an IPv4 address and port: \"" + text + "\"");
    return {address, static_cast<unsigned short>(std::stoi(digits))};
}

}  // namespace burlpoint::transport
