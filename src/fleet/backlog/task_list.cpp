#include <ibishinge/fleet/backlog/task_list.h>

#include <algorithm>

namespace ibishinge::fleet {

namespace {

const task_entry &unchangedTask()
{
    static const task_entry unchanged;
    return unchanged;
}

const task_entry &doneTask()
{
    static const task_entry done = [] {
        task_entry entry;
        entry.phase = task_phase::done;
        return entry;
    }();
    return done;
}

std::size_t countUnchanged(const task_list &tasks) noexcept
{
    return tasks.count - tasks.doneCount - tasks.changed.size();
}

bool isDone(const task_list &tasks, std::size_t index)
{
    return !tasks.done.empty() && tasks.done[index];
}

} // namespace

task_phase phaseOf(const task_list &tasks, std::size_t index)
{
    return taskAt(tasks, index).phase;
}

const task_entry &taskAt(const task_list &tasks, std::size_t index)
{
    if (isDone(tasks, index)) {
        return doneTask();
    }
    const auto found = tasks.changed.find(index);
    return found == tasks.changed.end() ? unchangedTask() : found->second;
}

task_entry &changeTask(task_list &tasks, std::size_t index)
{
    return tasks.changed[index];
}

void markDone(task_list &tasks, std::size_t index)
{
    tasks.done.resize(tasks.count);
    tasks.done[index] = true;
    ++tasks.doneCount;
    tasks.changed.erase(index);
}

bool isUnchanged(const task_list &tasks) noexcept
{
    return countUnchanged(tasks) == tasks.count;
}

bool isPlaceable(const task_entry &task, instant now) noexcept
{
    return task.phase == task_phase::waiting && task.notBefore <= now;
}

std::size_t countPlaceable(const task_list &tasks, instant now)
{
    return countUnchanged(tasks)
           + static_cast<std::size_t>(
               std::count_if(tasks.changed.begin(), tasks.changed.end(),
                             [now](const auto &each) { return isPlaceable(each.second, now); }));
}

bool hasPlaceable(const task_list &tasks, instant now)
{
    return countUnchanged(tasks) > 0
           || std::any_of(tasks.changed.begin(), tasks.changed.end(),
                          [now](const auto &each) { return isPlaceable(each.second, now); });
}

std::size_t countWaiting(const task_list &tasks)
{
    return countUnchanged(tasks)
           + static_cast<std::size_t>(
               std::count_if(tasks.changed.begin(), tasks.changed.end(), [](const auto &each) {
                   return each.second.phase == task_phase::waiting;
               }));
}

std::optional<std::size_t> findFirst(const task_list &tasks,
                                     const std::function<bool(const task_entry &)> &matches)
{
    if (!matches(unchangedTask()) && !matches(doneTask())) {
        const auto found = std::find_if(tasks.changed.begin(), tasks.changed.end(),
                                        [&](const auto &each) { return matches(each.second); });
        return found == tasks.changed.end() ? std::nullopt : std::optional(found->first);
    }
    for (std::size_t index = 0; index < tasks.count; ++index) {
        if (matches(taskAt(tasks, index))) {
            return index;
        }
    }
    return std::nullopt;
}

} // namespace ibishinge::fleet
