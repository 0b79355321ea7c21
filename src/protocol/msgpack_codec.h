#pragma once

// Everything for reading and writing MessagePack in one include.

#include "protocol/json_size.h"
#include "protocol/map_reader.h"
#include "protocol/message_packer.h"
