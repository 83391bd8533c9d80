#include "ids/id_interner.hpp"

namespace limemast::ids {
DenseId IdInterner::assign(const std::string& name) {
  if (auto it = ids_.find(name); it != ids_.end()) return it->second;
  DenseId id = 0;
  if (free_.empty()) {
    id = static_cast<DenseId>(names_.size());
    names_.push_back(name);
  } else {
    id = free_.back();
    free_.pop_back();
    names_[id] = name;
  }
  ids_.emplace(name, id);
  return id;
}

std::optional<DenseId> IdInterner::find(const std::string& name) const {
  auto it = ids_.find(name);
  return it == ids_.end() ? std::nullopt : std::optional(it->second);
}

void IdInterner::release(const std::string& name) {
  auto it = ids_.find(name);
  if (it == ids_.end()) return;
  names_[it->second].clear();
  free_.push_back(it->second);
  ids_.erase(it);
}
}  // namespace limemast::ids
