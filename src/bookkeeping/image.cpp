#include "bookkeeping/image.h"

#include <unordered_set>

namespace burlpoint::bookkeeping {

Image::Image(const std::string& name) {
    static std::unordered_set<std::string> names;
    name_ = &*names.insert(name).first;
}

}  // namespace burlpoint::bookkeeping
