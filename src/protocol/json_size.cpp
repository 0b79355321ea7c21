#include "protocol/json_size.h"

#include <charconv>
#include <string>

#include "protocol/map_reader.h"

namespace burlpoint::protocol {

namespace {

constexpr std::size_t kDelimiters = 2;      // brackets, braces or quotes around a value
constexpr std::size_t kSeparator = 2;       // ", " or ": "
constexpr std::size_t kEscape = 6;          // such as "\u00e9"
constexpr std::size_t kSurrogatePair = 12;  // two escapes, outside the Basic Multilingual Plane
constexpr std::size_t kLongestLiteral = 5;  // length of "false"
constexpr std::size_t kFraction = 2;        // ".0", which some writers add to whole numbers

std::size_t jsonBytesOfCharacter(char c) {
    const auto byte = static_cast<unsigned char>(c);
    if (byte < 0x20 || byte == 0x7f) return kEscape;
    if (byte < 0x80) return c == '"' || c == '\\' || c == '/' ? 2 : 1;
    if (byte < 0xc0) return 0;  // a UTF-8 continuation byte, counted with the character's first byte
    return byte >= 0xf0 ? kSurrogatePair : kEscape;
}

std::size_t jsonBytesOfText(std::string_view text) {
    std::size_t bytes = kDelimiters;
    for (const char c : text) bytes += jsonBytesOfCharacter(c);
    return bytes;
}

std::size_t jsonBytesOfNumber(double number) {
    char digits[40];
    const auto* end = std::to_chars(digits, digits + sizeof digits, number).ptr;
    return static_cast<std::size_t>(end - digits) + kFraction;
}

}  // namespace

std::size_t jsonBytes(const msgpack::object& value) {
    std::size_t bytes = kDelimiters;
    switch (value.type) {
        case msgpack::type::MAP:
            for (const auto& pair : value.via.map)
                bytes += jsonBytes(pair.key) + kSeparator + jsonBytes(pair.val) + kSeparator;
            return bytes;
        case msgpack::type::ARRAY:
            for (const auto& element : value.via.array) bytes += jsonBytes(element) + kSeparator;
            return bytes;
        case msgpack::type::STR:
            return jsonBytesOfText({value.via.str.ptr, value.via.str.size});
        case msgpack::type::POSITIVE_INTEGER:
            return std::to_string(value.via.u64).size();
        case msgpack::type::NEGATIVE_INTEGER:
            return std::to_string(value.via.i64).size();
        case msgpack::type::FLOAT32:
        case msgpack::type::FLOAT64:
            return jsonBytesOfNumber(value.via.f64);
        default:
            return kLongestLiteral;
    }
}

std::size_t jsonBytes(std::string_view packed) { return jsonBytes(unpackBody(packed).get()); }

}  // namespace burlpoint::protocol
