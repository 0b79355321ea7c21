#pragma once

/// What decoding throws.

#include <stdexcept>

namespace burlpoint::protocol {

/// A message that does not have the form it must have.
struct MalformedMessage : std::runtime_error {
    using std::runtime_error::runtime_error;
};

}  // namespace burlpoint::protocol
