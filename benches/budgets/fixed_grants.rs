//! Baseline: each router holds a fixed, equal share of every budget.

use std::collections::BinaryHeap;

use crate::load::Request;

/// Simulates the baseline. Returns `None` for each served request, and for each refused one whether
/// the refusal was false, that is, whether all routers together had enough tokens.
pub fn run(requests: &[Request], credits: &[u64], routers: usize) -> Vec<Option<bool>> {
    let mut grants: Vec<Vec<u64>> =
        credits.iter().map(|credit| vec![credit / routers as u64; routers]).collect();
    let mut ends: BinaryHeap<std::cmp::Reverse<(u64, usize)>> = BinaryHeap::new();
    let mut outcomes = Vec::new();
    for (index, request) in requests.iter().enumerate() {
        while let Some(std::cmp::Reverse((at, finished))) = ends.peek().copied() {
            if at > request.at {
                break;
            }
            ends.pop();
            let finished_request: &Request = &requests[finished];
            grants[finished_request.workspace][finished_request.router] +=
                finished_request.amount - finished_request.used;
        }
        let workspace_grants = &mut grants[request.workspace];
        if workspace_grants[request.router] >= request.amount {
            workspace_grants[request.router] -= request.amount;
            ends.push(std::cmp::Reverse((request.at + request.duration, index)));
            outcomes.push(None);
        } else {
            outcomes.push(Some(workspace_grants.iter().sum::<u64>() >= request.amount));
        }
    }
    outcomes
}
