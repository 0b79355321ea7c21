// The memory that reading a message takes. It must follow from the message's size, and not from the sizes
// that it declares.
#include <gtest/gtest.h>

#include <string>
#include <string_view>

#include "memory/heap_meter.h"
#include "protocol/errors.h"
#include "protocol/msgpack_codec.h"

namespace burlpoint::tests {

namespace {

using namespace std::string_view_literals;

/// The memory that one small body may take while it is read.
constexpr std::size_t kMaxBytes = std::size_t{1} << 20;
constexpr int kDepth = 31;  // nested lists or maps, the most that are accepted

std::string nested(std::string_view header) {
    std::string body;
    for (int i = 0; i < kDepth; ++i) body += header;
    return body;
}

}  // namespace

// Guards against a request of 155 bytes for which 74 MB were allocated, more than a whole controller may
// hold: each nested list declared 100,000 elements, for which the memory was allocated before the first was
// read.
TEST(DeclaredSizesMemory, NestedListsDeclareManyElementsThenBodyIsRefusedWithoutMemoryForThem) {
    for (const auto header : {"\xdd\x00\x01\x86\xa0"sv, "\xdf\x00\x01\x86\xa0\xa1k"sv}) {
        const auto body = nested(header);
        HeapMeter heap;
        EXPECT_THROW(protocol::unpackBody(body), protocol::MalformedMessage);
        EXPECT_LT(heap.peakBytes(), kMaxBytes);
    }
}

TEST(DeclaredSizesMemory, ListHasAsManyElementsAsItDeclaresThenItIsRead) {
    constexpr std::size_t kElements = 70'000;
    protocol::MessagePacker packer;
    packer.map(1).key("list").list(kElements);
    for (std::size_t i = 0; i < kElements; ++i) packer.value(true);
    const auto body = packer.str();
    const auto handle = protocol::unpackBody(body);
    EXPECT_EQ(protocol::MapReader(handle.get()).size("list"), kElements);
}

}  // namespace burlpoint::tests
