-- Allocation of the limits of a client account to the hosts of a cell.
--
-- Each published host list version defines an allocation, called cut in the names below: each of its
-- N members has the share 1/N of rate and burst. A host uses its share only while a quorum of the
-- members attest to it. An attestation names the list version that its issuer uses and carries the
-- allocations that the issuer knows. Time is abstract: an attestation is valid until it expires, and
-- waiting for the attestation duration means waiting until all older attestations have expired.
module quota

open util/ordering[Version] as versions
open util/ordering[Host] as hosts

sig Host {
  var list: lone Version,         -- the host list version that the process uses
  var base: lone Version,         -- the installed allocation; no earlier one is in use
  var pending: set Version,       -- later allocations that may be installed
  var attested: Host -> Version,  -- valid attestations received by the process, by issuer
}

sig Version { members: some Host }

-- Hosts whose attestations may count for others: those that have joined since their process started.
var sig Joined in Host {}

-- Hosts whose process started within the last attestation duration.
var sig Starting in Host {}

-- Each variant omits at most one rule.
abstract sig Rule {}
one sig DelayInstallation, ShrinkImmediately, MergeAllocations, JoinByQuorumOfOthers extends Rule {}
one sig Variant { omitted: lone Rule }

pred omits[rule: Rule] { rule in Variant.omitted }

fun cuts[host: Host]: set Version { host.base + host.pending }

