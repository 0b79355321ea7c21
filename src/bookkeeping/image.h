#pragma once

// Interned names of task images, and the images in a machine's cache. Owns one copy of each name until the
// process ends. Used only on the thread that owns the process's state, as the names are not guarded by a
// lock.

#include <cstddef>
#include <functional>
#include <string>

namespace burlpoint::bookkeeping {

/// A task image, identified by its interned name. Images are compared and hashed by the address of that name,
/// because each heartbeat compares the images of a machine with those of all waiting jobs.
class Image {
  public:
    Image(const std::string& name);
    Image(const char* name) : Image(std::string(name)) {}

    const std::string& name() const { return *name_; }
    bool operator==(const Image&) const = default;

    struct Hash {
        std::size_t operator()(const Image& image) const { return std::hash<const void*>()(image.name_); }
    };

  private:
    const std::string* name_;  // never null
};

/// An image in a machine's cache.
struct CachedImage {
    Image image;
    double gb = 0;
};

}  // namespace burlpoint::bookkeeping
