// Judges writes by a mark that each of their statements carries (field "mark", one mark for each logical
// write), so that writes without a key are judged too, and transactions as a whole.
#pragma once

#include <string>
#include <vector>

#include "oracle/judge.hpp"
#include "workload/history.hpp"

namespace pipitpond::oracle {

/// A sentence for each broken promise: a mark in two entries; an entry with statements of two writes or only
/// a part of one; statements that were never sent to be committed; writes without a key that were done but
/// are missing or stand elsewhere; writes that were not run, or never left their caller, but are there.
std::vector<std::string> judge_marks(const workload::History& history, const GroupLog& log);

}  // namespace pipitpond::oracle
