#include "pooling/routes.hpp"

namespace pipitpond::pooling {

void Routes::apply(const protocol::RouteTable& table) {
  if (table.version == version_) {
    return;
  }
  version_ = table.version;
  transaction_idle_limit_ = std::chrono::milliseconds(table.transaction_idle_ms);
  by_database_.clear();
  for (const protocol::Route& route : table.routes) {
    const auto [found, is_new] = by_database_.try_emplace(route.database, route);
    if (!is_new && route.path_prefix.size() < found->second.path_prefix.size()) {
      found->second = route;
    }
  }
}

std::optional<protocol::Route> Routes::find(const std::string& database) const {
  const auto found = by_database_.find(database);
  if (found == by_database_.end()) {
    return std::nullopt;
  }
  return found->second;
}

}  // namespace pipitpond::pooling
