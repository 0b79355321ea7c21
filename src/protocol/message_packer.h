#pragma once

// Writes MessagePack into a buffer that the packer owns.

#include <cstddef>
#include <cstdint>
#include <msgpack.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace burlpoint::protocol {

/// Packs values in sequence. `map` and `list` take the number of fields or elements, and exactly that many
/// have to follow; this is not checked.
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
    MessagePacker& nilValue() {
        packer_.pack_nil();
        return *this;
    }
    /// Appends bytes that are already MessagePack.
    MessagePacker& raw(std::string_view packed) {
        buffer_.write(packed.data(), packed.size());
        return *this;
    }

    /// Packs the name of a map's field, whose value has to follow.
    MessagePacker& key(std::string_view name) { return value(name); }
    template <typename T>
    MessagePacker& field(std::string_view name, const T& v) {
        return key(name).value(v);
    }
    /// Packs a field with a nil value, which readers treat as an absent field.
    MessagePacker& nil(std::string_view name) { return key(name).nilValue(); }
    template <typename T>
    MessagePacker& maybe(std::string_view name, const std::optional<T>& v) {
        return v ? field(name, *v) : nil(name);
    }

    /// A copy of the bytes packed so far.
    std::string str() const { return {buffer_.data(), buffer_.size()}; }

  private:
    msgpack::sbuffer buffer_;
    msgpack::packer<msgpack::sbuffer> packer_;
};

}  // namespace burlpoint::protocol
