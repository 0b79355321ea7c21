#pragma once

// Parses the addresses that settings and messages give as text. Holds no state.

#include <asio/ip/tcp.hpp>
#include <string>

namespace burlpoint::transport {

/// Parses an IPv4 address with a port, such as "10.0.0.1:8080". Throws `std::invalid_argument` for any other
/// text.
asio::ip::tcp::endpoint parseEndpoint(const std::string& text);

}  // namespace burlpoint::transport
