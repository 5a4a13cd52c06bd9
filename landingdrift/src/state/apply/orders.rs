//! Orders take effect once: the first copy that enters the log in time is obeyed, the others get its answer.

use super::{pack_apply_result, unpack_apply_result, ApplyResult};
use crate::state::{ClusterState, Order, Rejection};

impl ClusterState {
    /// Judges one copy of an order. Its answer is kept until the deadline; copies after that commit as nothing.
    pub(super) fn order(&mut self, order: &Order) -> ApplyResult {
        self.forget_answers();
        let key = (order.deadline, order.proposal.clone());
        if let Some(answer) = self.orders.get(&key).and_then(|a| unpack_apply_result(a)) {
            return answer;
        }
        (self.at <= order.deadline)
            .then_some(())
            .ok_or(Rejection::DeadlinePassed)?;
        let result = if order.action.is_order() {
            self.dispatch(&order.action)
        } else {
            Err(Rejection::Invalid {
                path: "action".into(),
                remedy: "this is no order: propose it as it is".into(),
            })
        };
        self.orders.insert(key, pack_apply_result(&result));
        result
    }

    /// Drops answers whose deadline has passed: no copy that comes now is obeyed any more.
    fn forget_answers(&mut self) {
        let at = self.at;
        while let Some(first) = self.orders.first_entry().filter(|e| e.key().0 < at) {
            first.remove();
        }
    }
}
