#pragma once
// Resources that tasks require and machines provide.
#include "wire/cloud.hpp"
#include "wire/job.hpp"

namespace limemast::wire {
/// Resources that a task requires, or that a machine has in total or free.
struct Resources {
  double cpus = 0;
  double ram_gb = 0;
  double accelerators = 0;

  /// fits() ignores differences below this, since sums of fractions of a CPU are not exact.
  static constexpr double kTolerance = 1e-6;

  /// The requirements of one task of the job.
  static Resources of(const JobSpec& spec) { return {spec.cpus, spec.ram_gb, spec.accelerators}; }
  /// The resources of an empty machine of the type.
  static Resources of(const MachineType& type) {
    return {type.cpus, type.ram_gb, type.accelerators};
  }
  Resources& operator+=(const Resources& other) {
    cpus += other.cpus;
    ram_gb += other.ram_gb;
    accelerators += other.accelerators;
    return *this;
  }
  Resources& operator-=(const Resources& other) {
    cpus -= other.cpus;
    ram_gb -= other.ram_gb;
    accelerators -= other.accelerators;
    return *this;
  }
  bool operator==(const Resources&) const = default;
  /// Whether a task that requires `need` fits into these resources.
  bool fits(const Resources& need) const {
    return need.cpus <= cpus + kTolerance && need.ram_gb <= ram_gb + kTolerance &&
           need.accelerators <= accelerators + kTolerance;
  }
};
}  // namespace limemast::wire
