// An operator who reads a zone, changes it under the revision that was read, and resends the change with its
// key to any machine until it is answered. Several of them race for the same zones.
#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "control_world/fleet.hpp"
#include "control_world/messages.hpp"
#include "simulation/host.hpp"

namespace pipitpond::control_world {

class Operator {
 public:
  Operator(Fleet& fleet, std::uint16_t number);

  void start();
  /// Begins nothing new; what is not answered is sent again until it is.
  void finish() { finishing_ = true; }
  /// Nothing is waiting for an answer.
  [[nodiscard]] bool idle() const { return !change_.has_value(); }
  /// The revision of the last accepted change; 0: none.
  [[nodiscard]] protocol::Revision last_accepted() const { return last_accepted_; }

 private:
  struct SentRead {
    std::uint64_t number = 0;
    protocol::Revision least = 0;
  };

  void next();
  void read();
  void on_read(const SentRead& sent, const ReadAnswer& answer);
  void begin_change(const protocol::Configuration& configuration);
  void send_change();
  void on_change(const configuration::Command& command, const ChangeAnswer& answer, const Answerer& answerer);
  /// As an operator whose answer was lost would do: the last change, or an earlier one that meanwhile leaders
  /// and machines have come and gone over.
  void resend_an_answered_one();
  void ask_again();
  ControlMachine& any_machine();
  void pause_then(void (Operator::*step)());

  Fleet& fleet_;
  std::uint16_t number_;
  simulation::Host host_;
  bool finishing_ = false;
  std::uint64_t steps_ = 0;  ///< Numbers steps, so that time limits of earlier ones are void.
  std::uint64_t changes_ = 0;
  std::optional<configuration::Command> change_;  ///< Not answered yet.
  std::deque<configuration::Command> answered_;   ///< The last ones that were, the newest at the back.
  std::size_t last_machine_ = 0;
  protocol::Revision last_accepted_ = 0;
};

}  // namespace pipitpond::control_world
