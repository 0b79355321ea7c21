#pragma once

#include <charconv>
#include <cmath>
#include <cstdint>
#include <msgpack.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "protocol/errors.h"

namespace burlpoint::protocol {

/// Read access to a MessagePack map. Unknown fields are ignored; null counts as absent.
class MapReader {
  public:
    explicit MapReader(const msgpack::object& object) : map_(object) {
        if (object.type != msgpack::type::MAP) throw MalformedMessage("not a map");
    }

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
        throw MalformedMessage("field " + std::string(key) + " is missing");
    }

    std::string text(std::string_view key, std::size_t most = 200) const {
        return std::string(asText(need(key), key, most));
    }
    /// A text that lives no longer than the body.
    std::string_view textView(std::string_view key, std::size_t most = 200) const {
        return asText(need(key), key, most);
    }
    std::optional<std::string> maybeText(std::string_view key, std::size_t most = 200) const {
        const auto* value = find(key);
        return value ? std::optional(std::string(asText(*value, key, most))) : std::nullopt;
    }
    std::uint64_t integer(std::string_view key) const { return asInteger(need(key), key); }
    std::uint64_t integerOr(std::string_view key, std::uint64_t otherwise) const {
        const auto* value = find(key);
        return value ? asInteger(*value, key) : otherwise;
    }
    /// A finite decimal number, 0 or more.
    double amount(std::string_view key) const { return asAmount(need(key), key); }
    std::optional<double> maybeAmount(std::string_view key) const {
        const auto* value = find(key);
        return value ? std::optional(asAmount(*value, key)) : std::nullopt;
    }
    bool flag(std::string_view key) const { return asFlag(need(key), key); }
    bool flagOr(std::string_view key, bool otherwise) const {
        const auto* value = find(key);
        return value ? asFlag(*value, key) : otherwise;
    }
    /// How many elements a list field has; 0 for one that is absent or no list.
    std::size_t size(std::string_view key) const {
        const auto* value = find(key);
        return value && value->type == msgpack::type::ARRAY ? value->via.array.size : 0;
    }
    /// The elements of a list field; an absent one has none.
    template <typename Each>
    void each(std::string_view key, Each&& visit) const {
        const auto* value = find(key);
        if (!value) return;
        if (value->type != msgpack::type::ARRAY) wrong(key);
        for (const auto& element : value->via.array) visit(element);
    }
    std::vector<std::string> texts(std::string_view key) const {
        std::vector<std::string> out;
        each(key, [&](const msgpack::object& element) { out.emplace_back(asText(element, key, 200)); });
        return out;
    }

  private:
    [[noreturn]] static void wrong(std::string_view key) {
        throw MalformedMessage("field " + std::string(key) + " is invalid");
    }
    static std::string_view asText(const msgpack::object& value, std::string_view key, std::size_t most) {
        if (value.type != msgpack::type::STR || value.via.str.size > most) wrong(key);
        return {value.via.str.ptr, value.via.str.size};
    }
    static std::uint64_t asInteger(const msgpack::object& value, std::string_view key) {
        if (value.type != msgpack::type::POSITIVE_INTEGER) wrong(key);
        return value.via.u64;
    }
    static bool asFlag(const msgpack::object& value, std::string_view key) {
        if (value.type != msgpack::type::BOOLEAN) wrong(key);
        return value.via.boolean;
    }
    static double asAmount(const msgpack::object& value, std::string_view key) {
        double number = 0;
        if (value.type == msgpack::type::POSITIVE_INTEGER)
            number = static_cast<double>(value.via.u64);
        else if (value.type == msgpack::type::FLOAT32 || value.type == msgpack::type::FLOAT64)
            number = value.via.f64;
        else
            wrong(key);
        if (!std::isfinite(number) || number < 0 || number > 1e12) wrong(key);
        return number;
    }

    const msgpack::object& map_;
};

