#include "plots.hpp"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <map>

#include "oracle/measures.hpp"

namespace pipitpond::load {
namespace {

using workload::Ending;
using workload::Operation;

constexpr double kMicrosPerSecond = 1e6;
constexpr double kLagBucketSeconds = 0.5;

double seconds_since(workload::UnixMicros moment, workload::UnixMicros began) {
  return static_cast<double>(moment - began) / kMicrosPerSecond;
}

/// Share of done reads that replicas served, by second.
void write_shares(std::ostream& file, const PlotInput& input) {
  struct Reads {
    std::uint64_t replica = 0;
    std::uint64_t all = 0;
  };
  std::map<std::int64_t, Reads> by_second;
  for (const workload::RequestRecord& record : input.history.requests) {
    if (record.operation == Operation::kRead && record.ending == Ending::kDone) {
      Reads& reads = by_second[static_cast<std::int64_t>(seconds_since(record.ended_us, input.began_us))];
      ++reads.all;
      reads.replica += record.served_by == "replica" ? 1 : 0;
    }
  }
  for (const auto& [second, reads] : by_second) {
    file << second << " " << static_cast<double>(reads.replica) / static_cast<double>(reads.all) << "\n";
  }
}

/// Greatest lag of any replica, by half second.
void write_lags(std::ostream& file, const PlotInput& input) {
  std::map<std::int64_t, std::uint64_t> by_bucket;
  for (const oracle::LagPoint& point : oracle::replica_lag(input.observations)) {
    const double second = seconds_since(point.at_us, input.began_us);
    std::uint64_t& lag = by_bucket[static_cast<std::int64_t>(second / kLagBucketSeconds)];
    lag = std::max(lag, point.entries);
  }
  for (const auto& [bucket, lag] : by_bucket) {
    file << static_cast<double>(bucket) * kLagBucketSeconds << " " << lag << "\n";
  }
}

/// Each landed write as a point: moment and group number.
void write_landings(std::ostream& file, const PlotInput& input) {
  std::map<core::GroupName, int> rows;
  for (const workload::RequestRecord& record : input.history.requests) {
    if (is_write(record) && record.ending == Ending::kDone) {
      const int row = rows.try_emplace(record.group, static_cast<int>(rows.size()) + 1).first->second;
      file << seconds_since(record.ended_us, input.began_us) << " " << row << "\n";
    }
  }
}

/// Each fault as a line over its time.
void write_faults(std::ostream& file, const PlotInput& input) {
  for (const oracle::FaultRecord& fault : input.report.faults) {
    file << seconds_since(fault.began_us, input.began_us) << " "
         << seconds_since(fault.ended_us, input.began_us) << " "
         << nlohmann::json(fault.kind).get<std::string>() << "\n";
  }
}

void write_percentiles(std::ostream& file, const workload::History& history, bool writes) {
  const std::vector<double> samples = oracle::latencies_ms(history, writes);
  for (const double percent : {1.0, 5.0, 10.0, 25.0, 50.0, 75.0, 90.0, 95.0, 99.0, 99.9, 100.0}) {
    file << percent << " " << oracle::quantile(samples, percent / 100) << "\n";
  }
}

std::string script_head(const std::string& svg, const std::string& title) {
  return "set terminal svg size 960,420 background 'white'\nset output '" + svg + "'\nset title '" + title +
         "'\nset grid\n";
}

std::string fault_marks() {
  return "set style arrow 1 nohead lc rgb '#cc0000' lw 1 dt 2\n";
}

bool write_script(const std::string& path, const std::string& text) {
  std::ofstream file(path);
  file << text;
  file.flush();
  return file.good();
}

}  // namespace

bool write_plot_files(const PlotInput& input, const std::string& out) {
  const std::string name = input.report.workload;
  std::error_code ignored;
  std::filesystem::create_directories(out + "/data", ignored);
  const std::string data = out + "/data/" + name;
  const auto write_data = [&](const std::string& kind, const auto& writer) {
    std::ofstream file(data + "-" + kind + ".dat");
    writer(file, input);
    file.flush();
    return file.good();
  };
  bool good = write_data("share", write_shares) && write_data("lag", write_lags) &&
              write_data("landings", write_landings) && write_data("faults", write_faults);
  for (const bool writes : {false, true}) {
    std::ofstream file(data + (writes ? "-writes.dat" : "-reads.dat"));
    write_percentiles(file, input.history, writes);
    good = good && file.good();
  }
  const std::string faults =
      "'data/" + name + "-faults.dat' using 1:(0):(0):(1) with vectors arrowstyle 1 axes x1y2 title 'fault'";
  const std::string time = "set xlabel 'seconds'\nset y2range [0:1]\nunset y2tics\n" + fault_marks();
  good =
      good &&
      write_script(data + "-share.gp",
                   script_head(name + "-replica-share.svg", name + ": share of reads at replicas, and lag") +
                       time + "set ylabel 'share'\nset yrange [0:1]\nset y2range [0:*]\nset y2tics\n" +
                       "set y2label 'entries behind'\nplot 'data/" + name +
                       "-share.dat' with lines lw 2 title 'replica share', 'data/" + name +
                       "-lag.dat' axes x1y2 with lines title 'greatest lag'\n");
  good = good &&
         write_script(data + "-gaps.gp",
                      script_head(name + "-write-gaps.svg", name + ": landed writes by group") + time +
                          "set ylabel 'group'\nset yrange [0:4]\nset ytics 1\nplot 'data/" + name +
                          "-landings.dat' with points pt 7 ps 0.25 title 'write landed', " + faults + "\n");
  good = good && write_script(data + "-latency.gp",
                              script_head(name + "-latency.svg", name + ": latency percentiles") +
                                  "set xlabel 'percentile'\nset ylabel 'ms'\nset logscale y\nplot 'data/" +
                                  name + "-reads.dat' with linespoints title 'reads', 'data/" + name +
                                  "-writes.dat' with linespoints title 'writes'\n");
  return good;
}

}  // namespace pipitpond::load
