#include "memory/heap_meter.h"

#include <malloc.h>

#include <algorithm>
#include <cstdlib>
#include <new>

namespace {

std::size_t allocatedBytes = 0;
std::size_t peakBytesAllocated = 0;

void* allocate(std::size_t size) {
    void* memory = std::malloc(size);
    if (!memory) throw std::bad_alloc();
    allocatedBytes += malloc_usable_size(memory);
    peakBytesAllocated = std::max(peakBytesAllocated, allocatedBytes);
    return memory;
}

void release(void* memory) {
    if (!memory) return;
    allocatedBytes -= malloc_usable_size(memory);
    std::free(memory);
}

}  // namespace

void* operator new(std::size_t size) { return allocate(size); }
void* operator new[](std::size_t size) { return allocate(size); }
void operator delete(void* memory) noexcept { release(memory); }
void operator delete[](void* memory) noexcept { release(memory); }
void operator delete(void* memory, std::size_t /*size*/) noexcept { release(memory); }
void operator delete[](void* memory, std::size_t /*size*/) noexcept { release(memory); }

namespace burlpoint::tests {

HeapMeter::HeapMeter() : bytesAtStart_(allocatedBytes) { peakBytesAllocated = allocatedBytes; }

std::size_t HeapMeter::peakBytes() const { return peakBytesAllocated - bytesAtStart_; }

std::size_t HeapMeter::currentBytes() const {
    return allocatedBytes - std::min(allocatedBytes, bytesAtStart_);
}

}  // namespace burlpoint::tests
