#include "diagnostics/order_statistic_tree.hpp"

#include <unordered_map>
#include <utility>

#include <ext/pb_ds/assoc_container.hpp>
#include <ext/pb_ds/tree_policy.hpp>

namespace limemast::diagnostics {
namespace {
using Entry = std::pair<QueueKey, std::string>;  ///< key and uid
using EntryTree =
    __gnu_pbds::tree<Entry, __gnu_pbds::null_type, std::less<>, __gnu_pbds::rb_tree_tag,
                     __gnu_pbds::tree_order_statistics_node_update>;
}  // namespace

struct OrderStatisticTree::Tree {
  EntryTree order;
  std::unordered_map<std::string, QueueKey> keys;  ///< by uid; contains the same jobs as `order`
};

OrderStatisticTree::OrderStatisticTree() : tree_(std::make_unique<Tree>()) {}
OrderStatisticTree::~OrderStatisticTree() = default;

void OrderStatisticTree::put(const std::string& uid, const QueueKey& key) {
  auto [it, added] = tree_->keys.try_emplace(uid, key);
  if (!added) {
    if (it->second == key) return;
    tree_->order.erase({it->second, uid});
    it->second = key;
  }
  tree_->order.insert({key, uid});
}

void OrderStatisticTree::erase(const std::string& uid) {
  auto it = tree_->keys.find(uid);
  if (it == tree_->keys.end()) return;
  tree_->order.erase({it->second, uid});
  tree_->keys.erase(it);
}

std::optional<std::size_t> OrderStatisticTree::position(const std::string& uid) const {
  auto it = tree_->keys.find(uid);
  if (it == tree_->keys.end()) return std::nullopt;
  return tree_->order.order_of_key({it->second, uid}) + 1;
}

std::size_t OrderStatisticTree::size() const { return tree_->keys.size(); }
}  // namespace limemast::diagnostics
