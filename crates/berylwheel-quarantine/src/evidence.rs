//! Ends of servers and the requests that had no answer then.

use std::collections::VecDeque;

use berylwheel_types::BackendId;
use berylwheel_types::FastMap;
use berylwheel_types::FastSet;
use berylwheel_types::Millis;
use berylwheel_types::PromptPartId;
use berylwheel_types::SuspectRequest;
use berylwheel_types::Timestamp;

use crate::QuarantinePolicy;
use crate::bounds::reservoir_place;
use crate::bounds::seed;

#[derive(Debug)]
struct Suspect {
    sent_at: Timestamp,
    parts: Vec<PromptPartId>,
}

#[derive(Debug)]
struct ServerEnd {
    server: BackendId,
    at: Timestamp,
    suspects: Vec<Suspect>,
    /// Number of suspected requests that were reported, some of which may be left out.
    reported: usize,
}

impl Suspect {
    fn has(&self, part: PromptPartId) -> bool {
        self.parts.binary_search(&part).is_ok()
    }
}

/// Ends of servers since a part was last answered, with a request that had the part.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct PartEnds {
    /// Number of ends.
    pub total: u32,
    /// Number of ends whose request was sent after the one before it. Requests that are at several
    /// servers while all of these end for another reason count once.
    pub independent: u32,
    /// Time of the first one.
    pub first: Timestamp,
}

/// The ends of servers that this router knows of, from itself and from others.
#[derive(Debug, Default)]
pub(crate) struct Evidence {
    ends: VecDeque<ServerEnd>,
    /// When parts were last answered, for the parts of suspected requests.
    answered: FastMap<PromptPartId, Timestamp>,
}

impl Evidence {
    /// Adds requests that had no answer when `server` ended `age` ago. Returns their parts.
    pub(crate) fn add(
        &mut self,
        now: Timestamp,
        server: &BackendId,
        age: Millis,
        suspects: Vec<SuspectRequest>,
        policy: &QuarantinePolicy,
    ) -> Vec<PromptPartId> {
        let at = Timestamp::from_millis(now.as_millis().saturating_sub(age.0));
        let is_same = |end: &ServerEnd| {
            end.server == *server && end.at.since(at).max(at.since(end.at)) <= policy.end_tolerance
        };
        let index = match self.ends.iter().position(is_same) {
            Some(index) => index,
            None => {
                let index = self.ends.partition_point(|end| end.at <= at);
                let end =
                    ServerEnd { server: server.clone(), at, suspects: Vec::new(), reported: 0 };
                self.ends.insert(index, end);
                index
            }
        };
        let end_at = self.ends[index].at;
        let mut parts = Vec::new();
        let end = &mut self.ends[index];
        for SuspectRequest { ran_for, parts: own } in suspects {
            let place = reservoir_place(end.reported, policy.max_suspects, seed(server, end_at));
            end.reported += 1;
            let Some(place) = place else { continue };
            let sent_at = Timestamp::from_millis(end_at.as_millis().saturating_sub(ran_for.0));
            parts.extend_from_slice(&own);
            let suspect = Suspect { sent_at, parts: own };
            match end.suspects.get_mut(place) {
                Some(replaced) => *replaced = suspect,
                None => end.suspects.push(suspect),
            }
        }
        if self.ends.len() > policy.max_ends {
            self.ends.pop_front();
        }
        self.shrink(policy);
        parts.sort_unstable();
        parts.dedup();
        parts
    }

    /// Returns the number of parts in all suspected requests.
    pub(crate) fn part_count(&self) -> usize {
        self.ends.iter().flat_map(|end| &end.suspects).map(|suspect| suspect.parts.len()).sum()
    }

    /// Keeps within the limit of all parts. Parts of one end only are forgotten first, from the oldest
    /// end on, and then whole ends.
    fn shrink(&mut self, policy: &QuarantinePolicy) {
        let mut count = self.part_count();
        if count <= policy.max_evidence {
            return;
        }
        let recurring: FastSet<PromptPartId> = self.recurring_parts(None).into_iter().collect();
        let older = self.ends.len().saturating_sub(1);
        for suspect in self.ends.iter_mut().take(older).flat_map(|end| &mut end.suspects) {
            if count <= policy.max_evidence {
                return;
            }
            let before = suspect.parts.len();
            suspect.parts.retain(|part| recurring.contains(part));
            count -= before - suspect.parts.len();
        }
        while self.part_count() > policy.max_evidence && self.ends.len() > 1 {
            self.ends.pop_front();
        }
    }

    /// Returns the parts that are at more than one end, in ascending order, either of all or of
    /// `parts`.
    pub(crate) fn recurring_parts(&self, parts: Option<&[PromptPartId]>) -> Vec<PromptPartId> {
        let wanted: Option<FastSet<PromptPartId>> =
            parts.map(|parts| parts.iter().copied().collect());
        // The last end at which a part was found, and whether it was found at another one before.
        let mut found: FastMap<PromptPartId, (usize, bool)> = FastMap::default();
        for (index, end) in self.ends.iter().enumerate() {
            for part in end.suspects.iter().flat_map(|suspect| &suspect.parts) {
                if wanted.as_ref().is_some_and(|wanted| !wanted.contains(part)) {
                    continue;
                }
                let (last, recurs) = found.entry(*part).or_insert((index, false));
                *recurs |= *last != index;
                *last = index;
            }
        }
        let recurring = found.into_iter().filter(|(_, (_, recurs))| *recurs);
        let mut recurring: Vec<PromptPartId> = recurring.map(|(part, _)| part).collect();
        recurring.sort_unstable();
        recurring
    }