-- More than half of the members of an allocation, or exactly half including the first member; two
-- members require both. Any two quorums of an allocation have a member in common.
pred quorum[some_hosts: set Host, cut: Version] {
  let inside = some_hosts & cut.members, outside = cut.members - some_hosts {
    #inside > #outside
      or (#inside = #outside and #outside > 1 and hosts/min[cut.members] in inside)
  }
}

-- The hosts whose attestations count for an allocation: they have joined and use its list version or
-- a later one.
fun counted[host: Host, cut: Version]: set Host {
  { giver: Joined | some host.attested[giver] & (cut + cut.nexts) }
}

pred uses[host: Host] {
  host in Joined
  some host.base
  all cut: cuts[host] | host in cut.members and quorum[host + counted[host, cut], cut]
}

-- The share of a host is at most as large as a share of the allocation.
pred share_fits[host: Host, cut: Version] {
  host in cut.members
  omits[ShrinkImmediately]
    implies #host.base.members >= #cut.members
    else some known: cuts[host] | #known.members >= #cut.members
}

-- Sufficient for a total of at most one: all shares in use fit into the shares of one allocation.
pred bounded {
  some { host: Host | uses[host] } implies
    some cut: Version | all host: Host | uses[host] implies share_fits[host, cut]
}

pred keep_lists { list' = list }
pred keep_allocations { base' = base and pending' = pending }
pred keep_attested { attested' = attested }
pred keep_joined { Joined' = Joined }
pred keep_starting { Starting' = Starting }

pred receive_list[host: Host, version: Version] {
  some host.list implies version in host.list.nexts
  list' = list ++ host -> version
  no host.base implies pending' = pending ++ host -> version
    else (all old: cuts[host] | version in old.nexts and replaceable[old, version])
      implies pending' = pending + host -> version
      else pending' = pending
  base' = base
  keep_attested and keep_joined and keep_starting
}

-- The notice sent with each attestation informs the receiver of the allocations known to the issuer.
pred merge[host, giver: Host] {
  no giver.base implies keep_allocations else
  let latest = versions/max[host.base + giver.base] {
    base' = base - host -> Version + host -> latest
    pending' = pending - host -> Version
      + host -> { cut: host.pending + giver.pending | no latest or cut in latest.nexts }
  }
}

pred attest[giver, host: Host] {
  giver != host
  giver not in Starting
  host in giver.list.members
  giver in host.list.members
  attested' = attested - host -> giver -> Version + host -> giver -> giver.list
  omits[MergeAllocations] and some host.base implies keep_allocations else merge[host, giver]
  keep_lists and keep_joined and keep_starting
}

pred expire[giver, host: Host] {
  some host.attested[giver]
  attested' = attested - host -> giver -> Version
  keep_lists and keep_allocations and keep_joined and keep_starting
}

-- The new allocation retains a quorum of the old one, and the added hosts are no quorum of the new one.
pred replaceable[old, new: Version] {
  quorum[new.members, old]
  not quorum[new.members - old.members, new]
}

pred install[host: Host] {
  host in host.list.members
  host not in Starting
  host.list = versions/max[cuts[host]]
  all giver: host.list.members - host | host.attested[giver] = host.list
  all old: cuts[host] - host.list | replaceable[old, host.list]
  -- Assumption: a new cell is formed only if no process knows an installed allocation.
  no host.base implies no base
  some host.base and not omits[DelayInstallation] implies
    no other: Host, giver: host.list.members | some other.attested[giver] & host.list.prevs
  base' = base ++ host -> host.list
  pending' = pending - host -> Version
  Joined' = Joined + host
  keep_lists and keep_attested and keep_starting
}

-- A process that knows an installed allocation joins if the other hosts form a quorum without it.
pred join_allocations[host: Host] {
  host not in Joined
  some host.base
  all cut: cuts[host] | omits[JoinByQuorumOfOthers]
    implies quorum[host + counted[host, cut], cut]
    else quorum[counted[host, cut] - host, cut]
  Joined' = Joined + host
  keep_lists and keep_allocations and keep_attested and keep_starting
}

-- A process restarts or is replaced under the same host name and loses its state. Attestations issued
-- by the previous process remain valid until they expire.
pred restart[host: Host] {
  list' = list - host -> Version
  base' = base - host -> Version
  pending' = pending - host -> Version
  attested' = attested - host -> Host -> Version
  Joined' = Joined - host
  Starting' = Starting + host
}

pred finish_start[host: Host] {
  host in Starting
  no other: Host | some other.attested[host]
  Starting' = Starting - host
  keep_lists and keep_allocations and keep_attested and keep_joined
}

pred stutter { keep_lists and keep_allocations and keep_attested and keep_joined and keep_starting }

fact behaviour {
  -- Initial state: a running cell whose members have installed the first allocation.
  list = (versions/first).members -> versions/first
  base = list
  Joined = (versions/first).members
  no pending and no attested and no Starting
  always (
    stutter
    or (some host: Host, version: Version | receive_list[host, version])
    or (some giver, host: Host | attest[giver, host] or expire[giver, host])
    or (some host: Host | install[host] or join_allocations[host] or restart[host] or finish_start[host])
  )
}

assert total_stays_bounded { no Variant.omitted implies always bounded }

pred new_allocation_used {
  no Variant.omitted
  some disj left, right: Host, cut: Version - versions/first |
    eventually (uses[left] and uses[right] and cut in left.base & right.base)
}
pred bound_exceeded_without[rule: Rule] { Variant.omitted = rule and eventually not bounded }

-- Commands: the safety property, the consistency of the model, and a counterexample for each variant.
shares_keep_bound: check total_stays_bounded for exactly 3 Host, exactly 2 Version, exactly 4 Rule, 1..6 steps
shares_keep_bound_with_three_lists: check total_stays_bounded for exactly 3 Host, exactly 3 Version, exactly 4 Rule, 1..6 steps
new_allocation_is_used: run new_allocation_used for exactly 3 Host, exactly 2 Version, exactly 4 Rule, 1..10 steps
bound_exceeded_without_install_delay: run { bound_exceeded_without[DelayInstallation] } for exactly 3 Host, exactly 2 Version, exactly 4 Rule, 1..8 steps
bound_exceeded_without_shrinking: run { bound_exceeded_without[ShrinkImmediately] } for exactly 3 Host, exactly 2 Version, exactly 4 Rule, 1..8 steps
bound_exceeded_without_merging: run { bound_exceeded_without[MergeAllocations] } for exactly 3 Host, exactly 3 Version, exactly 4 Rule, 1..9 steps
bound_exceeded_without_join_rule: run { bound_exceeded_without[JoinByQuorumOfOthers] } for exactly 3 Host, exactly 2 Version, exactly 4 Rule, 1..12 steps
shares_keep_bound_on_longer_traces: check total_stays_bounded for exactly 3 Host, exactly 3 Version, exactly 4 Rule, 1..9 steps
shares_keep_bound_with_four_hosts: check total_stays_bounded for exactly 4 Host, exactly 2 Version, exactly 4 Rule, 1..8 steps