/// Unpacks one whole body; anything else, trailing bytes included, is Malformed. Texts of the result are not
/// copied but refer to `body`, which has to outlive it.
inline msgpack::object_handle unpackBody(std::string_view body) {
    const auto refersToBody = [](msgpack::type::object_type, std::size_t, void*) { return true; };
    try {
        std::size_t offset = 0;
        const msgpack::unpack_limit limit(100'000, 100'000, 8 << 20, 8 << 20, 8 << 20, 32);
        auto handle = msgpack::unpack(body.data(), body.size(), offset, refersToBody, nullptr, limit);
        if (offset != body.size()) throw MalformedMessage("bytes after the body");
        return handle;
    } catch (const msgpack::unpack_error& error) {
        throw MalformedMessage(std::string("not MessagePack: ") + error.what());
    } catch (const std::bad_alloc&) {
        throw MalformedMessage("not MessagePack: sizes beyond memory");
    }
}

/// A text that is gone before its unpacked form would be used.
msgpack::object_handle unpackBody(std::string&& body) = delete;

/// At most how long a value is as JSON, the form in which size limits are counted: with a space after each
/// separator and everything beyond ASCII escaped, as some writers do.
inline std::size_t jsonBytes(const msgpack::object& value) {
    std::size_t bytes = 2;
    switch (value.type) {
        case msgpack::type::MAP:
            for (const auto& pair : value.via.map) bytes += jsonBytes(pair.key) + jsonBytes(pair.val) + 4;
            return bytes;
        case msgpack::type::ARRAY:
            for (const auto& element : value.via.array) bytes += jsonBytes(element) + 2;
            return bytes;
        case msgpack::type::STR:
            for (const char c : std::string_view(value.via.str.ptr, value.via.str.size)) {
                const auto byte = static_cast<unsigned char>(c);
                if (byte < 0x20 || byte == 0x7f)
                    bytes += 6;
                else if (byte < 0x80)
                    bytes += c == '"' || c == '\\' || c == '/' ? 2 : 1;
                else if (byte >= 0xc0)  // the first byte of a character; two escapes for the longest
                    bytes += byte >= 0xf0 ? 12 : 6;
            }
            return bytes;
        case msgpack::type::POSITIVE_INTEGER:
            return std::to_string(value.via.u64).size();
        case msgpack::type::NEGATIVE_INTEGER:
            return std::to_string(value.via.i64).size();
        case msgpack::type::FLOAT32:
        case msgpack::type::FLOAT64: {
            char digits[40];
            const auto end = std::to_chars(digits, digits + sizeof digits, value.via.f64).ptr;
            return static_cast<std::size_t>(end - digits) + 2;
        }
        default:
            return 5;
    }
}
inline std::size_t jsonBytes(std::string_view packed) { return jsonBytes(unpackBody(packed).get()); }

/// Writes MessagePack; a map or list is opened with its size, then its parts follow.
class MessagePacker {
  public:
    MessagePacker() : packer_(buffer_) {}

    MessagePacker& map(std::size_t fields) {
        packer_.pack_map(static_cast<std::uint32_t>(fields));
        return *this;
    }
    MessagePacker& list(std::size_t elements) {
        packer_.pack_array(static_cast<std::uint32_t>(elements));
        return *this;
    }
    template <typename T>
    MessagePacker& value(const T& v) {
        packer_.pack(v);
        return *this;
    }
    MessagePacker& key(std::string_view name) { return value(name); }
    template <typename T>
    MessagePacker& field(std::string_view name, const T& v) {
        return key(name).value(v);
    }
    MessagePacker& nil(std::string_view name) { return key(name).nilValue(); }
    template <typename T>
    MessagePacker& maybe(std::string_view name, const std::optional<T>& v) {
        return v ? field(name, *v) : nil(name);
    }
    MessagePacker& nilValue() {
        packer_.pack_nil();
        return *this;
    }
    /// Bytes that are MessagePack already.
    MessagePacker& raw(std::string_view packed) {
        buffer_.write(packed.data(), packed.size());
        return *this;
    }
    std::string take() const { return {buffer_.data(), buffer_.size()}; }

  private:
    msgpack::sbuffer buffer_;
    msgpack::packer<msgpack::sbuffer> packer_;
};

}  // namespace burlpoint::protocol
