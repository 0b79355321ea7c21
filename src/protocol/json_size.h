#pragma once

// The size of a MessagePack value as JSON. The key-value store counts its size limits in JSON.

#include <cstddef>
#include <msgpack/object_fwd.hpp>
#include <string_view>

namespace burlpoint::protocol {

/// At most how many bytes a value takes as JSON, with a space after each separator and every character beyond
/// ASCII escaped, as some writers do.
std::size_t jsonBytes(const msgpack::object& value);
/// The same for a packed value; throws `MalformedMessage`.
std::size_t jsonBytes(std::string_view packed);

}  // namespace burlpoint::protocol
