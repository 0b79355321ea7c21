// The size of values as JSON, to which the key-value store's size limits apply.
#include "protocol/json_size.h"

#include <gtest/gtest.h>

#include <string>

#include "protocol/message_packer.h"

using namespace burlpoint;

// The result is an upper bound, since JSON writers differ in spaces and escapes.
TEST(JsonBytes, IsAtLeastTheSizeOfTheJsonText) {
    using protocol::MessagePacker;
    const auto bytes = [](const MessagePacker& p) { return protocol::jsonBytes(p.str()); };
    EXPECT_EQ(bytes(MessagePacker().value("abc")), 5u);
    EXPECT_EQ(bytes(MessagePacker().value("a\"b\\\n")), 14u);
    EXPECT_EQ(bytes(MessagePacker().value("\xc3\xa9")), 8u);           // "\u00e9"
    EXPECT_EQ(bytes(MessagePacker().value("\xf0\x9f\x9a\xa2")), 14u);  // two escapes
    EXPECT_EQ(bytes(MessagePacker().value(412)), 3u);
    EXPECT_GE(bytes(MessagePacker().value(240.5)), 5u);
    EXPECT_GE(bytes(MessagePacker().map(1).field("a", true)), std::string(R"({"a": true})").size());
    EXPECT_GE(bytes(MessagePacker().list(2).value(1).value(2)), std::string("[1, 2]").size());
}
