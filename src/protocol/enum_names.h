#pragma once

// Tables that map the enumerators of a type to their names in messages.

#include <array>
#include <cstddef>
#include <string>
#include <string_view>
#include <utility>

#include "protocol/errors.h"

namespace burlpoint::protocol {

/// The name on the wire and the enumerator, for every value of `E` that may be sent.
template <typename E, std::size_t N>
using EnumNames = std::array<std::pair<std::string_view, E>, N>;

/// The enumerator with the name `wireName`; throws `MalformedMessage` if there is none.
template <typename E, std::size_t N>
E parseEnum(const EnumNames<E, N>& names, std::string_view wireName) {
    for (const auto& [name, value] : names)
        if (name == wireName) return value;
    throw MalformedMessage("unknown word \"" + std::string(wireName) + "\"");
}

/// The name of the enumerator on the wire; empty if the table has none.
template <typename E, std::size_t N>
std::string_view enumName(const EnumNames<E, N>& names, E wanted) {
    for (const auto& [name, value] : names)
        if (value == wanted) return name;
    return "";
}

}  // namespace burlpoint::protocol
