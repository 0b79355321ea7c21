#include "transport/endpoint.h"

#include <algorithm>
#include <stdexcept>

namespace burlpoint::transport {

namespace {

constexpr std::size_t kMaxPortDigits = 5;
constexpr int kMaxPort = 65'535;
constexpr int kInvalidPort = -1;

/// Returns `kInvalidPort` if the text is not a port number.
int parsePort(const std::string& text) {
    const bool isNumber = !text.empty() && text.size() <= kMaxPortDigits &&
                          std::all_of(text.begin(), text.end(), [](char c) { return c >= '0' && c <= '9'; });
    if (!isNumber) return kInvalidPort;
    const int port = std::stoi(text);
    return port <= kMaxPort ? port : kInvalidPort;
}

}  // namespace

asio::ip::tcp::endpoint parseEndpoint(const std::string& text) {
    const auto colon = text.rfind(':');
    if (colon == std::string::npos) throw std::invalid_argument("no port in address \"" + text + "\"");
    asio::error_code error;
    const auto address = asio::ip::make_address_v4(text.substr(0, colon), error);
    const int port = parsePort(text.substr(colon + 1));
    if (error || port == kInvalidPort)
        throw std::invalid_argument("not an IPv4 address and port: \"" + text + "\"");
    return {address, static_cast<unsigned short>(port)};
}

}  // namespace burlpoint::transport
