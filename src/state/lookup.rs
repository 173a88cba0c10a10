//! Which region a caller's address lies in: a longest-prefix table.
//!
//! Blocks of addresses may nest; the longest prefix that contains an address applies. The blocks
//! are flattened once, when the table is built, into ranges that do not overlap, each up to the
//! start of the next. A look-up is a binary search without pointer chasing, and a table of
//! 1.3 million blocks takes about 20 MB. A change builds a new table beside the old one; readers
//! finish on the old one.

use std::net;

use crate::{id, settings};

/// The target of a range that no block covers.
const NO_TARGET: u16 = u16::MAX;

/// The table of regions cannot be built.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// There are more targets than the table has numbers for.
    #[error("{0} regions or sites, but the look-up table has numbers for 65534; declare fewer")]
    TooManyTargets(usize),
}

/// One block of addresses and the number of its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Block {
    /// The addresses.
    pub net: ipnet::IpNet,
    /// The target, an index into a list that the table's user keeps.
    pub target: u16,
}

/// Address ranges of one family in ascending order, each up to the start of the next.
#[derive(Clone, Debug, Default)]
struct Ranges<A> {
    starts: Vec<A>,
    targets: Vec<u16>,
}

/// A longest-prefix table over IPv4 and IPv6 blocks.
#[derive(Clone, Debug, Default)]
pub struct Table {
    v4: Ranges<u32>,
    v6: Ranges<u128>,
}

/// A table whose targets are the regions of the settings.
#[derive(Clone, Debug, Default)]
pub struct Regions {
    names: Vec<id::RegionId>,
    table: Table,
}

impl Table {
    /// Builds a table from blocks. Of two equal blocks the later one applies.
    pub fn build(blocks: &[Block]) -> Self {
        let mut v4 = Vec::new();
        let mut v6 = Vec::new();
        for block in blocks {
            match block.net {
                ipnet::IpNet::V4(net) => v4.push(Span {
                    first: u32::from(net.network()),
                    last: u32::from(net.broadcast()),
                    target: block.target,
                }),
                ipnet::IpNet::V6(net) => v6.push(Span {
                    first: u128::from(net.network()),
                    last: u128::from(net.broadcast()),
                    target: block.target,
                }),
            }
        }
        Self {
            v4: Ranges::flatten(v4, |addr| addr.checked_add(1)),
            v6: Ranges::flatten(v6, |addr| addr.checked_add(1)),
        }
    }

    /// The target of the longest block that holds `addr`.
    pub fn find(&self, addr: net::IpAddr) -> Option<u16> {
        match addr.to_canonical() {
            net::IpAddr::V4(addr) => self.v4.find(addr.into()),
            net::IpAddr::V6(addr) => self.v6.find(addr.into()),
        }
    }

    /// The memory that the table holds, in bytes.
    pub fn bytes(&self) -> usize {
        self.v4.bytes() + self.v6.bytes()
    }
}

impl Regions {
    /// Builds the table of the client blocks that the settings declare.
    pub fn build(settings: &settings::Settings) -> Result<Self, Error> {
        let names: Vec<_> = settings.regions().map(|r| r.name.clone()).collect();
        if names.len() >= usize::from(NO_TARGET) {
            return Err(Error::TooManyTargets(names.len()));
        }
        let blocks: Vec<_> = settings
            .client_blocks()
            .filter_map(|block| {
                let target = names.iter().position(|name| *name == block.region)?;
                Some(Block {
                    net: block.block,
                    target: u16::try_from(target).ok()?,
                })
            })
            .collect();
        let table = Table::build(&blocks);
        Ok(Self { names, table })
    }

    /// The region of a caller's address.
    pub fn find(&self, addr: net::IpAddr) -> Option<&id::RegionId> {
        self.names.get(usize::from(self.table.find(addr)?))
    }
}

/// A block of one address family.
#[derive(Clone, Copy)]
struct Span<A> {
    first: A,
    last: A,
    target: u16,
}

impl<A: Copy + Ord> Ranges<A> {
    fn flatten(mut spans: Vec<Span<A>>, after: impl Fn(A) -> Option<A>) -> Self {
        // Outer blocks sort before the blocks nested in them. The sort is stable, so of two equal
        // blocks the later one counts as nested in the earlier one and overrides it.
        spans.sort_by(|a, b| a.first.cmp(&b.first).then(b.last.cmp(&a.last)));
        let mut ranges = Self {
            starts: Vec::with_capacity(spans.len() + 1),
            targets: Vec::with_capacity(spans.len() + 1),
        };
        let mut open: Vec<Span<A>> = Vec::new();
        for span in spans {
            while open.last().is_some_and(|outer| outer.last < span.first) {
                ranges.close(&mut open, &after);
            }
            ranges.start(span.first, span.target);
            open.push(span);
        }
        while !open.is_empty() {
            ranges.close(&mut open, &after);
        }
        ranges.starts.shrink_to_fit();
        ranges.targets.shrink_to_fit();
        ranges
    }

    /// Closes the innermost open block; the addresses after it belong to the enclosing block.
    fn close(&mut self, open: &mut Vec<Span<A>>, after: &impl Fn(A) -> Option<A>) {
        let Some(inner) = open.pop() else {
            return;
        };
        let Some(next) = after(inner.last) else {
            return;
        };
        if open.last().is_some_and(|outer| outer.last < next) {
            // The enclosing block ends at the same address, so closing it sets the next range.
            return;
        }
        self.start(next, open.last().map_or(NO_TARGET, |outer| outer.target));
    }

    fn start(&mut self, at: A, target: u16) {
        if self.starts.last() == Some(&at) {
            self.starts.pop();
            self.targets.pop();
        }
        if self.targets.last() != Some(&target) {
            self.starts.push(at);
            self.targets.push(target);
        }
    }

    fn find(&self, addr: A) -> Option<u16> {
        let after = self.starts.partition_point(|start| *start <= addr);
        let target = *self.targets.get(after.checked_sub(1)?)?;
        (target != NO_TARGET).then_some(target)
    }

    fn bytes(&self) -> usize {
        self.starts.capacity() * size_of::<A>() + self.targets.capacity() * size_of::<u16>()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn block(net: &str, target: u16) -> Block {
        Block {
            net: net.parse().unwrap(),
            target,
        }
    }

    #[test]
    fn the_longest_prefix_applies() {
        let table = Table::build(&[
            block("10.0.0.0/8", 1),
            block("10.1.0.0/16", 2),
            block("10.1.255.0/24", 3),
            block("255.255.255.0/24", 4),
            block("fd00::/16", 5),
        ]);
        let find = |addr: &str| table.find(addr.parse().unwrap());
        assert_eq!(find("10.0.0.1"), Some(1));
        assert_eq!(find("10.1.2.3"), Some(2));
        assert_eq!(find("10.1.255.9"), Some(3));
        assert_eq!(find("10.2.0.0"), Some(1));
        assert_eq!(find("11.0.0.0"), None);
        assert_eq!(find("255.255.255.255"), Some(4));
        assert_eq!(find("fd00::1"), Some(5));
        assert_eq!(find("::ffff:10.1.0.1"), Some(2));
    }
}
