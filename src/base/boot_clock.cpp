#include <ibishinge/base/boot_clock.h>

#include <ctime>

namespace ibishinge {

boot_clock::time_point boot_clock::now() noexcept
{
    std::timespec value {};
    clock_gettime(CLOCK_BOOTTIME, &value);
    const auto whole = std::chrono::seconds(value.tv_sec) + std::chrono::nanoseconds(value.tv_nsec);
    return time_point(std::chrono::duration_cast<duration>(whole));
}

} // namespace ibishinge
