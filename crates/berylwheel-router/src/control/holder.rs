//! Carries out the actions that the budget holder requests.

use berylwheel_budget::HolderAction;
use berylwheel_peer::Message;
use berylwheel_types::Timestamp;

use crate::control::core::Control;

impl Control {
    pub(super) fn drive_holder(&mut self, now: Timestamp) {
        // An action may free or use tokens and so cause further ones: polls until none is left.
        loop {
            let actions = self.holder.poll(now);
            if actions.is_empty() {
                return;
            }
            for action in actions {
                match action {
                    HolderAction::Read(page) => self.effects.read_page(page),
                    HolderAction::Write { page, expected, content } => {
                        for (budget, account) in content.accounts() {
                            log::debug!(
                                budget:% = budget, version = content.version(),
                                credited = account.credited.0, billed = account.billed.0,
                                balance = account.balance.0, out = account.outstanding().0,
                                own = account.held_by(&self.incarnation).0; "grants written"
                            );
                        }
                        self.effects.write_page(page, expected, &content);
                    }
                    HolderAction::Recall { holder, budget } => self.send_recall(&holder, budget),
                    HolderAction::Borrow { lender, id, budget, amount, time } => {
                        log::debug!(
                            lender:% = lender, id, budget:% = budget, amount = amount.0;
                            "loan requested"
                        );
                        let owner = self.incarnation.clone();
                        let message = Message::Borrow { id, owner, budget, amount, time };
                        self.fleet.send(&lender.router, message);
                    }
                    HolderAction::RespondToLoan { borrower, id, response } => {
                        log::debug!(borrower:% = borrower, id, answer:? = response; "loan answered");
                        let to = borrower.router.clone();
                        self.fleet
                            .send(&to, Message::Lent { id, owner: borrower, answer: response });
                    }
                    HolderAction::Repay { lender, id, used } => {
                        let owner = self.incarnation.clone();
                        self.fleet.send(&lender.router, Message::Repaid { id, owner, used });
                    }
                    HolderAction::Reserved(request) => self.enqueue(now, &request),
                    HolderAction::Refused(request, refusal) => self.refuse(&request, refusal),
                }
            }
        }
    }
}
