//! At-most-once execution of orders: the first copy that enters the log before the deadline takes effect, and later
//! copies get the same result.

use super::{ensure, pack_apply_result, unpack_apply_result, ApplyResult};
use crate::state::{ClusterState, Command, Order, Rejection};

impl ClusterState {
    /// Applies one copy of an order. The result is kept until the deadline, after which copies are rejected. `seen` is the
    /// log index known at the receipt of the order, if the order carries it.
    pub(super) fn apply_order(&mut self, order: &Order, seen: Option<u64>) -> ApplyResult {
        self.drop_expired_results();
        let key = (order.deadline, order.proposal.clone());
        let known = self.orders.get(&key);
        if let Some(result) = known.and_then(|result| unpack_apply_result(result)) {
            return result;
        }
        ensure(self.at <= order.deadline, Rejection::DeadlinePassed)?;
        let result = if order.action.is_order() {
            self.apply_action(&order.action, seen)
        } else {
            Err(Rejection::Invalid {
                path: "action".into(),
                remedy: "this is no order: propose it as it is".into(),
            })
        };
        self.orders.insert(key, pack_apply_result(&result));
        result
    }

    /// Applies the action of an order, unless a later order has overtaken it.
    fn apply_action(&mut self, action: &Command, seen: Option<u64>) -> ApplyResult {
        match action {
            Command::SetEvacuation { zone, evacuate } => self.set_evacuation(zone, *evacuate, seen),
            Command::CancelJob { job } => self.cancel_job(job, seen),
            Command::ResolveTask {
                job,
                task,
                succeeded,
            } => self.resolve_task(job, task, *succeeded, seen),
            // A configuration change has a base version.
            action => self.dispatch(action),
        }
    }

    /// Drops results of orders whose deadline has passed: further copies can't take effect.
    fn drop_expired_results(&mut self) {
        while let Some(first) = self.orders.first_entry() {
            let (deadline, _) = first.key();
            if *deadline >= self.at {
                break;
            }
            first.remove();
        }
    }
}
