#pragma once

// The stored form of the bitmap that says which tasks of a job are done. The bitmap is cut into chunks that
// fit into one value of the key-value store each (see storage/keys.h). Holds no state.

#include <cstddef>
#include <cstdint>
#include <msgpack/object_fwd.hpp>
#include <string>
#include <vector>

namespace burlpoint::storage {

/// How many tasks of a bitmap fit into one value of at most `maxValueKb` KiB; a multiple of four.
std::uint32_t chunkTasks(double maxValueKb);
/// The value for the bits [first, first + count): text with a hexadecimal digit for every four tasks, the
/// first of them in the digit's lowest bit.
std::string encodeBits(const std::vector<bool>& bits, std::size_t first, std::size_t count);
/// Sets those of the bits [first, first + count) that are set in `value`, and leaves all others as they are.
/// Throws `protocol::MalformedMessage`; bits may have been set by then.
void decodeBits(const msgpack::object& value, std::vector<bool>& bits, std::size_t first, std::size_t count);

}  // namespace burlpoint::storage
