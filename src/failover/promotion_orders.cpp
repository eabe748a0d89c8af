#include "failover/promotion_orders.hpp"

namespace pipitpond::failover {

void PromotionOrders::on_leadership(core::Instant now) {
  leadership_since_ = now;
  term_begun_ = false;
  on_candidate_chosen();
  last_requested_.reset();
}

void PromotionOrders::on_candidate_chosen() {
  requested_ = 0;
  unfinished_ = 0;
}

void PromotionOrders::on_requested(core::Instant now) {
  ++requested_;
  ++unfinished_;
  last_requested_ = now;
}

void PromotionOrders::on_without_effect() {
  if (requested_ > 0) {
    --requested_;
  }
  on_failed();
}

void PromotionOrders::on_failed() {
  if (unfinished_ > 0) {
    --unfinished_;
  }
  if (unfinished_ == 0) {
    last_requested_.reset();
  }
}

void PromotionOrders::on_effect_seen() {
  // It may lead by an earlier one of its orders, and the last one be under way.
  if (requested_ == 1) {
    last_requested_.reset();
  }
}

bool PromotionOrders::own_may_take_effect(core::Instant now) const {
  return last_requested_.has_value() && now - *last_requested_ < kOrderConnectLimit + kOrderLifetime;
}

bool PromotionOrders::earlier_may_take_effect(core::Instant now) const {
  return !term_begun_ && now - leadership_since_ < kOrderLifetime;
}

bool PromotionOrders::may_send(core::Instant now) const {
  return now - leadership_since_ >= kOrderTransmissionLimit;
}

}  // namespace pipitpond::failover
