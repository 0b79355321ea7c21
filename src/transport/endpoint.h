#pragma once

#include <asio/ip/tcp.hpp>
#include <string>

namespace burlpoint::transport {

/// "10.0.0.1:8080" as an endpoint; throws std::invalid_argument when it is none.
asio::ip::tcp::endpoint parseEndpoint(const std::string& text);

}  // namespace burlpoint::transport
