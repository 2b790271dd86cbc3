#include "dotterellead/usage.h"

namespace dotterellead::usage {

std::optional<window_report> task_table::Select(const duty_log& log,
                                                unix_millis now) {
  for (std::size_t i = 0; i < tasks_.size(); ++i) {
    const leader_task& task = tasks_[i];
    const window_record* last = log.LastWindow(task.name);
    if (unconfirmed_.erase(i) > 0 && last != nullptr &&
        !IsLate({i, *last}, now))
      return window_report{i, *last};
    // The first window that is not late.
    window_number window =
        WindowAt({now.value - task.windows.give_up_delay().count()},
                 task.windows.period);
    const window_number next = log.NextWindow(task.name);
    if (next.is_valid())
      window = std::max(window, next);
    if (task.source->StateOf(window, now) == window_state::kReady)
      return window_report{i,
                           {task.name, window,
                            task.encode(window, task.source->CountsOf(window)),
                            log.era().value_or(0)}};
  }
  return std::nullopt;
}

void task_table::RepeatLast() {
  for (std::size_t i = 0; i < tasks_.size(); ++i)
    unconfirmed_.insert(i);
}

bool task_table::IsLate(const window_report& report, unix_millis now) const {
  const window_settings& windows = tasks_[report.task].windows;
  return now.value >= windows.EndOf(report.record.window).value +
                          windows.give_up_delay().count();
}

void task_table::SkipEnded(duty_log& log, unix_millis now) const {
  for (const leader_task& task : tasks_)
    log.RaiseNext(task.name, WindowAt(now, task.windows.period));
}

milliseconds task_table::LongestPeriod() const {
  milliseconds longest(0);
  for (const leader_task& task : tasks_)
    longest = std::max(longest, task.windows.period);
  return longest;
}

}  // namespace dotterellead::usage
