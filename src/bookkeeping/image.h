#pragma once

#include <cstddef>
#include <functional>
#include <string>

namespace burlpoint::bookkeeping {

/// A task image, by its name. Each name is kept once for the life of the process, so that images are compared
/// and hashed by the name's address: a heartbeat compares the images of a machine with those of all waiting
/// jobs. Only for the thread that owns the process's state.
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
    const std::string* name_;
};

/// An image in a machine's cache.
struct CachedImage {
    Image image;
    double gb = 0;
};

}  // namespace burlpoint::bookkeeping
