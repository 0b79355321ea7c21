#pragma once

// The size of a MessagePack value as JSON. The size limits of the key-value store apply to JSON text.

#include <cstddef>
#include <msgpack/object_fwd.hpp>
#include <string_view>

namespace burlpoint::protocol {

/// An upper bound of the bytes that a value takes as JSON, with a space after each separator and every
/// non-ASCII character escaped, as some JSON writers do.
std::size_t jsonBytes(const msgpack::object& value);
/// The upper bound for a packed value; throws `MalformedMessage` if it is malformed.
std::size_t jsonBytes(std::string_view packed);

}  // namespace burlpoint::protocol
