#pragma once
#include <deque>
#include <string>
#include <unordered_map>
#include <utility>

namespace limemast::model {
struct Outcome {
  std::string violation;  ///< first violated rule and the steps that lead to it; empty if none
  std::size_t states = 0;
  std::size_t depth = 0;
};

/// Visits all states within `max_depth` steps of `start` in breadth-first order and stops at the
/// first violated rule. `for_each_step(state, emit)` calls `emit(name, next)` for each possible
/// step. `rule_violated(state)` returns the name of the rule that the state violates, or "".
template <class State, class Key, class Steps, class Rules>
void explore(const State& start, std::size_t max_depth, Key key_of, Steps for_each_step,
             Rules rule_violated, Outcome& out) {
  struct Visit {
    std::string previous;
    const char* step;
  };
  std::unordered_map<std::string, Visit> visited;
  visited.emplace(key_of(start), Visit{{}, ""});
  std::deque<std::pair<State, std::size_t>> pending{{start, 0}};
  while (!pending.empty() && out.violation.empty()) {
    auto [state, depth] = std::move(pending.front());
    pending.pop_front();
    out.depth = depth;
    if (depth == max_depth) continue;
    const auto from = key_of(state);
    for_each_step(state, [&](const char* step, const State& next) {
      if (!out.violation.empty() || !visited.emplace(key_of(next), Visit{from, step}).second)
        return;
      if (auto rule = rule_violated(next); !rule.empty()) {
        std::string path;
        for (auto key = key_of(next); !key.empty() && !visited.at(key).previous.empty();
             key = visited.at(key).previous)
          path = std::string(visited.at(key).step) + "; " + path;
        out.violation = rule + ": " + path;
        return;
      }
      pending.emplace_back(next, depth + 1);
    });
  }
  out.states = visited.size();
}
}  // namespace limemast::model
