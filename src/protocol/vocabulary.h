#pragma once

// Tables between enumerators and the words that stand for them in messages.

#include <array>
#include <cstddef>
#include <string>
#include <string_view>
#include <utility>

#include "protocol/pack.h"

namespace burlpoint::protocol {

/// The words for all values of an enumeration.
template <typename E, std::size_t N>
using Vocabulary = std::array<std::pair<std::string_view, E>, N>;

/// The value that the word stands for; throws Malformed if there is none.
template <typename E, std::size_t N>
E parseWord(const Vocabulary<E, N>& vocabulary, std::string_view word) {
    for (const auto& [name, value] : vocabulary)
        if (name == word) return value;
    throw Malformed("unknown word \"" + std::string(word) + "\"");
}

/// The word for the value.
template <typename E, std::size_t N>
std::string_view wordFor(const Vocabulary<E, N>& vocabulary, E wanted) {
    for (const auto& [name, value] : vocabulary)
        if (value == wanted) return name;
    return "";
}

}  // namespace burlpoint::protocol
