#include "storage/task_bitmap.h"

#include <algorithm>
#include <string_view>

#include "protocol/errors.h"
#include "protocol/msgpack_codec.h"

namespace burlpoint::storage {

using protocol::MalformedMessage;

namespace {

constexpr std::size_t kTasksPerDigit = 4;
constexpr double kBytesPerKb = 1024;
/// Upper bound for the value size from which the chunk size is derived, however large the store's limit is.
constexpr double kMaxUsefulValueKb = 1024;
/// The share of the value size that a chunk uses. The rest is a margin for overhead that the key-value store
/// may count.
constexpr double kChunkShareOfValue = 0.5;

unsigned hexDigitValue(char digit) {
    if (digit >= '0' && digit <= '9') return static_cast<unsigned>(digit - '0');
    if (digit >= 'a' && digit <= 'f') return static_cast<unsigned>(digit - 'a' + 10);
    throw MalformedMessage("a bitmap has a character that is not a hexadecimal digit");
}

}  // namespace

std::uint32_t chunkTasks(double maxValueKb) {
    const auto digits = static_cast<std::uint32_t>(std::min(maxValueKb, kMaxUsefulValueKb) * kBytesPerKb *
                                                   kChunkShareOfValue);
    return std::max<std::uint32_t>(kTasksPerDigit, digits * kTasksPerDigit);
}

std::string encodeBits(const std::vector<bool>& bits, std::size_t first, std::size_t count) {
    static constexpr char kDigits[] = "0123456789abcdef";
    std::string text;
    const auto end = std::min(bits.size(), first + count);
    for (auto task = first; task < end; task += kTasksPerDigit) {
        unsigned digit = 0;
        for (std::size_t bit = 0; bit < kTasksPerDigit && task + bit < end; ++bit)
            digit |= bits[task + bit] ? 1u << bit : 0u;
        text += kDigits[digit];
    }
    return protocol::MessagePacker().value(text).str();
}

void decodeBits(const msgpack::object& value, std::vector<bool>& bits, std::size_t first, std::size_t count) {
    if (value.type != msgpack::type::STR) throw MalformedMessage("a bitmap is not a string");
    const auto end = std::min(bits.size(), first + count);
    auto task = first;
    for (const char digit : std::string_view(value.via.str.ptr, value.via.str.size)) {
        const auto nibble = hexDigitValue(digit);
        for (unsigned bit = 0; bit < kTasksPerDigit; ++bit, ++task)
            if (task < end && (nibble >> bit & 1u)) bits[task] = true;
    }
}

}  // namespace burlpoint::storage
