#include "memory/heap_meter.h"

#include <malloc.h>

#include <algorithm>
#include <cerrno>
#include <cstdlib>

// The allocator of the C library under its internal names.
extern "C" {
// NOLINTNEXTLINE(bugprone-reserved-identifier,readability-identifier-naming): a name of the C library
void* __libc_malloc(std::size_t size);
// NOLINTNEXTLINE(bugprone-reserved-identifier,readability-identifier-naming): a name of the C library
void* __libc_calloc(std::size_t count, std::size_t size);
// NOLINTNEXTLINE(bugprone-reserved-identifier,readability-identifier-naming): a name of the C library
void* __libc_realloc(void* memory, std::size_t size);
// NOLINTNEXTLINE(bugprone-reserved-identifier,readability-identifier-naming): a name of the C library
void* __libc_memalign(std::size_t alignment, std::size_t size);
// NOLINTNEXTLINE(bugprone-reserved-identifier,readability-identifier-naming): a name of the C library
void __libc_free(void* memory);
}

namespace {

std::size_t allocatedBytes = 0;
std::size_t peakBytesAllocated = 0;

void* recordAllocation(void* memory) {
    if (!memory) return nullptr;
    allocatedBytes += malloc_usable_size(memory);
    peakBytesAllocated = std::max(peakBytesAllocated, allocatedBytes);
    return memory;
}

void recordRelease(void* memory) {
    if (memory) allocatedBytes -= malloc_usable_size(memory);
}

}  // namespace

extern "C" {

void* malloc(std::size_t size) { return recordAllocation(__libc_malloc(size)); }

void* calloc(std::size_t count, std::size_t size) { return recordAllocation(__libc_calloc(count, size)); }

void* realloc(void* memory, std::size_t size) {
    recordRelease(memory);
    return recordAllocation(__libc_realloc(memory, size));
}

void* memalign(std::size_t alignment, std::size_t size) {
    return recordAllocation(__libc_memalign(alignment, size));
}

void* aligned_alloc(std::size_t alignment, std::size_t size) { return memalign(alignment, size); }

int posix_memalign(void** memory, std::size_t alignment, std::size_t size) {
    *memory = memalign(alignment, size);
    return *memory ? 0 : ENOMEM;
}

void free(void* memory) {
    recordRelease(memory);
    __libc_free(memory);
}

}  // extern "C"

namespace burlpoint::tests {

HeapMeter::HeapMeter() : bytesAtStart_(allocatedBytes) { peakBytesAllocated = allocatedBytes; }

std::size_t HeapMeter::peakBytes() const { return peakBytesAllocated - bytesAtStart_; }

std::size_t HeapMeter::currentBytes() const {
    return allocatedBytes - std::min(allocatedBytes, bytesAtStart_);
}

}  // namespace burlpoint::tests
