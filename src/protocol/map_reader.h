#pragma once

// Reads MessagePack: unpacks a whole body and gives typed, checked access to the fields of a map. All input
// is untrusted: whatever does not have the expected form makes the functions throw `MalformedMessage`.

#include <cstddef>
#include <cstdint>
#include <msgpack.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "protocol/errors.h"

namespace burlpoint::protocol {

/// Unpacks a body, which must be exactly one value; throws `MalformedMessage` for anything else, including
/// trailing bytes. Texts of the result are not copied but refer to `body`, which has to outlive the result.
msgpack::object_handle unpackBody(std::string_view body);
/// Deleted, since the result would refer to a temporary.
msgpack::object_handle unpackBody(std::string&& body) = delete;

/// Read access to the fields of a MessagePack map. Unknown fields are ignored, and a nil value counts as an
/// absent field. The functions that return a value throw `MalformedMessage` if the field is absent (unless
/// their name says `maybe` or `Or`) or has another type.
class MapReader {
  public:
    /// Longest text that a field may have, in bytes, unless the caller sets another limit.
    static constexpr std::size_t kMaxTextBytes = 200;

    /// Throws `MalformedMessage` if `object` is not a map. The object has to outlive the reader.
    explicit MapReader(const msgpack::object& object) : map_(object) {
        if (object.type != msgpack::type::MAP) throw MalformedMessage("not a map");
    }

    /// The field's value; null if it is absent or nil. Inline, since decoding heartbeats spends most of its
    /// time here.
    const msgpack::object* find(std::string_view key) const {
        for (const auto& pair : map_.via.map) {
            if (pair.key.type != msgpack::type::STR) throw MalformedMessage("a key is not text");
            if (std::string_view(pair.key.via.str.ptr, pair.key.via.str.size) == key)
                return pair.val.is_nil() ? nullptr : &pair.val;
        }
        return nullptr;
    }
    const msgpack::object& need(std::string_view key) const {
        if (const auto* value = find(key)) return *value;
        throwMissing(key);
    }

    std::string text(std::string_view key, std::size_t maxBytes = kMaxTextBytes) const {
        return std::string(textView(key, maxBytes));
    }
    /// The text as a view into the body, valid no longer than the body.
    std::string_view textView(std::string_view key, std::size_t maxBytes = kMaxTextBytes) const {
        return asText(need(key), key, maxBytes);
    }
    std::optional<std::string> maybeText(std::string_view key, std::size_t maxBytes = kMaxTextBytes) const;

    std::uint64_t integer(std::string_view key) const { return asInteger(need(key), key); }
    std::uint64_t integerOr(std::string_view key, std::uint64_t defaultValue) const {
        const auto* value = find(key);
        return value ? asInteger(*value, key) : defaultValue;
    }

    /// A finite number from 0 to 1e12, with or without a fraction.
    double amount(std::string_view key) const { return asAmount(need(key), key); }
    std::optional<double> maybeAmount(std::string_view key) const;

    bool flag(std::string_view key) const { return asFlag(need(key), key); }
    bool flagOr(std::string_view key, bool defaultValue) const {
        const auto* value = find(key);
        return value ? asFlag(*value, key) : defaultValue;
    }

    /// The number of elements of a list field; 0 if it is absent or not a list.
    std::size_t size(std::string_view key) const {
        const auto* value = find(key);
        return value && value->type == msgpack::type::ARRAY ? value->via.array.size : 0;
    }
    /// Calls `visit` with each element of a list field; an absent field has none.
    template <typename Visit>
    void each(std::string_view key, Visit&& visit) const {
        const auto* value = find(key);
        if (!value) return;
        if (value->type != msgpack::type::ARRAY) throwInvalid(key);
        for (const auto& element : value->via.array) visit(element);
    }
    /// The elements of a list of texts; an absent field has none.
    std::vector<std::string> texts(std::string_view key) const;

    /// Throws `MalformedMessage` for a field whose value is not allowed.
    [[noreturn]] static void throwInvalid(std::string_view key);

  private:
    [[noreturn]] static void throwMissing(std::string_view key);
    static std::string_view asText(const msgpack::object& value, std::string_view key, std::size_t maxBytes) {
        if (value.type != msgpack::type::STR || value.via.str.size > maxBytes) throwInvalid(key);
        return {value.via.str.ptr, value.via.str.size};
    }
    static std::uint64_t asInteger(const msgpack::object& value, std::string_view key) {
        if (value.type != msgpack::type::POSITIVE_INTEGER) throwInvalid(key);
        return value.via.u64;
    }
    static bool asFlag(const msgpack::object& value, std::string_view key) {
        if (value.type != msgpack::type::BOOLEAN) throwInvalid(key);
        return value.via.boolean;
    }
    static double asAmount(const msgpack::object& value, std::string_view key);

    const msgpack::object& map_;
};

}  // namespace burlpoint::protocol
