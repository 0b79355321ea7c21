#include "storage/keys.h"

namespace burlpoint::storage::keys {

std::string job(const std::string& id) { return kJobPrefix + id; }

std::string bitmapChunk(const std::string& id, std::size_t chunk) {
    return kJobPrefix + id + "/" + std::to_string(chunk);
}

std::string bitmapPart(const std::string& id, std::size_t first, std::size_t end) {
    return bitmapChunk(id, first).append("-").append(std::to_string(end));
}

std::string machine(const std::string& id) { return kMachinePrefix + id; }

}  // namespace burlpoint::storage::keys
