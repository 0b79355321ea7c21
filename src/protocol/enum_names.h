#pragma once

// Tables between the enumerators of a type and the words that stand for them in messages.

#include <array>
#include <cstddef>
#include <string>
#include <string_view>
#include <utility>

#include "protocol/errors.h"

namespace burlpoint::protocol {

/// The word on the wire and the enumerator, for every value of `E` that may be sent.
template <typename E, std::size_t N>
using EnumNames = std::array<std::pair<std::string_view, E>, N>;

/// The enumerator that the word stands for; throws `MalformedMessage` if there is none.
template <typename E, std::size_t N>
E parseEnum(const EnumNames<E, N>& names, std::string_view word) {
    for (const auto& [name, value] : names)
        if (name == word) return value;
    throw MalformedMessage("unknown word \"" + std::string(word) + "\"");
}

/// The word for the enumerator; empty if the table has none.
template <typename E, std::size_t N>
std::string_view enumName(const EnumNames<E, N>& names, E wanted) {
    for (const auto& [name, value] : names)
        if (value == wanted) return name;
    return "";
}

}  // namespace burlpoint::protocol
