#pragma once
// The state of one machine according to its newest heartbeat.
#include "ids/controller_id.hpp"
#include "ids/dense_id_set.hpp"
#include "net/runtime.hpp"
#include "wire/cloud.hpp"
#include "wire/resources.hpp"
#include "wire/worker.hpp"

namespace limemast::machines {
using wire::Resources;

/// A machine as its newest heartbeat shows it, whichever controller received that heartbeat.
struct MachineStatus {
  ids::DenseId id = 0;                      ///< interned id of the machine's name
  const wire::MachineType* type = nullptr;  ///< nullptr while the machine type is unknown
  wire::Heartbeat heartbeat;                ///< the newest one
  ids::ControllerId attached_controller;    ///< the controller that received it
  /// When this controller, or the one that the machine is attached to, last received a heartbeat.
  net::Time last_heartbeat{};
  net::Time first_heartbeat{};  ///< when this controller first learned of the machine
  bool registered = false;      ///< a record in the state service names it
  bool cordoned = false;        ///< it is being terminated or drained, and gets no new tasks
  bool drained = false;         ///< operators drain the machine or its zone
  /// Whether `free` and `has_long_tasks` are valid: the type and the jobs of all tasks are known.
  bool resources_known = false;
  Resources free;               ///< resources of its type minus those of its live tasks
  bool has_long_tasks = false;  ///< a live task of a long job is on it

  /// Whether the machine's own state allows new tasks.
  bool accepts_tasks() const {
    return registered && !cordoned && !drained && !heartbeat.preemption_notice;
  }
};
}  // namespace limemast::machines
