#pragma once

#include <malloc.h>

#include <algorithm>
#include <cstddef>
#include <cstdlib>
#include <new>

/// Counts the bytes that the program holds on the heap. Included by one source file of a program
/// with one thread.
inline std::size_t heldBytes = 0;
inline std::size_t peakBytes = 0;

inline void *allocate(std::size_t size)
{
    void *const memory = std::malloc(size == 0 ? 1 : size); // NOLINT
    if (memory == nullptr) {
        throw std::bad_alloc();
    }
    heldBytes += malloc_usable_size(memory);
    peakBytes = std::max(peakBytes, heldBytes);
    return memory;
}

inline void release(void *memory) noexcept
{
    heldBytes -= memory == nullptr ? 0 : malloc_usable_size(memory);
    std::free(memory); // NOLINT
}

void *operator new(std::size_t size)
{
    return allocate(size);
}
void operator delete(void *memory) noexcept
{
    release(memory);
}
void operator delete(void *memory, std::size_t) noexcept
{
    release(memory);
}
