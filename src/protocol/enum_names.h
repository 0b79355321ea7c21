#pragma once

// Tables between enumerators and the words that stand for them in messages.

#include <array>
#include <cstddef>
#include <string>
#include <string_view>
#include <utility>

#include "protocol/errors.h"
#include "protocol/msgpack_codec.h"

namespace burlpoint::protocol {

/// The words for all values of an enumeration.
template <typename E, std::size_t N>
using EnumNames = std::array<std::pair<std::string_view, E>, N>;

/// The value that the word stands for; throws Malformed if there is none.
template <typename E, std::size_t N>
E parseEnum(const EnumNames<E, N>& names, std::string_view word) {
    for (const auto& [name, value] : names)
        if (name == word) return value;
    throw MalformedMessage("unknown word \"" + std::string(word) + "\"");
}

/// The word for the value.
template <typename E, std::size_t N>
std::string_view enumName(const EnumNames<E, N>& names, E wanted) {
    for (const auto& [name, value] : names)
        if (value == wanted) return name;
    return "";
}

}  // namespace burlpoint::protocol
