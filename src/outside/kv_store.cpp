#include <ibishinge/outside/kv_store.h>

#include <cstddef>

namespace ibishinge {

result<void> checkBatchBounds(std::span<const conditional_write> writes)
{
    if (writes.size() > maxBatchWrites) {
        return makeError(error_kind::too_large, "batch", "more than 128 writes");
    }
    std::size_t bytes = 0;
    for (const auto &write : writes) {
        const std::size_t valueBytes = write.value ? write.value->size() : 0;
        if (valueBytes > maxValueBytes) {
            return makeError(error_kind::too_large, write.key, "value above 1 MiB");
        }
        bytes += write.key.size() + valueBytes;
    }
    if (bytes > maxBatchBytes) {
        return makeError(error_kind::too_large, "batch", "keys and values above the bound");
    }
    return {};
}

} // namespace ibishinge
