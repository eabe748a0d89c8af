#include "proxy/owned_databases.hpp"

#include <algorithm>
#include <utility>

#include "ownership/owner_table.hpp"

namespace pipitpond::proxy {

OwnedDatabases::OwnedDatabases(boost::asio::io_context& io, core::DaemonId self, agent::Agent& agent)
    : io_(io), self_(std::move(self)), agent_(agent) {}

void OwnedDatabases::apply(const protocol::Configuration& configuration) {
  std::map<core::DatabaseId, std::shared_ptr<OwnedDatabase>> next;
  for (const auto& [name, group] : configuration.groups) {
    apply_group(group, next);
  }
  for (const auto& [id, database] : owned_) {
    const auto kept = next.find(id);
    if (kept == next.end() || kept->second != database) {
      database->close();
      leaving_.push_back(database);
    }
  }
  owned_ = std::move(next);
  refresh_budgets();
}

void OwnedDatabases::apply_group(const protocol::Group& group,
                                 std::map<core::DatabaseId, std::shared_ptr<OwnedDatabase>>& next) {
  for (const protocol::Database& declaration : group.databases) {
    const std::vector<core::DaemonId>& owners = agent_.owner_table().owners(declaration.id);
    if (std::find(owners.begin(), owners.end(), self_) == owners.end()) {
      continue;
    }
    std::shared_ptr<OwnedDatabase> database = find(declaration.id);
    if (!database || database->endpoint() != declaration.endpoint || database->group() != group.name) {
      database = take_up(group, declaration);
    }
    if (!group.terms.empty()) {
      const protocol::TermStart& last = group.terms.back();
      database->set_expectation(last.term, last.primary == declaration.id);
    }
    next[declaration.id] = std::move(database);
  }
}

std::shared_ptr<OwnedDatabase> OwnedDatabases::take_up(const protocol::Group& group,
                                                       const protocol::Database& declaration) {
  const auto former = std::find_if(leaving_.begin(), leaving_.end(), [&](const auto& one) {
    return one->id() == declaration.id && one->endpoint() == declaration.endpoint &&
           one->group() == group.name;
  });
  if (former != leaving_.end()) {
    std::shared_ptr<OwnedDatabase> again = *former;
    leaving_.erase(former);
    again->reopen();
    return again;
  }
  agent::Agent& agent = agent_;
  const core::DatabaseId id = declaration.id;
  auto held_changed = [&agent, id](std::uint32_t held) { agent.report_held(id, held); };
  return std::make_shared<OwnedDatabase>(io_, group.name, declaration, "pipitpond-proxy " + self_.value(),
                                         std::move(held_changed));
}

void OwnedDatabases::refresh_budgets() {
  agent::Agent& agent = agent_;
  const auto may_open = [&agent] { return agent.lease_valid(core::BootClock::now()); };
  for (const auto& [id, database] : owned_) {
    database->set_budget(agent_.allowed(id), may_open);
  }
  std::erase_if(leaving_, [](const auto& database) { return database->pool().held() == 0; });
}

void OwnedDatabases::close() {
  for (const auto& [id, database] : owned_) {
    database->close();
    leaving_.push_back(database);
  }
  owned_.clear();
}

std::shared_ptr<OwnedDatabase> OwnedDatabases::find(const core::DatabaseId& database) const {
  const auto found = owned_.find(database);
  return found == owned_.end() ? nullptr : found->second;
}

std::uint32_t OwnedDatabases::held() const {
  std::uint32_t held = 0;
  for (const auto& [id, database] : owned_) {
    held += database->pool().held();
  }
  for (const std::shared_ptr<OwnedDatabase>& database : leaving_) {
    held += database->pool().held();
  }
  return held;
}

}  // namespace pipitpond::proxy
