//! Baseline: each router holds a fixed, equal share of every budget.

use std::collections::BinaryHeap;

use crate::load::Request;

/// Simulates the baseline. Returns `None` for each served request, and for each refused one whether
/// the refusal was false, that is, whether all routers together had enough tokens.
pub fn run(requests: &[Request], credits: &[u64], routers: usize) -> Vec<Option<bool>> {
    let mut parts: Vec<Vec<u64>> =
        credits.iter().map(|credit| vec![credit / routers as u64; routers]).collect();
    let mut ends: BinaryHeap<std::cmp::Reverse<(u64, usize)>> = BinaryHeap::new();
    let mut fates = Vec::new();
    for (index, request) in requests.iter().enumerate() {
        while let Some(std::cmp::Reverse((at, ended))) = ends.peek().copied() {
            if at > request.at {
                break;
            }
            ends.pop();
            let done: &Request = &requests[ended];
            parts[done.workspace][done.router] += done.amount - done.used;
        }
        let own = &mut parts[request.workspace];
        if own[request.router] >= request.amount {
            own[request.router] -= request.amount;
            ends.push(std::cmp::Reverse((request.at + request.duration, index)));
            fates.push(None);
        } else {
            fates.push(Some(own.iter().sum::<u64>() >= request.amount));
        }
    }
    fates
}
