#pragma once

// Writing of MessagePack into a buffer that the packer owns.

#include <cstddef>
#include <cstdint>
#include <msgpack.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace burlpoint::protocol {

/// Packs values one after the other. A map or a list is opened with its size, and its fields or elements have
/// to follow, exactly that many; this is not checked.
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
    /// Bytes that are MessagePack already.
    MessagePacker& raw(std::string_view packed) {
        buffer_.write(packed.data(), packed.size());
        return *this;
    }

    /// The name of a map's field, whose value has to follow.
    MessagePacker& key(std::string_view name) { return value(name); }
    template <typename T>
    MessagePacker& field(std::string_view name, const T& v) {
        return key(name).value(v);
    }
    /// A field without a value, which readers take for an absent one.
    MessagePacker& nil(std::string_view name) { return key(name).nilValue(); }
    template <typename T>
    MessagePacker& maybe(std::string_view name, const std::optional<T>& v) {
        return v ? field(name, *v) : nil(name);
    }

    /// A copy of what has been packed so far.
    std::string take() const { return {buffer_.data(), buffer_.size()}; }

  private:
    msgpack::sbuffer buffer_;
    msgpack::packer<msgpack::sbuffer> packer_;
};

}  // namespace burlpoint::protocol
