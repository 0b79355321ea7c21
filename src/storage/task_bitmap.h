#pragma once

// The stored format of the bitmap of a job's finished tasks. The bitmap is split into chunks, each of which
// fits into one value of the key-value store (see storage/keys.h). Holds no state.

#include <cstddef>
#include <cstdint>
#include <msgpack/object_fwd.hpp>
#include <string>
#include <vector>

namespace burlpoint::storage {

/// Returns the number of tasks per chunk for values of at most `maxValueKb` KiB; a multiple of four.
std::uint32_t chunkTasks(double maxValueKb);
/// Encodes the bits [first, first + count) as a string with one hexadecimal digit per four tasks; the first
/// of the four is in the digit's lowest bit.
std::string encodeBits(const std::vector<bool>& bits, std::size_t first, std::size_t count);
/// Sets the bits of [first, first + count) that are set in `value`, and leaves all others unchanged. Throws
/// `protocol::MalformedMessage` if the value is malformed; some bits may already have been set.
void decodeBits(const msgpack::object& value, std::vector<bool>& bits, std::size_t first, std::size_t count);

}  // namespace burlpoint::storage
