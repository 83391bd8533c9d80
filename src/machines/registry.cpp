#include "machines/registry.hpp"

#include <algorithm>

namespace limemast::machines {
bool Registry::update(const wire::Report& report, const cluster::Tag& host, net::Time now) {
  if (gone(report.machine)) return false;
  auto [it, fresh] = views_.try_emplace(report.machine);
  auto& view = it->second;
  if (fresh)
    view.first_heard = now;
  else if (!report.newer_than(view.report))
    return false;
  view.report = report;
  view.host = host;
  view.heard = now;
  for (const auto& t : report.tasks)
    if (t.phase == wire::TaskPhase::Running)
      if (const auto* job = jobs_.find(t.uid)) images_[report.machine].insert(job->spec.image);
  return true;
}

const View* Registry::find(const std::string& machine) const {
  auto it = views_.find(machine);
  return it == views_.end() ? nullptr : &it->second;
}

void Registry::remove(const std::string& machine) {
  views_.erase(machine);
  registered_.erase(machine);
  closed_.erase(machine);
  images_.erase(machine);
  gone_.insert(machine);
}

void Registry::set_types(std::vector<wire::MachineType> types) {
  types_.clear();
  for (auto& t : types) types_.emplace(t.name, std::move(t));
}

const wire::MachineType* Registry::type(const std::string& name) const {
  auto it = types_.find(name);
  return it == types_.end() ? nullptr : &it->second;
}

Room Registry::reported_room(const View& view) const {
  const auto* machine_type = type(view.report.type);
  if (!machine_type) return {};
  Room room = Room::of(*machine_type);
  for (const auto& t : view.report.tasks) {
    if (t.exited()) continue;
    const auto* job = jobs_.find(t.uid);
    if (!job || !job->spec_known) return {};
    room -= Room::of(job->spec);
  }
  return room;
}

bool Registry::holds_long(const View& view) const {
  return std::any_of(view.report.tasks.begin(), view.report.tasks.end(), [&](const wire::TaskReport& t) {
    if (t.exited()) return false;
    const auto* job = jobs_.find(t.uid);
    return job && job->is_long;
  });
}

bool Registry::has_image(const std::string& machine, const std::string& image) const {
  auto it = images_.find(machine);
  return it != images_.end() && it->second.contains(image);
}
}  // namespace limemast::machines
