#pragma once

// Counts the bytes that the test process has allocated. The counters are kept by replacements of the C
// library's allocation functions, which all parts of the program use. Single-threaded.

#include <cstddef>

namespace burlpoint::tests {

/// Measures the growth of the heap from its construction on. At most one object may exist at a time.
class HeapMeter {
  public:
    HeapMeter();

    /// The largest growth so far, in bytes.
    std::size_t peakBytes() const;
    /// The present growth, in bytes; 0 if the heap has shrunk.
    std::size_t currentBytes() const;

  private:
    std::size_t bytesAtStart_;
};

}  // namespace burlpoint::tests
