#include "jobs/final_status_cache.hpp"

namespace limemast::jobs {
void FinalStatusCache::put(const std::string& uid, const Status& status) {
  const bool added = statuses_.insert_or_assign(uid, status).second;
  if (!added) return;
  oldest_first_.push_back(uid);
  if (oldest_first_.size() <= capacity_) return;
  statuses_.erase(oldest_first_.front());
  oldest_first_.pop_front();
}

const Status* FinalStatusCache::find(const std::string& uid) const {
  const auto it = statuses_.find(uid);
  return it == statuses_.end() ? nullptr : &it->second;
}
}  // namespace limemast::jobs
