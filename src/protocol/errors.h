#pragma once

// The exception of the decode functions.

#include <stdexcept>

namespace burlpoint::protocol {

/// A message or stored value that does not have the required form. The text says what is wrong with it.
struct MalformedMessage : std::runtime_error {
    using std::runtime_error::runtime_error;
};

}  // namespace burlpoint::protocol
