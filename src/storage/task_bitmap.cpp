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
/// Chunks don't grow beyond what a value of this size holds, however much the key-value store takes.
constexpr double kMaxUsefulValueKb = 1024;
/// The share of a value's bytes that a chunk fills. The rest is for whatever else the key-value store counts.
constexpr double kShareOfValue = 0.5;

unsigned digitValue(char digit) {
    if (digit >= '0' && digit <= '9') return static_cast<unsigned>(digit - '0');
    if (digit >= 'a' && digit <= 'f') return static_cast<unsigned>(digit - 'a' + 10);
    throw MalformedMessage("a bitmap has a wrong digit");
}

}  // namespace

std::uint32_t chunkTasks(double maxValueKb) {
    const auto digits =
        static_cast<std::uint32_t>(std::min(maxValueKb, kMaxUsefulValueKb) * kBytesPerKb * kShareOfValue);
    return std::max<std::uint32_t>(kTasksPerDigit, digits * kTasksPerDigit);
}

std::string encodeBits(const std::vector<bool>& bits, std::size_t first, std::size_t count) {
    static constexpr char kDigits[] = "0123456789abcdef";
    std::string text;
    const auto end = std::min(bits.size(), first + count);
    for (auto at = first; at < end; at += kTasksPerDigit) {
        unsigned digit = 0;
        for (std::size_t bit = 0; bit < kTasksPerDigit && at + bit < end; ++bit)
            digit |= bits[at + bit] ? 1u << bit : 0u;
        text += kDigits[digit];
    }
    return protocol::MessagePacker().value(text).take();
}

void decodeBits(const msgpack::object& value, std::vector<bool>& bits, std::size_t first, std::size_t count) {
    if (value.type != msgpack::type::STR) throw MalformedMessage("a bitmap is not text");
    const auto end = std::min(bits.size(), first + count);
    auto at = first;
    for (const char digit : std::string_view(value.via.str.ptr, value.via.str.size)) {
        const auto four = digitValue(digit);
        for (unsigned bit = 0; bit < kTasksPerDigit; ++bit, ++at)
            if (at < end && (four >> bit & 1u)) bits[at] = true;
    }
}

}  // namespace burlpoint::storage
