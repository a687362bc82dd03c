#pragma once

#include <ibishinge/fleet/types.h>

#include <map>
#include <string>

namespace ibishinge::fleet {

/// How long workers' answers to orders take to arrive. A link that is full delays all of them, as
/// does a busy relay; a few workers that are slow or silent do not show in the typical delay.
struct answer_delay
{
    struct sample
    {
        instant at;
        milliseconds delay {0};
    };
    std::map<std::string, sample> samples; ///< the last one of each worker
};

/// Records that an order to a worker that was known to answer has been answered, or given up,
/// `delay` after it was sent. Not thread-safe for the same object.
void recordAnswer(answer_delay &answers, const std::string &worker, milliseconds delay,
                  instant now);

/// Returns the lower quartile of the recent delays; 0 if there are too few of them to tell.
/// Thread-safe for a constant object.
[[nodiscard]] milliseconds typicalDelay(const answer_delay &answers, instant now);

} // namespace ibishinge::fleet
