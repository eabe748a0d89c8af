#include "control_world/operator.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "control_world/machine.hpp"

namespace pipitpond::control_world {

namespace {

constexpr core::Duration kAnswerLimit = std::chrono::milliseconds(700);
constexpr core::Duration kPauseMin = std::chrono::milliseconds(5);
constexpr core::Duration kPauseMax = std::chrono::milliseconds(120);
constexpr std::uint64_t kZones = 3;
/// Of a thousand steps, those in which an answered change is sent once more, and of those the ones with the
/// last.
constexpr std::uint32_t kResendPerMille = 150;
constexpr std::uint32_t kResendLastPerMille = 500;
/// Answered changes that may be sent again: those of some 20 s.
constexpr std::size_t kAnsweredKept = 100;
/// Of a thousand requests, those that go to another machine than the one that answered last.
constexpr std::uint32_t kOtherMachinePerMille = 200;

}  // namespace

Operator::Operator(Fleet& fleet, std::uint16_t number)
    : fleet_(fleet), number_(number), host_(fleet.scheduler, fmt::format("op{}", number)) {}

void Operator::start() {
  host_.start();
  pause_then(&Operator::next);
}

void Operator::pause_then(void (Operator::*step)()) {
  host_.after(fleet_.random.between(kPauseMin, kPauseMax), [this, step, number = steps_] {
    if (number == steps_) (this->*step)();
  });
}

ControlMachine& Operator::any_machine() {
  const auto machines = fleet_.directory.machines();
  if (fleet_.random.chance(kOtherMachinePerMille)) last_machine_ = fleet_.random.below(machines.size());
  // One without an identity is a spare or refuses the connection: the next one is asked.
  while (machines[last_machine_ % machines.size()]->identity().empty()) ++last_machine_;
  return *machines[last_machine_ % machines.size()];
}

void Operator::ask_again() {
  ++last_machine_;
  ++steps_;
  pause_then(change_ ? &Operator::send_change : &Operator::next);
}

void Operator::next() {
  ++steps_;
  if (change_) {
    send_change();
  } else if (!finishing_) {
    read();
  }
}

void Operator::read() {
  const SentRead sent{steps_, fleet_.oracle.least_current()};
  auto& machine = any_machine();
  const auto on_answer = [this, sent](const ReadAnswer& answer) { on_read(sent, answer); };
  fleet_.network.send(host_, machine.host(), [this, &machine, on_answer] {
    if (machine.process() == nullptr) return;
    machine.process()->read([this, &machine, on_answer](const ReadAnswer& answer) {
      fleet_.network.send(machine.host(), host_, [on_answer, answer] { on_answer(answer); });
    });
  });
  host_.after(kAnswerLimit, [this, number = steps_] {
    if (number == steps_) ask_again();
  });
}

void Operator::on_read(const SentRead& sent, const ReadAnswer& answer) {
  // Also late and doubled answers must be right.
  if (!answer.failure) fleet_.oracle.on_read_answered(answer, sent.least);
  if (sent.number != steps_) return;
  if (answer.failure) {
    ask_again();
    return;
  }
  ++steps_;
  begin_change(answer.configuration);
}

void Operator::begin_change(const protocol::Configuration& configuration) {
  const core::ZoneName name(fmt::format("zone-{}", fleet_.random.below(kZones)));
  const auto zone = configuration.zones.find(name);
  configuration::Command command;
  const auto tag = fmt::format("op{}-{}", number_, ++changes_);
  command.key = core::RequestKey(tag);
  command.expected_revision = zone == configuration.zones.end() ? 0 : zone->second.revision;
  command.operation = configuration::PutZone{name, core::RegionName(tag)};
  change_ = command;
  fleet_.oracle.on_change_sent(command);
  send_change();
}

void Operator::send_change() {
  ++steps_;
  auto& machine = any_machine();
  const auto command = *change_;
  fleet_.network.send(host_, machine.host(), [this, &machine, command] {
    if (machine.process() == nullptr) return;
    machine.process()->change(command, [this, &machine, command](const ChangeAnswer& answer) {
      const Answerer answerer{machine.host().name(), machine.host().life(), fleet_.oracle.elections()};
      fleet_.network.send(machine.host(), host_,
                          [this, command, answer, answerer] { on_change(command, answer, answerer); });
    });
  });
  host_.after(kAnswerLimit, [this, number = steps_] {
    if (number == steps_) ask_again();
  });
}

void Operator::on_change(const configuration::Command& command, const ChangeAnswer& answer,
                         const Answerer& answerer) {
  if (!answer.failure) {
    fleet_.oracle.on_change_answered(command, answer.result, answerer);
    if (!answer.result.error) last_accepted_ = std::max(last_accepted_, answer.result.revision);
  }
  if (!change_ || change_->key != command.key) return;
  if (answer.failure) {
    ask_again();
    return;
  }
  ++steps_;
  std::erase_if(answered_, [&](const auto& known) { return known.key == command.key; });
  answered_.push_back(*std::exchange(change_, std::nullopt));
  if (answered_.size() > kAnsweredKept) answered_.pop_front();
  if (!finishing_ && fleet_.random.chance(kResendPerMille)) resend_an_answered_one();
  pause_then(&Operator::next);
}

void Operator::resend_an_answered_one() {
  const bool last = fleet_.random.chance(kResendLastPerMille);
  change_ = last ? answered_.back() : answered_[fleet_.random.below(answered_.size())];
  ++last_machine_;
}

}  // namespace pipitpond::control_world
