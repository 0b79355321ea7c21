#include "protocol/map_reader.h"

#include <algorithm>
#include <cmath>
#include <new>

namespace burlpoint::protocol {

namespace {

/// Far above any amount in a real cluster; keeps sums of amounts finite and sufficiently exact.
constexpr double kMaxAmount = 1e12;

// A body of a few bytes can declare sizes that would exhaust the memory; unpacking fails above these limits,
// and if a list or a map declares more elements than the body has bytes.
constexpr std::size_t kMaxElements = 100'000;  // elements of a list or a map
constexpr std::size_t kMaxTextSize = 8 << 20;  // bytes of a text, binary or extension value
constexpr std::size_t kMaxDepth = 32;          // nesting of lists and maps

bool refersToBody(msgpack::type::object_type /*type*/, std::size_t /*size*/, void* /*user*/) { return true; }

}  // namespace

msgpack::object_handle unpackBody(std::string_view body) {
    const auto maxElements = std::min(kMaxElements, body.size());
    const msgpack::unpack_limit limit(maxElements, maxElements, kMaxTextSize, kMaxTextSize, kMaxTextSize,
                                      kMaxDepth);
    try {
        std::size_t offset = 0;
        auto handle = msgpack::unpack(body.data(), body.size(), offset, refersToBody, nullptr, limit);
        if (offset != body.size()) throw MalformedMessage("bytes after the body");
        return handle;
    } catch (const msgpack::unpack_error& error) {
        throw MalformedMessage(std::string("not MessagePack: ") + error.what());
    } catch (const std::bad_alloc&) {
        throw MalformedMessage("not MessagePack: sizes beyond memory");
    }
}

std::optional<std::string> MapReader::maybeText(std::string_view key, std::size_t maxBytes) const {
    const auto* value = find(key);
    return value ? std::optional(std::string(asText(*value, key, maxBytes))) : std::nullopt;
}

std::optional<double> MapReader::maybeAmount(std::string_view key) const {
    const auto* value = find(key);
    return value ? std::optional(asAmount(*value, key)) : std::nullopt;
}

std::vector<std::string> MapReader::texts(std::string_view key) const {
    std::vector<std::string> out;
    each(key, [&](const msgpack::object& element) { out.emplace_back(asText(element, key, kMaxTextBytes)); });
    return out;
}

double MapReader::asAmount(const msgpack::object& value, std::string_view key) {
    double number = 0;
    if (value.type == msgpack::type::POSITIVE_INTEGER)
        number = static_cast<double>(value.via.u64);
    else if (value.type == msgpack::type::FLOAT32 || value.type == msgpack::type::FLOAT64)
        number = value.via.f64;
    else
        throwInvalid(key);
    if (!std::isfinite(number) || number < 0 || number > kMaxAmount) throwInvalid(key);
    return number;
}

void MapReader::throwMissing(std::string_view key) {
    throw MalformedMessage("field " + std::string(key) + " is missing");
}

void MapReader::throwInvalid(std::string_view key) {
    throw MalformedMessage("field " + std::string(key) + " is invalid");
}

}  // namespace burlpoint::protocol
