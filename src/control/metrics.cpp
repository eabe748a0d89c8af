#include "control/metrics.hpp"

namespace pipitpond::control {
namespace {

template <typename Number>
double number(Number value) {
  return static_cast<double>(value);
}

}  // namespace

std::string render_metrics(const Replica& replica, const LeaderDuties& duties, const DaemonService& daemons,
                           const IoCounters& io) {
  const raft::Node& node = replica.node();
  const protocol::Configuration& configuration = replica.machine().configuration();
  // The components hold the counters; this temporary registry only formats them.
  metrics::Registry registry;
  registry.gauge("pipitpond_control_leader", "1 on the leader.").set(replica.leading() ? 1 : 0);
  registry.gauge("pipitpond_control_term", "Raft term.").set(number(node.term()));
  registry
      .counter("pipitpond_control_candidacies_total",
               "Times this replica stood for election, asking for pre-votes included.")
      .increment(number(node.candidacies()));
  registry.gauge("pipitpond_control_commit_index", "Last committed log entry.")
      .set(number(node.commit_index()));
  registry.gauge("pipitpond_control_revision", "Applied revision.").set(number(configuration.revision));
  registry.gauge("pipitpond_control_settled_revision", "Revision that all daemons have settled; leader only.")
      .set(number(duties.settled_everywhere()));
  registry.gauge("pipitpond_control_members", "Members of control.")
      .set(number(node.membership().members.size()));
  registry.gauge("pipitpond_control_voters", "Voting members of control.")
      .set(number(node.membership().voter_count()));
  if (replica.leading()) {
    registry
        .gauge("pipitpond_control_voters_in_contact",
               "Voters that answer the leader, itself included; more than half of them must. Leader only.")
        .set(number(node.voters_in_contact()));
  }
  registry.gauge("pipitpond_control_daemons", "Admitted daemons.").set(number(configuration.daemons.size()));
  registry.gauge("pipitpond_control_disk_full", "1 while the replica waits for room on its disk.")
      .set(replica.disk_full() ? 1 : 0);
  registry.counter("pipitpond_control_syncs_total", "Log syncs.").increment(number(replica.syncs()));
  registry.counter("pipitpond_control_heartbeats_total", "Heartbeats answered.")
      .increment(number(daemons.heartbeats()));
  registry.counter("pipitpond_control_fetches_total", "Configuration fetches answered.")
      .increment(number(daemons.fetches()));
  registry.counter("pipitpond_control_fetch_bytes_total", "Bytes of the pages of the configuration sent.")
      .increment(number(daemons.fetch_bytes()));
  registry.counter("pipitpond_control_wire_messages_total", "Messages received over the internal protocol.")
      .increment(number(daemons.messages()));
  registry.counter("pipitpond_control_wire_bytes_received_total", "Bytes received over it.")
      .increment(number(io.wire_bytes_received));
  registry.counter("pipitpond_control_wire_bytes_sent_total", "Bytes sent over it.")
      .increment(number(io.wire_bytes_sent));
  registry.counter("pipitpond_control_log_bytes_written_total", "Bytes of log and snapshots written.")
      .increment(number(io.log_bytes_written));
  return registry.text();
}

}  // namespace pipitpond::control