    /// Forgets ends that are too old to count.
    pub(crate) fn expire(&mut self, now: Timestamp, policy: &QuarantinePolicy) {
        self.ends.retain(|end| now.since(end.at) < policy.evidence_window);
        if self.ends.is_empty() {
            self.answered.clear();
        }
    }

    /// Records that a part was answered, so that earlier ends do not count for it.
    pub(crate) fn record_answer(&mut self, at: Timestamp, part: PromptPartId) {
        let is_suspected = self.ends.iter().flat_map(|end| &end.suspects).any(|s| s.has(part));
        if is_suspected {
            let last = self.answered.entry(part).or_insert(at);
            *last = at.max(*last);
        }
    }

    /// Returns the ends that count for a part, or `None` if there are none.
    pub(crate) fn ends_of(
        &self,
        part: PromptPartId,
        policy: &QuarantinePolicy,
    ) -> Option<PartEnds> {
        let mut counted: Option<PartEnds> = None;
        let mut last = Timestamp::default();
        for (end, suspects) in self.suspects_of(part) {
            let Some(sent_at) = suspects.iter().map(|suspect| suspect.sent_at).max() else {
                continue;
            };
            let counts =
                counted.get_or_insert(PartEnds { total: 0, independent: 0, first: end.at });
            counts.total += 1;
            if counts.independent == 0 || sent_at + policy.order_tolerance >= last {
                counts.independent += 1;
                last = end.at;
            }
        }
        counted
    }

    /// Returns the number of ends from `first` on without a request that has `part`. Ends for which
    /// `is_explained` returns true for one of their requests are left out.
    pub(crate) fn other_ends(
        &self,
        part: PromptPartId,
        first: Timestamp,
        is_explained: impl Fn(&[PromptPartId]) -> bool,
    ) -> u32 {
        let others = self.ends.iter().filter(|end| end.at >= first).filter(|end| {
            let mut suspects = end.suspects.iter();
            suspects.all(|suspect| !suspect.has(part) && !is_explained(&suspect.parts))
        });
        others.count() as u32
    }

    /// Returns the parts that all suspected requests with `part` have in common, without those that
    /// were answered after the first end.
    pub(crate) fn common_parts(&self, part: PromptPartId) -> Vec<PromptPartId> {
        let mut common: Option<Vec<PromptPartId>> = None;
        for suspect in self.suspects_of(part).flat_map(|(_, suspects)| suspects) {
            match &mut common {
                None => common = Some(suspect.parts.clone()),
                Some(common) => common.retain(|other| suspect.has(*other)),
            }
        }
        let mut common = common.unwrap_or_default();
        let first = self.suspects_of(part).map(|(end, _)| end.at).next().unwrap_or_default();
        common.retain(|other| self.answered.get(other).is_none_or(|at| *at <= first));
        common
    }

    /// Returns the ends of another part that is at each end of `part`, in other requests, if there is
    /// one with as many ends or more. Such a part explains the ends at least as well.
    pub(crate) fn rival_ends(
        &self,
        part: PromptPartId,
        common: &[PromptPartId],
        policy: &QuarantinePolicy,
    ) -> Option<u32> {
        let mut shared: Option<Vec<PromptPartId>> = None;
        for (end, _) in self.suspects_of(part) {
            let mut present = end.suspects.iter().flat_map(|suspect| suspect.parts.iter().copied());
            match &mut shared {
                None => {
                    let is_other = |other: &PromptPartId| !common.contains(other);
                    let mut others: Vec<PromptPartId> = present.filter(is_other).collect();
                    others.sort_unstable();
                    others.dedup();
                    shared = Some(others);
                }
                Some(shared) => {
                    let present: FastSet<PromptPartId> = present.by_ref().collect();
                    shared.retain(|other| present.contains(other));
                }
            }
        }
        let own = self.ends_of(part, policy)?.total;
        let rivals = shared.unwrap_or_default().into_iter();
        let totals = rivals.filter_map(|rival| Some(self.ends_of(rival, policy)?.total));
        totals.filter(|total| *total >= own).max()
    }

    /// Returns the ends since the last answer to `part`, each with the requests that had it.
    fn suspects_of(&self, part: PromptPartId) -> impl Iterator<Item = (&ServerEnd, Vec<&Suspect>)> {
        let answered = self.answered.get(&part).copied();
        let counted = move |end: &&ServerEnd| answered.is_none_or(|at| end.at > at);
        self.ends.iter().filter(counted).filter_map(move |end| {
            let has_part = |suspect: &&Suspect| suspect.has(part);
            let suspects: Vec<&Suspect> = end.suspects.iter().filter(has_part).collect();
            (!suspects.is_empty()).then_some((end, suspects))
        })
    }
}
