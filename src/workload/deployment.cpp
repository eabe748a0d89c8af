#include "workload/deployment.hpp"

namespace pipitpond::workload {

Deployment archive_today() {
  Deployment archive;
  archive.name = "archive";
  archive.client_delay = std::chrono::milliseconds(1);
  archive.writers = 12;
  archive.readers = 24;
  return archive;
}

Deployment kigali_today() {
  Deployment kigali;
  kigali.name = "kigali";
  kigali.client_delay = std::chrono::milliseconds(3);
  kigali.writers = 24;
  kigali.confirmers = 4;
  kigali.readers = 36;
  return kigali;
}

}  // namespace pipitpond::workload
