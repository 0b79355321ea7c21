#pragma once

// Includes all headers for reading and writing MessagePack.

#include "protocol/json_size.h"
#include "protocol/map_reader.h"
#include "protocol/message_packer.h"
