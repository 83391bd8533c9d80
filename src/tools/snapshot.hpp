#pragma once
#include <memory>

#include "tools/api.hpp"

namespace limemast::tools {
/// All data of the operator API at one time, read page by page.
struct Snapshot {
  net::WallTime taken{};
  std::string from;  ///< the controller that answered the last request
  std::vector<wire::json> jobs, machines, coming, teams, controllers, drains, samples;
  std::vector<std::string> columns;  ///< of the samples
  /// One text per controller whose part is missing, with the age of the data shown instead.
  std::vector<std::string> missing;
  std::string leader;
};
wire::json to_json(const Snapshot& snapshot);

struct FetchOptions {
  bool history = true;
  std::size_t page = 200;
};
/// Reads a snapshot. `progress`, which may be null, is called with the number of entries read so
/// far. `done` is called with the snapshot, or with null and an error.
void fetch(Api& api, const FetchOptions& options, net::WallTime now,
           std::function<void(const std::string&)> progress,
           std::function<void(std::shared_ptr<Snapshot>, std::string error)> done);
}  // namespace limemast::tools
