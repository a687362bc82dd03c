#include <ibishinge/fleet/answer_delay.h>

#include <algorithm>
#include <vector>

namespace ibishinge::fleet {

namespace {

constexpr milliseconds sampleAge {500};
/// With fewer workers, a single slow one would decide.
constexpr std::size_t minSamples = 8;

} // namespace

void recordAnswer(answer_delay &answers, const std::string &worker, milliseconds delay, instant now)
{
    answers.samples[worker] = {now, delay};
    std::erase_if(answers.samples,
                  [now](const auto &each) { return each.second.at <= now - sampleAge; });
}

milliseconds typicalDelay(const answer_delay &answers, instant now)
{
    std::vector<milliseconds> delays;
    for (const auto &[worker, sample] : answers.samples) {
        if (sample.at > now - sampleAge) {
            delays.push_back(sample.delay);
        }
    }
    if (delays.size() < minSamples) {
        return milliseconds(0);
    }
    const auto quartile = delays.begin() + static_cast<std::ptrdiff_t>(delays.size() / 4);
    std::nth_element(delays.begin(), quartile, delays.end());
    return *quartile;
}

} // namespace ibishinge::fleet
