//! Orders take effect once: the first copy that enters the log in time is obeyed, the others get its answer.

use super::{pack_ruling, unpack_ruling, Ruling};
use crate::record::{Order, Record, Refusal};

impl Record {
    /// Judges one copy of an order. Its answer is kept until the deadline; copies after that commit as nothing.
    pub(super) fn order(&mut self, order: &Order) -> Ruling {
        self.forget_answers();
        let key = (order.deadline, order.proposal.clone());
        if let Some(answer) = self.orders.get(&key).and_then(|a| unpack_ruling(a)) {
            return answer;
        }
        (self.at <= order.deadline)
            .then_some(())
            .ok_or(Refusal::Late)?;
        let ruling = if order.action.is_order() {
            self.dispose(&order.action)
        } else {
            Err(Refusal::Invalid {
                path: "action".into(),
                remedy: "this is no order: propose it as it is".into(),
            })
        };
        self.orders.insert(key, pack_ruling(&ruling));
        ruling
    }

    /// Drops answers whose deadline has passed: no copy that comes now is obeyed any more.
    fn forget_answers(&mut self) {
        let at = self.at;
        while let Some(first) = self.orders.first_entry().filter(|e| e.key().0 < at) {
            first.remove();
        }
    }
}
